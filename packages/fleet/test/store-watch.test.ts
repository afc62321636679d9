import { pause } from '@finchpitch/core'
import { FleetSystem, sendToFleet, eventually, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const startupMs = 3500
let requestCount = 0

describe('watching the store by a few entries of each domain', function () {
  this.timeout(60_000)
  let fleet: FleetSystem

  const status = async (path: string, entry: number): Promise<number> =>
    (await sendToFleet(fleet, { path, id: `watch-${requestCount++}`, entry })).status

  const isWatching = (entry: Machine): boolean =>
    fleet.lines(entry).filter(line => line.event === 'store.duty_changed').at(-1)?.watch !== false
  const watchers = (): string[] => fleet.entries.filter(entry => entry.process?.exitCode === null && entry.process.signalCode === null && isWatching(entry)).map(entry => entry.name)

  /** Adds a route and measures the time until all the given entries serve it. */
  const msUntilAllServe = async (name: string, entries: readonly number[]): Promise<number> => {
    const added = { name, host: 'fleet.example', pathPrefix: `/${name}/`, kind: 'non_idempotent', timeoutMs: 1000, targetLatencyMs: 150, priority: 2, service: 'ledger', maxAttempts: 1 }
    const { routes } = fleet.table(1) as { routes: unknown[] }
    fleet.store.put('config', 'main', fleet.table(fleet.store.revision + 10, { routes: [...routes, added] }))
    const startedAt = Date.now()
    while (Date.now() - startedAt < 10_000) {
      const all = await Promise.all(entries.map(async entry => await status(`/${name}/x`, entry)))
      if (all.every(each => each === 200)) break
      await pause(50)
    }
    return Date.now() - startedAt
  }

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 35, domains: 1, entriesPerDomain: 6, enginesPerDomain: 2, plainServersPerDomain: 1, adapterSlots: 3, loadMs: 60, workMs: 5, events: 3, eventMs: 5 })
    await fleet.start()
    await pause(startupMs)
  })

  afterEach(async () => { await fleet.stop() })

  it('spreads a change to all entries within a second', async () => {
    expect(watchers()).to.have.length(3)
    expect(await msUntilAllServe('added', [0, 1, 2, 3, 4, 5])).to.be.lessThan(1000)
  })

  it('stays with the same number of entries while nothing changes in the store', async () => {
    await pause(7000)
    expect(watchers()).to.have.length(3)
  })

  it('passes to other entries if the watchers are killed', async () => {
    for (const entry of fleet.entries.filter(entry => watchers().includes(entry.name))) await fleet.kill(entry)
    const remaining = fleet.entries.flatMap((entry, at) => entry.process?.signalCode === null ? [at] : [])
    expect(remaining).to.have.length(3)
    expect(await msUntilAllServe('killed', remaining)).to.be.lessThan(2500)
    await eventually('three watch again', () => watchers().length === 3, 1000)
  })

  it('passes to other entries if the watchers freeze', async () => {
    const frozen = fleet.entries.filter(entry => watchers().includes(entry.name))
    for (const entry of frozen) entry.process?.kill('SIGSTOP')
    const remaining = fleet.entries.flatMap((entry, at) => frozen.includes(entry) ? [] : [at])
    expect(await msUntilAllServe('frozen', remaining)).to.be.lessThan(3500)
    for (const entry of frozen) entry.process?.kill('SIGCONT')
  })

  it('is done by all entries if no side process is left to appoint watchers', async () => {
    for (const side of fleet.sides) await fleet.kill(side)
    await pause(300)
    expect(watchers()).to.have.length(6)
    expect(await msUntilAllServe('alone', [0, 1, 2, 3, 4, 5])).to.be.lessThan(2500)
  })

  it('is done by only a few entries during a store outage too', async () => {
    fleet.store.fault = 'busy'
    // By then, watch calls that hung have failed, and each entry has been appointed once and has failed.
    await pause(4500)
    const before = fleet.store.calls
    await pause(6000)
    // Three watchers call for three kinds of facts, each 0.4 to 0.8 s after its last call: 90 calls. All six entries would make 180.
    expect(fleet.store.calls - before).to.be.lessThan(120)
    fleet.store.fault = 'none'
    await pause(1500)
    expect(await msUntilAllServe('back', [0, 1, 2, 3, 4, 5])).to.be.lessThan(2500)
  })
})
