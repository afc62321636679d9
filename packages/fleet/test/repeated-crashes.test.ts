/*
 * Guards against a request that crashes server after server. A caller kept retrying a request at any entry, and each engine
 * that started to run it crashed about 0.1 s later, with all its other streams. Nothing connected the retries: each had an id
 * of its own, and the failure counted only against the engine, so the next healthy engine was selected for the next retry.
 * Twelve engines crashed under one request and ten under another, eight and six of them after the third crash.
 *
 * In the logs: at each crash `server.failed … "detail":"aborted"` for three to ten requests in the same millisecond. One of
 * them was always for adapter a1416 with 1036 tokens and had started 105 to 155 ms before. The engines were in three failure
 * domains, and each crashed alone.
 */
import { pause } from '@finchpitch/core'
import { FleetSystem, sendToFleet, type FleetRequest, type FleetResponse } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const retries = 10
/** Longer than an engine takes to restart, so that there are engines left for all retries. */
const retryIntervalMs = 150
const crashPath = '/stream/fatal'
/** Two crashes known to all entries quarantine the request; one more attempt may already be in progress. */
const maxCrashes = 3

describe('a request that crashes the servers that run it', function () {
  let fleet: FleetSystem

  before(async () => {
    fleet = new FleetSystem({ network: 37, domains: 2, entriesPerDomain: 2, enginesPerDomain: 3, plainServersPerDomain: 1, adapterSlots: 8, loadMs: 20, workMs: 20, events: 4, eventMs: 10 })
    await fleet.start()
    for (const engine of fleet.engines) engine.crashPath = crashPath
  })

  after(() => fleet.stop())

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
  })

  /** `undefined` if no response started. */
  const send = async (request: FleetRequest): Promise<FleetResponse | undefined> => await sendToFleet(fleet, request).catch(() => undefined)

  /** Number of attempts that a server started to run. */
  const runsOf = (id: string): number => [...fleet.engines, ...fleet.plainServers].flatMap(server => server.startedIds).filter(each => each.startsWith(id)).length

  it('is rejected at every entry once it has crashed two of them', async () => {
    const replies: Array<FleetResponse | undefined> = []
    for (let each = 0; each < retries; each++) {
      replies.push(await send({ path: crashPath, id: `fatal-${each}`, model: 'base', entry: each % fleet.entries.length }))
      await pause(retryIntervalMs)
    }
    expect(runsOf('fatal')).to.be.at.most(maxCrashes)
    for (const reply of replies.slice(-fleet.entries.length)) {
      expect(reply?.status).to.equal(503)
      expect(Number(reply?.headers['retry-after'])).to.be.greaterThan(1)
    }
  })

  it('does not affect other requests', async () => {
    const others: FleetRequest[] = fleet.entries.map((_, entry) => ({ path: crashPath, id: `other-body-${entry}`, model: 'base', entry, body: '{"ask":2}' }))
    for (const engine of fleet.engines) engine.crashPath = undefined
    const replies = await Promise.all(others.map(send))
    expect(replies.map(reply => reply?.status)).to.deep.equal(replies.map(() => 200))
  })
})
