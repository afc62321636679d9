import { Address, Incarnation, ModelName, ProcessId, RequestId, RequestKey, Revision, ServiceName, TeamName, notRun, silentLog, outcomeUnknown, type HttpResponse, type Failure, type Work } from '@finchpitch/core'
import { Dispatcher, type SideConnection, type SidePool } from '@finchpitch/daemon'
import { Catalog, Claims } from '@finchpitch/store'
import { FakeTime, MemoryStore } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'

const work: Work = {
  id: RequestId.parse('r'),
  team: TeamName.parse('quetzal'),
  class: 'desk',
  patienceMs: 10_000,
  revision: Revision.parse(1),
  target: { kind: 'service', service: ServiceName.parse('ledger') },
  call: { method: 'PUT', path: '/', headers: {}, body: Buffer.from('x') }
}
const once = { key: RequestKey.parse('key'), firstTry: false }
const response: HttpResponse = { status: 200, headers: {}, body: (async function * () { yield Buffer.from('whole') })() }

describe('dispatcher', () => {
  let time: FakeTime
  let store: MemoryStore
  let dispatcher: Dispatcher
  /** The side process's results for successive attempts. */
  let results: Array<Result<HttpResponse, Failure>>
  let attempts: number
  /** The rendezvous keys by which side processes were selected. */
  let rendezvousKeys: string[]
  const signal = new AbortController().signal

  beforeEach(() => {
    time = new FakeTime()
    store = new MemoryStore()
    attempts = 0
    rendezvousKeys = []
    const run = async (): Promise<Result<HttpResponse, Failure>> => results[attempts++] ?? err(outcomeUnknown('connection_lost'))
    const peer = { run, incarnation: Incarnation.parse('abcdefghijklmnop'), epoch: 0 } as unknown as SideConnection
    const selected = { process: ProcessId.parse('side'), address: Address.parse('127.0.0.1:1'), peer }
    const choose = async (_serving: unknown, key: string): Promise<typeof selected> => {
      rendezvousKeys.push(key)
      return selected
    }
    const sides = { choose, reach: async () => peer } as unknown as SidePool
    const claims = new Claims({ store, random: () => 0.5, bucketCount: 1, keptMs: 60_000 })
    dispatcher = new Dispatcher({ sides, claims, catalog: new Catalog('all'), catchUp: async () => {}, log: silentLog, random: () => 0.5 })
  })

  afterEach(() => time.restore())

  const outcomeOf = async (result: Promise<Result<HttpResponse, Failure>>): Promise<string> => {
    const ended = await time.runUntilSettled(result)
    return ended.isOk() ? 'ran' : `${ended.error.outcome} ${ended.error.code}`
  }

  describe('with an idempotency key', () => {
    it('binds the key again after a refusal', async () => {
      results = [err(notRun('leaving')), ok(response)]
      expect(await outcomeOf(dispatcher.runOnce(work, once, signal))).to.equal('ran')
      expect(store.calls.writes).to.equal(2)
    })

    it('does not treat an attempt that was not sent as a refusal', async () => {
      results = [err(outcomeUnknown('connection_lost')), err(notRun('not_sent')), ok(response)]
      expect(await outcomeOf(dispatcher.runOnce(work, once, signal))).to.equal('ran')
      expect(store.calls.writes).to.equal(1)
    })

    it('is unknown if an attempt may have arrived and no later one can be sent', async () => {
      results = [err(outcomeUnknown('connection_lost')), ...Array.from({ length: 5 }, () => err(notRun('not_sent')))]
      expect(await outcomeOf(dispatcher.runOnce(work, once, signal))).to.equal('unknown connection_lost')
    })

    it('is reported as not run only if the refused binding is still the current one', async () => {
      results = [err(notRun('key_reused'))]
      expect(await outcomeOf(dispatcher.runOnce(work, once, signal))).to.equal('not_run key_reused')
      store.down = true
      results = [err(notRun('key_reused'))]
      attempts = 0
      expect(await outcomeOf(dispatcher.runOnce(work, once, signal))).to.equal('unknown store_unavailable')
    })
  })

  describe('without an idempotency key', () => {
    it('is retried after an unknown outcome only if it is repeatable', async () => {
      results = [err(outcomeUnknown('connection_lost')), ok(response)]
      expect(await outcomeOf(dispatcher.run(work, true, signal))).to.equal('ran')
      attempts = 0
      expect(await outcomeOf(dispatcher.run(work, false, signal))).to.equal('unknown connection_lost')
    })

    it('is retried after a refusal even if it is not repeatable', async () => {
      results = [err(notRun('leaving')), ok(response)]
      expect(await outcomeOf(dispatcher.run(work, false, signal))).to.equal('ran')
    })
  })

  it('spreads a service over many preference lists and keeps an adapter to one', async () => {
    const target = { kind: 'adapter', team: work.team, adapter: 'a', version: 'v1', model: ModelName.parse('base-7b'), source: 's' } as Work['target']
    for (const id of ['a', 'b', 'c']) await dispatcher.ticket({ ...work, id: RequestId.parse(id) })
    expect(new Set(rendezvousKeys).size).to.equal(3)
    rendezvousKeys = []
    for (const id of ['a', 'b', 'c']) await dispatcher.ticket({ target, id: RequestId.parse(id) })
    expect(new Set(rendezvousKeys).size).to.equal(1)
  })

  it('issues tickets that name the incarnation', async () => {
    expect(await dispatcher.ticket(work)).to.match(/^tk1\/side\/abcdefghijklmnop\/0\//)
  })
})
