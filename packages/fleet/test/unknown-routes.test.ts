/*
 * An entry with a stale routing table answered 404, which tells callers not to retry, for a route that had been added meanwhile.
 * The response came from whatever table the entry had: with the store silent and a table 4 s old, older than any change may take to
 * be in force, it was an immediate 404, and the log line of the request had the version of the table but not its age.
 */
import { pause } from '@finchpitch/core'
import { FleetSystem, sendToFleet, type FleetResponse } from '@finchpitch/stand-ins'
import { expect } from 'chai'

/** A change has to be in force this long after the store has acknowledged it. */
const applyMs = 2000
/** By then an entry that doesn't watch the store itself has received a freshness proof from another process. */
const proofMs = 500
const entriesPerDomain = 5

describe('a request for an unknown route', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let requestCount = 0

  const send = async (entry: number): Promise<FleetResponse> => {
    requestCount += 1
    return await sendToFleet(fleet, { path: '/unknown/x', id: `unknown-${requestCount}`, entry })
  }

  before(async () => {
    fleet = new FleetSystem({ network: 61, domains: 1, entriesPerDomain, enginesPerDomain: 2, plainServersPerDomain: 1, adapterSlots: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5 })
    await fleet.start()
    // Only the three entries that are appointed to watch the store do so.
    await pause(applyMs)
  })

  after(async () => { await fleet.stop() })

  it('gets 404 promptly while the store is available, both from entries that watch it and from those that don\'t', async () => {
    for (let entry = 0; entry < entriesPerDomain; entry++) {
      const startedAt = performance.now()
      expect((await send(entry)).status).to.equal(404)
      expect(performance.now() - startedAt).to.be.lessThan(proofMs)
    }
  })

  describe('during an outage of the store', () => {
    before(async () => {
      fleet.store.fault = 'silent'
      await pause(applyMs * 2)
    })

    it('is refused as not run, with Retry-After, since the route may have been added', async () => {
      for (let entry = 0; entry < entriesPerDomain; entry++) {
        const { status, headers } = await send(entry)
        expect(status).to.equal(503)
        expect(Number(headers['retry-after'])).to.be.greaterThan(0)
      }
    })

    it('is served after the outage if the route was added meanwhile', async () => {
      fleet.extraRoutes = [{ name: 'r-unknown', host: 'fleet.example', pathPrefix: '/unknown/', kind: 'idempotent', timeoutMs: 1000, targetLatencyMs: 150, priority: 2, maxAttempts: 2, service: 'ledger', sticky: false, resumable: false }]
      fleet.store.put('config', 'main', fleet.table(2))
      fleet.store.fault = 'none'
      await pause(applyMs)
      for (let entry = 0; entry < entriesPerDomain; entry++) expect((await send(entry)).status).to.equal(200)
    })
  })
})
