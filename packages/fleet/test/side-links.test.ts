import { silentLog } from '@finchpitch/core'
import { BackendServer, Facts, nowMs, ServerStates, SideLinks } from '@finchpitch/fleet'
import { FakeTime, channelOptions, duplexPair } from '@finchpitch/stand-ins'
import { Channel, type Frame } from '@finchpitch/wire'
import { expect } from 'chai'

const engineAt = (host: string): BackendServer => BackendServer.parse({ id: `engine-${host}`, service: 'engines', address: `${host}:80`, domain: 'a', slots: 4, leaving: false, models: [] })

describe('an entry\'s links to side processes', () => {
  let time: FakeTime
  let links: SideLinks
  let sides: Map<string, Channel>
  let appointmentChanges: number
  let states: ServerStates
  let received: Array<[host: string, frame: Frame]>

  const sideAt = (host: string): Channel => sides.get(host) ?? expect.fail(`no channel to ${host}`)

  beforeEach(async () => {
    time = new FakeTime()
    sides = new Map()
    appointmentChanges = 0
    received = []
    states = new ServerStates((id, urgent) => links.scheduleUsesReport(id, urgent))
    const facts = new Facts(silentLog, () => 1000)
    for (const host of ['10.0.0.1', '10.0.0.2']) facts.offer({ kind: 'server', key: `engine-${host}`, revision: 1, value: engineAt(host) }, 'store')
    links = new SideLinks({
      process: 'entry',
      domain: 'a',
      facts,
      states,
      sidePort: 7,
      channel: channelOptions('entry'),
      dial: async address => {
        const [entryEnd, sideEnd] = duplexPair()
        const side = new Channel(sideEnd, channelOptions(`side-${address.split(':')[0]}`))
        sides.set(address.split(':')[0] ?? '', side)
        void (async () => { for await (const frame of side.frames()) received.push([address.split(':')[0] ?? '', frame]) })()
        return entryEnd
      },
      log: silentLog,
      watching: () => false,
      ensureProof: async () => {},
      onEngineChange: () => {},
      granted: () => {},
      crashes: () => {},
      onReportAcknowledged: () => {},
      onLocalConnect: () => {},
      onAppointmentsChange: () => { appointmentChanges += 1 }
    })
    links.reconcile([engineAt('10.0.0.1'), engineAt('10.0.0.2')])
    await time.settle(10)
    for (const side of sides.values()) side.send({ type: 'appoint', watch: false, outage: false })
    await time.settle(10)
  })

  afterEach(() => {
    links.close()
    time.restore()
  })

  it('report at once that a side process which sent an appointment is lost', async () => {
    expect(links.appointments).to.have.length(2)
    appointmentChanges = 0
    sideAt('10.0.0.1').close()
    await time.settle(10)
    expect(appointmentChanges).to.equal(1)
    expect(links.appointments).to.have.length(1)
  })

  it('report an appointment at once', async () => {
    appointmentChanges = 0
    sideAt('10.0.0.1').send({ type: 'appoint', watch: true, outage: false })
    await time.settle(10)
    expect(appointmentChanges).to.equal(1)
    expect(links.appointments.filter(({ watch }) => watch)).to.have.length(1)
  })

  // Guards against reads of a closed link, which is kept by server.
  it('use the new link of an engine that was removed and listed again', async () => {
    const [first, second] = [engineAt('10.0.0.1'), engineAt('10.0.0.2')]
    links.requestLoad(first, { key: 'm/a', waiting: 1, priority: 2, version: undefined, keep: false })
    expect(links.isLoadRequested(first, 'm/a')).to.equal(true)
    links.reconcile([second])
    expect(links.canRequestLoad(first, 'm/b')).to.equal(false)
    links.reconcile([first, second])
    await time.settle(10)
    expect(links.isLoadRequested(first, 'm/a')).to.equal(false)
    expect(links.canRequestLoad(first, 'm/b')).to.equal(true)
  })

  describe('to engines whose slots are short', () => {
    const of = (type: Frame['type']): unknown[] => received.filter(([, frame]) => frame.type === type).map(([host, frame]) => ({ host, ...frame }))

    it('withdraw a demand that waits for a slot once another engine has loaded the adapter', async () => {
      links.requestLoad(engineAt('10.0.0.1'), { key: 'm/a', waiting: 1, priority: 2, version: undefined, keep: true })
      sideAt('10.0.0.2').send({ type: 'holding', host: '10.0.0.2', whole: true, came: { 'm/a': 1 } })
      await time.settle(10)
      expect(of('want')).to.deep.include({ host: '10.0.0.1', type: 'want', key: 'm/a', waiting: 0, priority: 2 })
      expect(links.isLoadQueued(engineAt('10.0.0.1'), 'm/a')).to.equal(false)
    })

    it('repeat such a demand at once when it has become more urgent, and others only later', async () => {
      for (const [keep, priority] of [[true, 4], [true, 4], [true, 1]] as const) links.requestLoad(engineAt('10.0.0.1'), { key: 'm/a', waiting: 1, priority, version: undefined, keep })
      for (const priority of [4, 1]) links.requestLoad(engineAt('10.0.0.2'), { key: 'm/b', waiting: 1, priority, version: undefined, keep: false })
      await time.settle(10)
      expect(of('want')).to.have.length(3)
    })

    // Guards against requests that wait for a slot at an engine whose side process has frozen.
    it('ask no side process that fell silent, and give up a demand that waits there', async () => {
      const engine = engineAt('10.0.0.1')
      sideAt('10.0.0.1').setPace({ heartbeatMs: 60_000, silenceTimeoutMs: 60_000 })
      links.requestLoad(engine, { key: 'm/a', waiting: 1, priority: 2, version: undefined, keep: true })
      expect([links.isLoadQueued(engine, 'm/a'), links.canRequestLoad(engine, 'm/a')]).to.deep.equal([true, true])
      await time.advance(700)
      expect([links.isLoadQueued(engine, 'm/a'), links.canRequestLoad(engine, 'm/a')]).to.deep.equal([false, false])
    })

    // Guards against a slot that stays unused for as long as reports of uses are held back.
    it('report the end of an adapter\'s last use without delay', async () => {
      const state = states.getOrCreate(engineAt('10.0.0.1'), 4)
      const report = { at: nowMs(), reachable: true, held: new Map([['m/a', 1]]), coming: new Set<string>(), waiting: 0, running: 0, unread: 0 }
      const run = async (room: number): Promise<unknown[]> => {
        state.applyReport({ ...report, room })
        const pending = state.begin({ key: 'm/a', patienceMs: 500, tokens: 0, priority: 1 })
        await time.advance(100)
        received = []
        state.end('m/a', pending)
        await time.settle(10)
        return of('uses')
      }
      expect(await run(1)).to.deep.equal([])
      await time.advance(100)
      expect(await run(0)).to.deep.equal([{ host: '10.0.0.1', type: 'uses', uses: [['m/a', 0, 0]], unread: 0 }])
    })
  })
})
