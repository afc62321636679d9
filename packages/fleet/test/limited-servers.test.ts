/*
 * Two engines named with their answers how many requests a second they take from all entries together, 4.8 and 1.3. Three entries
 * went on to send them what they had sent before: 57 and 13 requests in 4 s, where 34 and 13 break what is allowed.
 *
 * What settled it: arrivals a second at the first engine, 7 13 14 13 before the word and 13 12 16 16 after it, and lines
 * `request.ended` with it as the server, its reason `held near` as before, at all three entries.
 */
import { pause } from '@finchpitch/core'
import { FleetSystem, askFleet, eventually, type BackendStandIn } from '@finchpitch/stand-ins'
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
const model = 'base/a1'
/** Long enough for a window of which nothing lies in the time that is for passing the word on. */
const playMs = contactMs + windowMs + 1500

interface Sent {
  status: number
  retryAfterMs: number
  ms: number
}

describe('servers that name a limit', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let asked = 0

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 48, domains: 3, entriesPerDomain: 1, enginesPerDomain: 1, plainPerDomain: 1, places: 4, loadMs: 20, workMs: 10, events: 3, eventMs: 5 })
    await fleet.start()
    for (const entry of fleet.entries.keys()) for (const path of ['/stream/x', '/again/x']) await eventually('served', async () => (await send(entry, path)).status === 200)
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.keepLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  const send = async (entry: number, path: string): Promise<Sent> => {
    const at = performance.now()
    const reply = await askFleet(fleet, { path, id: `limit-${entry}-${asked++}`, entry, ...(path.startsWith('/stream') ? { model } : {}) })
    return { status: reply.status, retryAfterMs: Number(reply.headers['retry-after'] ?? 0) * 1000, ms: performance.now() - at }
  }

  const sendFor = async (ms: number, paths: readonly string[]): Promise<Sent[]> => {
    const sent: Array<Promise<Sent>> = []
    const until = performance.now() + ms
    while (performance.now() < until) {
      for (const entry of fleet.entries.keys()) for (const path of paths) sent.push(send(entry, path))
      await pause(askEveryMs)
    }
    return await Promise.all(sent)
  }

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
      const sent = await sendFor(playMs, ['/stream/x', '/again/x'])
      expect([engine, plain].map(server => mostArrivals(server, namedAt) <= allowed(perSecond))).to.deep.equal([true, true])
      expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    })
  }
})
