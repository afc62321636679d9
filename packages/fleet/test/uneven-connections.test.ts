/*
 * Guards against an entry that fails its callers while the load balancer hands most new connections to it.
 */
import { Agent } from 'node:http'
import { pause } from '@finchpitch/core'
import { FleetSystem, sendToFleet } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const calmMs = 3000
const unevenMs = 6000
/** Entries in contact with each other have this time to adapt. */
const contactMs = 3000
const intervalMs = 10
/** Requests sent at each interval, each over a connection of its own. */
const plainPerInterval = 4
const streamsPerInterval = 1
/** Share of the new connections that go to one entry. */
const unevenShare = 0.9
/** Requests must be served at least this share as often as before. */
const minServedShare = 0.75

interface Sent { at: number, served: boolean }

describe('most new connections at one entry', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  const agent = new Agent({ keepAlive: false })
  let count = 0

  before(async () => {
    fleet = new FleetSystem({ network: 77, domains: 2, entriesPerDomain: 2, enginesPerDomain: 3, plainServersPerDomain: 3, adapterSlots: 8, loadMs: 20, workMs: 10, events: 4, eventMs: 25 })
    await fleet.start()
  })

  after(() => fleet.stop())

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
  })

  const send = async (path: string, entry: number): Promise<Sent> => {
    const at = performance.now()
    const model = path.startsWith('/stream') ? { model: 'base' } : {}
    const served = await sendToFleet(fleet, { path, id: `u-${count}`, entry, agent, ...model }).then(({ status, whole }) => status === 200 && whole, () => false)
    return { at, served }
  }

  /** `share`: of the requests, goes to the first entry; the rest goes to all others in turn. */
  const sendFor = async (ms: number, share: number): Promise<Sent[]> => {
    const sent: Array<Promise<Sent>> = []
    const others = fleet.entries.length - 1
    for (const until = performance.now() + ms; performance.now() < until; await pause(intervalMs)) {
      for (let each = 0; each < plainPerInterval + streamsPerInterval; each++) {
        count += 1
        const entry = count % 100 < share * 100 ? 0 : 1 + count % others
        sent.push(send(each < plainPerInterval ? '/again/u' : '/stream/u', entry))
      }
    }
    return await Promise.all(sent)
  }

  const servedShare = (sent: readonly Sent[]): number => sent.filter(({ served }) => served).length / sent.length

  it('are served nearly as often as before', async () => {
    const before = servedShare(await sendFor(calmMs, 1 / fleet.entries.length))
    const startedAt = performance.now()
    const uneven = await sendFor(unevenMs, unevenShare)
    const after = servedShare(uneven.filter(({ at }) => at > startedAt + contactMs))
    console.log(`      served ${before.toFixed(3)} before, ${after.toFixed(3)} of those later than ${contactMs} ms; ${Math.round(uneven.length / unevenMs * 1000)} requests per second`)
    expect(before).to.be.above(0.9)
    expect(after).to.be.at.least(before * minServedShare)
  })
})
