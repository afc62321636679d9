/*
 * Two engines named with their answers how many requests a second they take from all entries together, 4.8 and 1.3. Three entries
 * went on to send them what they had sent before: 57 and 13 requests in 4 s, where 34 and 13 break what is allowed.
 *
 * What a server says of the requests it takes was passed on to the caller and read by nobody; it would also have bound only the
 * one entry that heard it, and three entries that each send 4.8 a second are too many as well. It binds all entries together now,
 * by shares that move to where requests come.
 *
 * What settled it: arrivals a second at the first engine, 7 13 14 13 before the word and 13 12 16 16 after it, and lines
 * `request.ended` with it as the server, its reason `held near` as before, at all three entries.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, type BackendStandIn } from '@finchpitch/stand-ins'
import { expect } from 'chai'

/** From so long after a server first named its limit, */
const contactMs = 3000
/** in any such time, */
const windowMs = 4000
/** it gets no more than so many times what the limit allows, */
const overage = 1.5
/** and so many requests. */
const slack = 5
const askEveryMs = 25
/** An entry's answer has reached all others by then. */
const toldMs = 300
/** Half of the route's objective is waited for a place that is sure to come, and no longer. */
const mostHeldMs = 150
/** Long enough for a window of which nothing lies in the time that is for passing the word on. */
const playMs = contactMs + windowMs + 1500

describe('servers that name a limit', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let load: FleetLoad

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 48, domains: 3, entriesPerDomain: 1, enginesPerDomain: 1, plainPerDomain: 1, places: 4, loadMs: 20, workMs: 10, events: 3, eventMs: 5 })
    await fleet.start()
    load = new FleetLoad(fleet, 'limit')
    await load.served(['/stream/x', '/again/x'])
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.keepLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  /** The most requests that reached the server in any window, from when its word binds. */
  const mostArrivals = (server: BackendStandIn, namedAt: number): number => {
    const times = server.arrivals.map(({ at }) => at).filter(at => at > namedAt + contactMs)
    return Math.max(0, ...times.map(first => times.filter(at => at >= first && at < first + windowMs).length))
  }

  const allowed = (perSecond: number): number => overage * perSecond * windowMs / 1000 + slack

  for (const perSecond of [1.3, 4.8]) {
    it(`get no more of all entries than ${perSecond} a second allows, while others serve`, async () => {
      const engine = fleet.engines.find(each => each.adapters.has('a1')) as BackendStandIn
      const plain = fleet.plain[0] as BackendStandIn
      const namedAt = performance.now()
      for (const server of [engine, plain]) server.limitPerSecond = perSecond
      const sent = await load.sendFor(playMs, askEveryMs, ['/stream/x', '/again/x'])
      expect([engine, plain].map(server => mostArrivals(server, namedAt) <= allowed(perSecond))).to.deep.equal([true, true])
      expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    })
  }

  it('are spared by an entry that only others have told', async () => {
    const plain = fleet.plain[0] as BackendStandIn
    plain.limitPerSecond = 1.3
    while (plain.arrivals.length === 0 || plain.arrivals.at(-1)?.id.startsWith(load.idPrefix(0)) !== true) await load.send(0, '/again/x')
    await pause(toldMs)
    const from = performance.now()
    const sent = await Promise.all(Array.from({ length: 60 }, () => load.send(1, '/again/x')))
    expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    expect(plain.arrivals.filter(({ at }) => at > from).length).to.be.at.most(allowed(1.3))
  })

  it('get as much as ever once they name none, or are born again', async () => {
    const [ended, born] = fleet.plain as [BackendStandIn, BackendStandIn]
    for (const server of [ended, born]) server.limitPerSecond = 1.3
    await load.sendFor(1000, askEveryMs, ['/again/x'])
    ended.limitPerSecond = undefined
    born.limitPerSecond = undefined
    born.bornAt = 2
    born.restart(born.id)
    fleet.list(born)
    await load.sendFor(3000, askEveryMs, ['/again/x'])
    const from = performance.now()
    await load.sendFor(1000, askEveryMs, ['/again/x'])
    const freely = 1000 / askEveryMs * fleet.entries.length / fleet.plain.length / 3
    for (const server of [ended, born]) expect(server.arrivals.filter(({ at }) => at > from).length).to.be.above(freely)
  })

  it('have callers refused at once with a time of which something comes, where all of them name limits', async () => {
    const namedAt = performance.now()
    for (const server of fleet.plain) server.limitPerSecond = 4.8
    const sent = await load.sendFor(playMs, askEveryMs, ['/again/x'])
    for (const server of fleet.plain) expect(mostArrivals(server, namedAt)).to.be.at.most(allowed(4.8))
    const served = sent.filter(each => each.status === 200).length
    expect(served).to.be.above(fleet.plain.length * 4.8 * playMs / 1000 / 2)
    const refused = sent.filter(each => each.status === 503)
    expect(served + refused.length).to.equal(sent.length)
    expect(refused.every(each => each.retryAfterMs >= 100 && each.retryAfterMs <= 5000)).to.equal(true)
    const held = refused.filter(each => each.endedAt - each.at > mostHeldMs).length
    expect(held / refused.length).to.be.below(0.1)
  })
})
