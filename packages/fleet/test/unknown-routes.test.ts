/*
 * Callers were told that there is no such route (404, which says that asking again is of no use) by entries that could not know:
 * a route had been added, and their tables were older than any change may take to be in force. The answer was given from whatever
 * table was there: one that was 4 s old, with the store silent, said 404 at once, and the line of the request told the version and not
 * its age.
 */
import { pause } from '@finchpitch/core'
import { FleetSystem, askFleet, type Reply } from '@finchpitch/stand-ins'
import { expect } from 'chai'

/** A change has to be in force so long after the store has acknowledged it. */
const applyMs = 2000
/** Until an entry that left the store to others has had an answer to its question. */
const promptMs = 500
const entriesPerDomain = 5

describe('a request for a route that an entry does not know', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let asked = 0

  const ask = async (entry: number): Promise<Reply> => {
    asked += 1
    return await askFleet(fleet, { path: '/unknown/x', id: `unknown-${asked}`, entry })
  }

  before(async () => {
    fleet = new FleetSystem({ network: 61, domains: 1, entriesPerDomain, enginesPerDomain: 2, plainPerDomain: 1, places: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5 })
    await fleet.start()
    // Entries that are not named leave the store to the three that are.
    await pause(applyMs)
  })

  after(async () => { await fleet.stop() })

  it('is told so soon where the store answers, at entries that read it and at those that leave it to others', async () => {
    for (let entry = 0; entry < entriesPerDomain; entry++) {
      const from = performance.now()
      expect((await ask(entry)).status).to.equal(404)
      expect(performance.now() - from).to.be.lessThan(promptMs)
    }
  })

  describe('while the store answers nobody', () => {
    before(async () => {
      fleet.store.fault = 'silent'
      await pause(applyMs * 2)
    })

    it('is refused as not run, with when to come back, since a route may have been added', async () => {
      for (let entry = 0; entry < entriesPerDomain; entry++) {
        const { status, headers } = await ask(entry)
        expect(status).to.equal(503)
        expect(Number(headers['retry-after'])).to.be.greaterThan(0)
      }
    })

    it('is served once the store answers, where the route was added meanwhile', async () => {
      fleet.moreRoutes = [{ name: 'r-unknown', host: 'fleet.example', pathPrefix: '/unknown/', kind: 'idempotent', timeoutMs: 1000, targetLatencyMs: 150, priority: 2, maxAttempts: 2, service: 'ledger', sticky: false, resumable: false }]
      fleet.store.put('config', 'main', fleet.table(2))
      fleet.store.fault = 'none'
      await pause(applyMs)
      for (let entry = 0; entry < entriesPerDomain; entry++) expect((await ask(entry)).status).to.equal(200)
    })
  })
})
