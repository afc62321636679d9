import { Log, silentLog } from '@finchpitch/core'
import { EngineMirror, Facts, SideCounters, SideProcess, type EngineControl, type EngineOrder, type EngineStatus } from '@finchpitch/fleet'
import { FakeTime, channelOptions, duplexPair } from '@finchpitch/stand-ins'
import { Channel, type Frame } from '@finchpitch/wire'
import { err, ok } from 'neverthrow'
import { expect } from 'chai'

const host = '10.0.0.1'
const engineSpec = { batchSize: 8, adapterSlots: 2, weightMemoryMb: 2000, loadsPerSecond: 9, models: [{ name: 'm', memoryMb: 1000, adapterMemoryMb: 12 }] }
const table = { version: 1, routes: [], services: [{ name: 'llm', maxConnections: 100, engine: engineSpec }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
const limits = { graceMs: 8000, drainMs: 2000, versionMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50, loadWindowMs: 5000, loadOverage: 1.1, quotaWindowMs: 8000, quotaOverage: 0, quotaSlack: 0 }

/** An engine that carries out orders at once; loads complete when the test says so. */
class FakeEngine implements EngineControl {
  readonly calls: string[] = []
  silent = false
  /** Called while the side process waits for a status. */
  onStatus = (): void => {}
  state: EngineStatus = { server: 'e', bornAt: 1, models: [{ name: 'm', version: 1, adapters: { a: 1, b: 1 } }], coming: [], busy: false, orders: 0, waiting: 0, running: 0, cacheUsed: 0, cacheTotal: 1 }

  async status (): ReturnType<EngineControl['status']> {
    this.calls.push('status')
    this.onStatus()
    return this.silent ? err('no answer') : ok(structuredClone(this.state))
  }

  async order ({ operation, adapter = '', model }: EngineOrder): ReturnType<EngineControl['order']> {
    this.calls.push(`${operation} ${adapter}`)
    this.state.orders += 1
    if (operation === 'load') this.state.coming.push({ key: `${model}/${adapter}`, version: 1 })
    else delete this.state.models[0]?.adapters[adapter]
    return { outcome: operation === 'load' ? 'accepted' : 'done', detail: '' }
  }
}

describe('room and pace of an engine', () => {
  let time: FakeTime
  let engine: FakeEngine
  let entry: Channel
  let mirror: EngineMirror
  let received: Frame[]
  let stop: AbortController
  let counters: SideCounters
  let logged: string[]

  beforeEach(async () => {
    time = new FakeTime()
    engine = new FakeEngine()
    mirror = new EngineMirror()
    received = []
    stop = new AbortController()
    counters = new SideCounters()
    logged = []
    const facts = new Facts(silentLog, () => 1000)
    facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store')
    facts.offer({ kind: 'server', key: 'e', revision: 2, value: { id: 'e', service: 'llm', address: `${host}:80`, domain: 'a', slots: 8, leaving: false, models: [] } }, 'store')
    const side = new SideProcess({
      process: 'side-0',
      domain: 'a',
      engineAddress: `${host}:80`,
      sidePort: 7380,
      dial: async () => { throw new Error('nothing listens') },
      engine,
      facts,
      limits: () => limits,
      channel: channelOptions('side-0'),
      counters,
      log: new Log('engine-room', {}, 'info', { write: line => { logged.push((JSON.parse(line) as { event: string }).event) } })
    })
    const [entryEnd, sideEnd] = duplexPair()
    entry = new Channel(entryEnd, channelOptions('entry-1'))
    void side.accept(sideEnd)
    void side.run(stop.signal)
    void (async () => {
      for await (const frame of entry.frames()) {
        received.push(frame)
        if (frame.type === 'holding') mirror.apply(frame)
      }
    })()
    await entry.helloReceived
    entry.send({ type: 'follow', hosts: [host], relay: false })
    await time.advance(300)
  })

  afterEach(async () => {
    stop.abort()
    entry.close()
    await time.advance(10)
    time.restore()
  })

  const use = async (...uses: Array<[string, number, number]>): Promise<void> => {
    entry.send({ type: 'uses', uses })
    await time.settle(10)
  }

  const ask = async (key: string, keep: boolean): Promise<void> => {
    entry.send({ type: 'want', key, waiting: 1, priority: 1, keep })
    await time.settle(10)
  }

  it('is published as soon as the last idle adapter comes into use, and as soon as one is idle again', async () => {
    expect(mirror.room).to.equal(2)
    await use(['m/a', 1, 1], ['m/b', 1, 1])
    expect(mirror.room).to.equal(0)
    expect(mirror.slotMs).to.be.greaterThan(0)
    await use(['m/a', 0, 0])
    expect(mirror.room).to.equal(1)
  })

  // Guards against dead time of a slot: a poll of the engine between the unload and the load that follows.
  it('goes to a demand that was kept as soon as the last use of an adapter has ended', async () => {
    await use(['m/a', 1, 1], ['m/b', 1, 1])
    await ask('m/c', true)
    await time.advance(700)
    expect(received.filter(({ type }) => type === 'declined')).to.have.length(0)
    engine.calls.length = 0
    await use(['m/b', 0, 0])
    expect(engine.calls).to.include.members(['unload b', 'load c'])
    expect(engine.calls.indexOf('load c')).to.equal(engine.calls.indexOf('unload b') + 1)
  })

  // Guards against an end of use that is reported during a poll and noticed only by the next one.
  it('goes to a waiting demand also if the end of the use is reported during a poll', async () => {
    await use(['m/a', 1, 1], ['m/b', 1, 1])
    await ask('m/c', true)
    engine.calls.length = 0
    engine.onStatus = () => {
      engine.onStatus = () => {}
      entry.send({ type: 'uses', uses: [['m/b', 0, 0]] })
    }
    await time.advance(60)
    expect(engine.calls).to.include('load c')
  })

  // Guards against a request that waits in vain for an engine which has less room than its entry believes.
  it('that an entry overestimates leads to a refusal, after which another engine is asked', async () => {
    await use(['m/a', 1, 1], ['m/b', 1, 1])
    await ask('m/c', false)
    await time.advance(300)
    expect(received.find(({ type }) => type === 'declined')).to.deep.include({ key: 'm/c', reason: 'no_place' })
  })

  it('is none while the engine does not answer', async () => {
    engine.silent = true
    await time.advance(300)
    expect(mirror).to.include({ reachable: false, room: 0 })
  })

  it('is filled by fewer loads at a time once loads take longer than before', async () => {
    const allowed = async (): Promise<string | undefined> => /^finchpitch_engine_loads_allowed (\d)/m.exec(await counters.registry.metrics())?.[1]
    for (const [adapter, ms] of [['c', 250], ['d', 500]] as const) {
      await ask(`m/${adapter}`, false)
      await time.advance(ms)
      engine.state.coming = []
      engine.state.models = [{ name: 'm', version: 1, adapters: { ...engine.state.models[0]?.adapters, [adapter]: 1 } }]
      await time.advance(100)
    }
    expect(await allowed()).to.equal('3')
  })

  describe('whose pace entries measure', () => {
    const measure = async (tokenMs: number): Promise<void> => {
      entry.send({ type: 'uses', uses: [], pace: [4000, 100, 400, 400 * tokenMs] })
      await time.advance(500)
    }

    it('publishes it, and again once it has changed', async () => {
      await measure(5)
      expect(mirror).to.include({ prefillMs: 25, tokenMs: 5 })
      await measure(5.3)
      expect(mirror.tokenMs).to.equal(5)
      for (let each = 0; each < 6; each++) await measure(10)
      expect(mirror.tokenMs).to.be.greaterThan(8)
    })

    // Guards against a log line for each published change: in a flood, 36 side processes wrote 1,380 lines in 28 s.
    it('publishes a change by a tenth without a log line, and logs one by a quarter', async () => {
      const lines = (): number => logged.filter(event => event === 'engine.pace').length
      await measure(5)
      expect(lines()).to.equal(1)
      for (let each = 0; each < 6; each++) await measure(6)
      expect(mirror.tokenMs).to.be.within(5.5, 6)
      expect(lines()).to.equal(1)
      for (let each = 0; each < 8; each++) await measure(8)
      expect(lines()).to.be.within(2, 3)
    })

    // Guards against choices by the pace of an engine that is no longer there, or that is slow no more and gets no requests.
    it('publishes none after the engine has restarted, or after it was not measured for long', async () => {
      await measure(5)
      engine.state.bornAt = 2
      await time.advance(500)
      expect(mirror).to.include({ prefillMs: undefined, tokenMs: undefined })
      await measure(9)
      expect(mirror.tokenMs).to.equal(9)
      await time.advance(11_000)
      expect(mirror.tokenMs).to.equal(undefined)
    })
  })
})
