/*
 * Guards against many copies of a request being sent when its quarantine expires. A caller kept sending a request that crashes
 * engines to all entries. After two consecutive crashes all entries rejected it for 5 s. Then the quarantine expired at all of
 * them within 20 ms, and eight copies were sent within 0.1 s. Eleven engines crashed, and seven attempts were made long after
 * the third crash.
 *
 * Each entry released the request on its own, for any number of copies. Now a single entry sends it once, as a probe, and the
 * outcome of the probe decides.
 *
 * In the logs: `request.quarantined … "forMs":5000` at three entries, and 5 s later eight lines `request.broke_off` with the
 * same fingerprint at all three within 0.1 s.
 */
import { pause } from '@finchpitch/core'
import { FleetSystem, sendToFleet } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const crashPath = '/stream/fatal'
const requestIntervalMs = 25
/** An engine crashes this long after it started to run the request. */
const crashDelayMs = 130
/** Two quarantines of 5 s, and the time between them. */
const testMs = 14_000
/** All entries have to know of the third crash after this time. */
const propagationMs = 3000
/** Maximum number of attempts after that. */
const maxAttempts = 3

describe('a request that crashes servers, after its quarantine expires', function () {
  this.timeout(60_000)
  let fleet: FleetSystem

  before(async () => {
    fleet = new FleetSystem({ network: 49, domains: 3, entriesPerDomain: 1, enginesPerDomain: 2, plainServersPerDomain: 1, adapterSlots: 8, loadMs: 20, workMs: 20, events: 4, eventMs: 10 })
    await fleet.start()
    for (const engine of fleet.engines) Object.assign(engine, { crashPath, crashDelayMs })
  })

  after(() => fleet.stop())

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
  })

  it('is sent at most three more times, however many copies arrive at all entries', async () => {
    const until = performance.now() + testMs
    for (let each = 0; performance.now() < until; each++) {
      for (const entry of fleet.entries.keys()) void sendToFleet(fleet, { path: crashPath, id: `fatal-${entry}-${each}`, model: 'base', entry }).catch(() => undefined)
      await pause(requestIntervalMs)
    }
    const runs = fleet.engines.flatMap(engine => engine.arrivals).filter(({ id, refused }) => id.startsWith('fatal-') && !refused).map(({ at }) => at).sort((a, b) => a - b)
    expect(runs.length).to.be.above(2)
    const thirdCrashAt = (runs[2] ?? 0) + crashDelayMs
    expect(runs.filter(at => at > thirdCrashAt + propagationMs).length).to.be.at.most(maxAttempts)
  })
})
