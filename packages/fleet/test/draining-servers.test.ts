/*
 * Guards against sending requests to a server whose answers say that it is draining. The store was silent and kept listing an
 * engine as ready while each of its answers said that it was draining. Two entries forwarded such answers and kept sending it
 * requests for 6 s, until it stopped; 2 s are allowed. An entry evaluated what an answer says about the request, but not what it
 * says about its server, so it could learn only from the store that a server drains.
 *
 * In the logs: 60 lines `request.ended` with this engine as the server after the first such answer, with the reason `held across`
 * as before, and no line of any entry about its draining.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, eventually, type BackendStandIn, type Machine, type SentRequest } from '@finchpitch/stand-ins'
import { expect } from 'chai'

/** From this long after the entry got an answer that says so, a draining server may receive no request that arrives at the entry. */
const drainMs = 2000
const requestIntervalMs = 40
/** Less than a request waits if a server may still appear: a fifth of the 150 ms of the route. */
const immediateMs = 25
const paths = ['/stream/x', '/again/x']

describe('servers whose answers say that they are draining', function () {
  this.timeout(60_000)
  const network = 38
  let fleet: FleetSystem
  let load: FleetLoad

  beforeEach(async () => {
    fleet = new FleetSystem({ network, domains: 2, entriesPerDomain: 1, enginesPerDomain: 2, plainServersPerDomain: 2, adapterSlots: 4, loadMs: 20, workMs: 10, events: 3, eventMs: 5 })
    await fleet.start()
    load = new FleetLoad(fleet, 'leave')
    await load.waitUntilServed(paths)
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  /** Ids of requests that reached `server` although an entry got them later than `drainMs` after its first such answer. */
  const lateArrivals = (server: BackendStandIn, sent: SentRequest[], drainingAt: number): string[] => fleet.entries.flatMap((_, entry) => {
    const ofEntry = sent.filter(each => each.entry === entry)
    const answeredAt = ofEntry.filter(each => each.server === server.id && each.at >= drainingAt).map(each => each.endedAt)
    const drainedAt = Math.min(...answeredAt) + drainMs
    const arrivedIds = new Set(server.arrivals.map(({ id }) => id))
    return ofEntry.filter(each => each.at > drainedAt && arrivedIds.has(each.id)).map(each => each.id)
  })

  const startDraining = (...servers: BackendStandIn[]): number => {
    for (const server of servers) server.leaving = true
    return performance.now()
  }

  it('receive no requests after the drain time, while the store is silent', async () => {
    const [engine, plain] = [fleet.engines.find(each => each.adapters.has('a1')), fleet.plainServers[0]] as BackendStandIn[]
    fleet.store.fault = 'silent'
    const drainingAt = startDraining(engine as BackendStandIn, plain as BackendStandIn)
    const sent = await load.sendFor(drainMs + 1500, requestIntervalMs, paths)
    expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    expect(lateArrivals(engine as BackendStandIn, sent, drainingAt)).to.deep.equal([])
    expect(lateArrivals(plain as BackendStandIn, sent, drainingAt)).to.deep.equal([])
  })

  it('are known to all entries through their side process, including an entry that has just started', async () => {
    const engine = fleet.engines.find(each => each.adapters.has('a1')) as BackendStandIn
    fleet.store.fault = 'silent'
    const started = fleet.entries[1] as Machine
    await fleet.kill(started)
    startDraining(engine)
    await pause(1000)
    const before = engine.arrivals.length
    await fleet.startProcess(started)
    await eventually('the entry serves', async () => (await load.send(1, '/again/x').catch(() => undefined))?.status === 200, 8000)
    await pause(500)
    await load.sendFor(500, requestIntervalMs, paths)
    expect(engine.arrivals.slice(before)).to.deep.equal([])
  })

  it('load adapters again after a restart under the same id, with none loaded', async () => {
    for (const engine of fleet.engines) {
      engine.bornAt = 1000
      fleet.relist(engine)
    }
    await pause(1000)
    const engine = fleet.engines.find(each => each.adapters.has('a1')) as BackendStandIn
    startDraining(engine)
    await load.sendFor(1000, requestIntervalMs, paths)
    engine.restart(engine.id)
    engine.leaving = false
    engine.bornAt = 2000
    fleet.relist(engine)
    // The other engines drain, so that only this one takes requests.
    startDraining(...fleet.engines.filter(each => each !== engine))
    await pause(2000)
    const sent = await load.sendFor(500, requestIntervalMs, paths)
    expect(sent.filter(each => each.server === engine.id).length).to.be.greaterThan(0)
    expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
  })

  it('make entries answer at once when they are the last of their service', async () => {
    fleet.store.fault = 'silent'
    await pause(3500)
    startDraining(...fleet.plainServers)
    for (let each = 0; each < fleet.plainServers.length; each++) await Promise.all([...fleet.entries.keys()].map(async entry => await load.send(entry, '/again/x')))
    const sent = await Promise.all([...fleet.entries.keys()].map(async entry => await load.send(entry, '/again/x')))
    for (const { status, at, endedAt } of sent) {
      expect(status).to.equal(503)
      expect(endedAt - at).to.be.lessThan(immediateMs)
    }
  })

  it('receive no requests when the store lists them as ready again, until they have restarted under the same id', async () => {
    const plain = fleet.plainServers[0] as BackendStandIn
    plain.bornAt = 1000
    fleet.relist(plain)
    await pause(1000)
    const drainingAt = startDraining(plain)
    const before = await load.sendFor(drainMs + 200, requestIntervalMs, paths)
    fleet.store.remove('servers', plain.id)
    await pause(200)
    fleet.relist(plain)
    const sent = [...before, ...await load.sendFor(1500, requestIntervalMs, paths)]
    expect(lateArrivals(plain, sent, drainingAt)).to.deep.equal([])
    plain.leaving = false
    plain.bornAt = 2000
    fleet.relist(plain)
    await pause(1000)
    expect((await load.sendFor(500, requestIntervalMs, paths)).some(each => each.server === plain.id)).to.equal(true)
  })
})
