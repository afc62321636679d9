/*
 * A caller sent one request again and again, at all entries, and each engine that ran it ended. After two ends in a row all entries
 * refused it for 5 s; then that lapsed at all of them within 20 ms, and every copy that came was sent, eight in a tenth of a
 * second. Eleven engines ended under it, and seven sendings were made long after three had ended.
 *
 * The end of a hold freed the request, at each entry by itself and for whatever copies came. It is run once now, by one entry for
 * all, and what becomes of that run decides.
 *
 * What settled it: `request.quarantined … "forMs":5000` at three entries, and 5 s later eight lines `request.broke_off` with the
 * same fingerprint at all three within 0.1 s.
 */
import { pause } from '@finchpitch/core'
import { FleetSystem, askFleet } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const fatalPath = '/stream/fatal'
const askEveryMs = 25
/** An engine ends so long after it began to run the request. */
const fatalMs = 130
/** Two holds of 5 s, and what comes between them. */
const playMs = 14_000
/** From so long after the third engine has ended under it, all entries are to know. */
const contactMs = 3000
/** So many sendings are allowed after that. */
const mostSendings = 3

describe('a request that ends its servers, once its quarantine lapses', function () {
  this.timeout(60_000)
  let fleet: FleetSystem

  before(async () => {
    fleet = new FleetSystem({ network: 49, domains: 3, entriesPerDomain: 1, enginesPerDomain: 2, plainPerDomain: 1, places: 8, loadMs: 20, workMs: 20, events: 4, eventMs: 10 })
    await fleet.start()
    for (const engine of fleet.engines) Object.assign(engine, { fatalPath, fatalMs })
  })

  after(() => fleet.stop())

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.keepLines(this.currentTest.title)}`)
  })

  it('is sent three times more at most, however many copies come at all entries', async () => {
    const until = performance.now() + playMs
    for (let each = 0; performance.now() < until; each++) {
      for (const entry of fleet.entries.keys()) void askFleet(fleet, { path: fatalPath, id: `fatal-${entry}-${each}`, model: 'base', entry }).catch(() => undefined)
      await pause(askEveryMs)
    }
    const runs = fleet.engines.flatMap(engine => engine.arrivals).filter(({ id, refused }) => id.startsWith('fatal-') && !refused).map(({ at }) => at).sort((a, b) => a - b)
    expect(runs.length).to.be.above(2)
    const thirdEndedAt = (runs[2] ?? 0) + fatalMs
    expect(runs.filter(at => at > thirdEndedAt + contactMs).length).to.be.at.most(mostSendings)
  })
})
