/*
 * Guards against sending requests to a server that asked for backoff. Two engines rejected every request for eight seconds and
 * asked for 3 s of backoff each time, yet three entries kept sending them ten to twenty-five requests a second each. The backoff
 * was applied only to the request that it was sent in answer to, so the next request went to the same engine.
 *
 * In the logs: `request.not_run … "status":503,"cause":"full"` for the same engine at the same entry up to ten times a second,
 * each on the first attempt of another request.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, type BackendStandIn } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const backoffMs = 1500
/** The backoff applies to an entry from this long after the response that asks for it. */
const effectiveAfterMs = 500
/** From then until the backoff ends, at most this many requests of one entry may reach the server. */
const maxDuringBackoff = 2
const requestIntervalMs = 25
/** Less than a request would wait for capacity. */
const immediateMs = 40
/** Time until the first requests of a test have reached the servers. */
const slackMs = 100

describe('servers that ask for backoff', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let load: FleetLoad

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 39, domains: 2, entriesPerDomain: 1, enginesPerDomain: 2, plainServersPerDomain: 2, adapterSlots: 4, loadMs: 20, workMs: 10, events: 3, eventMs: 5 })
    await fleet.start()
    load = new FleetLoad(fleet, 'rest')
    await load.waitUntilServed(['/stream/x', '/again/x'])
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  const askForBackoff = (servers: readonly BackendStandIn[]): void => {
    for (const server of servers) {
      server.fault = 'shedding'
      server.retryAfterSeconds = String(backoffMs / 1000)
    }
  }

  /** The highest number of requests from one entry that reached the server during a backoff that it had asked for. */
  const maxArrivals = (server: BackendStandIn): number => {
    const counts = fleet.entries.flatMap((_, entry) => {
      const ownArrivals = server.arrivals.filter(({ id }) => id.startsWith(load.idPrefix(entry)))
      return ownArrivals.filter(({ refused }) => refused).map(({ at }) =>
        ownArrivals.filter(other => other.at > at + effectiveAfterMs && other.at < at + backoffMs).length)
    })
    return Math.max(0, ...counts)
  }

  it('receive no requests from the entries that they asked to back off, while other servers answer', async () => {
    const engine = fleet.engines.find(each => each.adapters.has('a1')) as BackendStandIn
    const plain = fleet.plainServers[0] as BackendStandIn
    askForBackoff([engine, plain])
    const sent = await load.sendFor(backoffMs * 2, requestIntervalMs, ['/stream/x', '/again/x'])
    expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    expect([engine, plain].map(server => server.arrivals.some(({ refused }) => refused))).to.deep.equal([true, true])
    expect(maxArrivals(engine)).to.be.at.most(maxDuringBackoff)
    expect(maxArrivals(plain)).to.be.at.most(maxDuringBackoff)
  })

  it('make entries answer at once with a retry time when all of them are in backoff', async () => {
    askForBackoff(fleet.plainServers)
    const elapsedMs = effectiveAfterMs * 2
    await load.sendFor(elapsedMs, requestIntervalMs, ['/again/x'])
    const [response] = await Promise.all([load.send(0, '/again/x'), load.send(1, '/again/x')])
    expect(response.status).to.equal(503)
    expect(response.endedAt - response.at).to.be.lessThan(immediateMs)
    expect(response.retryAfterMs).to.be.within(1, backoffMs - elapsedMs + slackMs)
    for (const server of fleet.plainServers) server.fault = 'none'
    await pause(response.retryAfterMs)
    expect(await load.send(0, '/again/x')).to.include({ status: 200 })
    expect(fleet.plainServers.map(maxArrivals).every(most => most <= maxDuringBackoff)).to.equal(true)
  })
})
