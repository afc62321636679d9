/*
 * Guards against ignoring the request rate that a server advertises. Two engines advertised that they accept 4.8 and 1.3
 * requests per second from all entries together. Three entries kept sending at the previous rate: 57 and 13 requests in 4 s,
 * where 34 and 13 are already too many.
 *
 * The header was forwarded to the caller and otherwise ignored. Applying it only at the entry that received it would not be
 * enough either, as three entries with 4.8 requests per second each exceed the limit too. Now it limits all entries together,
 * by shares that move to the entries that need them.
 *
 * In the logs: arrivals per second at the first engine were 7 13 14 13 before the limit was advertised and 13 12 16 16
 * afterwards, and lines `request.ended` name it as the server with the reason `held near`, as before, at all three entries.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, type BackendStandIn } from '@finchpitch/stand-ins'
import { expect } from 'chai'

/** The bound applies starting this long after a server first advertised its limit. */
const propagationMs = 3000
/** Length of the windows in which arrivals are counted. */
const windowMs = 4000
/** In each window a server gets at most this multiple of what its limit allows. */
const overageFactor = 1.5
/** Number of requests allowed in each window beyond that. */
const slack = 5
const requestIntervalMs = 25
/** A report of an entry has reached all others by then. */
const reportMs = 300
/** A request waits for capacity no longer than half of its route's objective. */
const maxQueuedMs = 150
/** Long enough for one whole window after the propagation time. */
const testMs = propagationMs + windowMs + 1500

describe('rate-limited servers', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let load: FleetLoad

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 48, domains: 3, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 4, loadMs: 20, workMs: 10, events: 3, eventMs: 5 })
    await fleet.start()
    load = new FleetLoad(fleet, 'limit')
    await load.waitUntilServed(['/stream/x', '/again/x'])
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  /** The highest number of requests that reached the server in any window after the propagation time. */
  const maxArrivals = (server: BackendStandIn, advertisedAt: number): number => {
    const times = server.arrivals.map(({ at }) => at).filter(at => at > advertisedAt + propagationMs)
    return Math.max(0, ...times.map(first => times.filter(at => at >= first && at < first + windowMs).length))
  }

  const allowed = (perSecond: number): number => overageFactor * perSecond * windowMs / 1000 + slack

  for (const perSecond of [1.3, 4.8]) {
    it(`get no more requests from all entries than ${perSecond} per second allows, while other servers take the rest`, async () => {
      const engine = fleet.engines.find(each => each.adapters.has('a1')) as BackendStandIn
      const plain = fleet.plainServers[0] as BackendStandIn
      const advertisedAt = performance.now()
      for (const server of [engine, plain]) server.limitPerSecond = perSecond
      const sent = await load.sendFor(testMs, requestIntervalMs, ['/stream/x', '/again/x'])
      expect([engine, plain].map(server => maxArrivals(server, advertisedAt) <= allowed(perSecond))).to.deep.equal([true, true])
      expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    })
  }

  it('are protected by an entry that knows the limit only from reports of other entries', async () => {
    const plain = fleet.plainServers[0] as BackendStandIn
    plain.limitPerSecond = 1.3
    while (plain.arrivals.length === 0 || plain.arrivals.at(-1)?.id.startsWith(load.idPrefix(0)) !== true) await load.send(0, '/again/x')
    await pause(reportMs)
    const from = performance.now()
    const sent = await Promise.all(Array.from({ length: 60 }, () => load.send(1, '/again/x')))
    expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    expect(plain.arrivals.filter(({ at }) => at > from).length).to.be.at.most(allowed(1.3))
  })

  it('get as many requests as before once they advertise no limit, or restart', async () => {
    const [lifted, restarted] = fleet.plainServers as [BackendStandIn, BackendStandIn]
    for (const server of [lifted, restarted]) server.limitPerSecond = 1.3
    await load.sendFor(1000, requestIntervalMs, ['/again/x'])
    lifted.limitPerSecond = undefined
    restarted.limitPerSecond = undefined
    restarted.bornAt = 2
    restarted.restart(restarted.id)
    fleet.relist(restarted)
    await load.sendFor(3000, requestIntervalMs, ['/again/x'])
    const from = performance.now()
    await load.sendFor(1000, requestIntervalMs, ['/again/x'])
    const unlimitedMinimum = 1000 / requestIntervalMs * fleet.entries.length / fleet.plainServers.length / 3
    for (const server of [lifted, restarted]) expect(server.arrivals.filter(({ at }) => at > from).length).to.be.above(unlimitedMinimum)
  })

  it('have callers rejected at once with a useful retry time, where all servers of a service advertise limits', async () => {
    const advertisedAt = performance.now()
    for (const server of fleet.plainServers) server.limitPerSecond = 4.8
    const sent = await load.sendFor(testMs, requestIntervalMs, ['/again/x'])
    for (const server of fleet.plainServers) expect(maxArrivals(server, advertisedAt)).to.be.at.most(allowed(4.8))
    const served = sent.filter(each => each.status === 200).length
    expect(served).to.be.above(fleet.plainServers.length * 4.8 * testMs / 1000 / 2)
    const rejected = sent.filter(each => each.status === 503)
    expect(served + rejected.length).to.equal(sent.length)
    expect(rejected.every(each => each.retryAfterMs >= 100 && each.retryAfterMs <= 5000)).to.equal(true)
    const queued = rejected.filter(each => each.endedAt - each.at > maxQueuedMs).length
    expect(queued / rejected.length).to.be.below(0.1)
  })
})
