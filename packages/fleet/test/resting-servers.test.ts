/*
 * Two engines turned away whatever they got, for eight seconds, and asked each time for 3 s of rest. Three entries went on to send
 * them what they had sent before, ten to twenty-five requests a second each. The word bound the one request that it came with: that one went
 * elsewhere, and would have told its caller when to come back; the next was sent to the same engine.
 *
 * What settled it: `request.not_run … "status":503,"cause":"full"` of the same engine at the same entry up to ten times a second,
 * each the first try of another request.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, type BackendStandIn } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const restMs = 1500
/** From so long after the answer that asks for rest, */
const bindingMs = 500
/** to its end, so many requests of one entry may reach the server. */
const mostInRest = 2
const askEveryMs = 25
/** Less than a request waits for a place. */
const atOnceMs = 40
/** Until the first requests of a test have reached the servers. */
const slackMs = 100

describe('servers that ask for rest', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let load: FleetLoad

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 39, domains: 2, entriesPerDomain: 1, enginesPerDomain: 2, plainPerDomain: 2, places: 4, loadMs: 20, workMs: 10, events: 3, eventMs: 5 })
    await fleet.start()
    load = new FleetLoad(fleet, 'rest')
    await load.served(['/stream/x', '/again/x'])
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.keepLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  const askForRest = (servers: readonly BackendStandIn[]): void => {
    for (const server of servers) {
      server.fault = 'shedding'
      server.restSeconds = String(restMs / 1000)
    }
  }

  /** The most requests of one entry that reached the server within a rest that it had asked that entry for. */
  const mostArrivals = (server: BackendStandIn): number => {
    const counts = fleet.entries.flatMap((_, entry) => {
      const mine = server.arrivals.filter(({ id }) => id.startsWith(load.idPrefix(entry)))
      return mine.filter(({ refused }) => refused).map(({ at }) =>
        mine.filter(other => other.at > at + bindingMs && other.at < at + restMs).length)
    })
    return Math.max(0, ...counts)
  }

  it('get it from each entry that they have asked, while others serve', async () => {
    const engine = fleet.engines.find(each => each.adapters.has('a1')) as BackendStandIn
    const plain = fleet.plain[0] as BackendStandIn
    askForRest([engine, plain])
    const sent = await load.sendFor(restMs * 2, askEveryMs, ['/stream/x', '/again/x'])
    expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    expect([engine, plain].map(server => server.arrivals.some(({ refused }) => refused))).to.deep.equal([true, true])
    expect(mostArrivals(engine)).to.be.at.most(mostInRest)
    expect(mostArrivals(plain)).to.be.at.most(mostInRest)
  })

  it('have callers told at once when the first of them takes requests again, where all of them rest', async () => {
    askForRest(fleet.plain)
    const askedForMs = bindingMs * 2
    await load.sendFor(askedForMs, askEveryMs, ['/again/x'])
    const [told] = await Promise.all([load.send(0, '/again/x'), load.send(1, '/again/x')])
    expect(told.status).to.equal(503)
    expect(told.endedAt - told.at).to.be.lessThan(atOnceMs)
    expect(told.retryAfterMs).to.be.within(1, restMs - askedForMs + slackMs)
    for (const server of fleet.plain) server.fault = 'none'
    await pause(told.retryAfterMs)
    expect(await load.send(0, '/again/x')).to.include({ status: 200 })
    expect(fleet.plain.map(mostArrivals).every(most => most <= mostInRest)).to.equal(true)
  })
})
