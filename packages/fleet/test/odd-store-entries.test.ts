/*
 * Guards against processes that end, or stop following the list of servers, because another writer left an odd entry there.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, eventually } from '@finchpitch/stand-ins'
import { expect } from 'chai'

/** As deep as the stand-in of the store can write. */
const depth = 1000
const settleMs = 1500
const startMs = 10_000
/** Longer than a server that leaves may be sent requests. */
const followMs = 2500

const nested = (levels: number): unknown => {
  let value: unknown = 1
  for (let level = 0; level < levels; level++) value = [value]
  return value
}

const sound = { service: 'engines', address: '127.95.9.9:8145', zone: 'd0', version: 'v1', slots: 8, state: 'ready', models: [] }

const oddEntries: Record<string, unknown> = {
  'nested deeply': { ...sound, models: nested(depth) },
  'all nested deeply': nested(depth),
  'with a number beyond all whole numbers': { ...sound, slots: 1e300 },
  'with a fraction': { ...sound, slots: 1.5 },
  'with a negative number': { ...sound, slots: -1 },
  'with a port out of range': { ...sound, address: '127.95.9.9:99999' },
  'with port 0': { ...sound, address: '127.95.9.9:0' },
  'with an address that is no IP': { ...sound, address: '999.1.1.1:80' },
  'with a name for an address': { ...sound, address: 'localhost:80' },
  'with a very long zone': { ...sound, zone: 'z'.repeat(5000), address: '127.95.9.9:99999' },
  'without a spec': undefined,
  'with a text for a spec': 'server'
}

describe('odd entries of another writer in the list of servers', function () {
  this.timeout(60_000)
  let fleet: FleetSystem

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 95, domains: 2, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5 })
    await fleet.start()
    await new FleetLoad(fleet, 'odd').waitUntilServed(['/again/x'])
  })

  // Rejects if a process has ended by itself.
  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  const putAll = async (): Promise<void> => {
    for (const [index, spec] of Object.values(oddEntries).entries()) {
      fleet.store.put('servers', `odd-${index}`, spec)
      await pause(50)
    }
    await pause(settleMs)
  }

  /** The next change of the list is followed: a server that leaves gets no requests. */
  const expectFollowed = async (): Promise<void> => {
    const [leaving] = fleet.plainServers
    if (leaving === undefined) throw new Error('there are two plain servers')
    fleet.relist(leaving, 'draining')
    await pause(followMs)
    const before = leaving.arrivals.length
    await new FleetLoad(fleet, 'odd-followed').waitUntilServed(['/again/x'])
    expect(leaving.arrivals.length).to.equal(before)
  }

  it('end no process and hide no change', async () => {
    await putAll()
    await expectFollowed()
  })

  it('end no process that starts with them', async () => {
    await putAll()
    for (const machine of [...fleet.entries, ...fleet.sides]) await fleet.kill(machine)
    for (const machine of [...fleet.entries, ...fleet.sides]) await fleet.startProcess(machine)
    await eventually('all processes have started', () => fleet.entries.every(entry => fleet.lines(entry).filter(({ event }) => event === 'process.started').length === 2), startMs)
    await pause(settleMs)
    await new FleetLoad(fleet, 'odd-again').waitUntilServed(['/again/x'])
    await expectFollowed()
  })
})
