/* Guards against ignoring changes after the store is restored from a backup, when their revisions are lower than those known. */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, RouteChanges, type BackendStandIn, type LateChange } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const applyMs = 2000
const drainMs = 2000
const slackMs = 250
/** Recovery time after a store outage, in which late changes don't count. */
const recoveryMs = 3000
const outageMs = 1500
const rewriteAfterMs = 500
/** Writes undone by the restore, enough to keep later revisions below those known before it. */
const lostWrites = 80
const changeIntervalMs = 700
const changesAfterRestore = 6
const requestIntervalMs = 40
const maxFailuresShown = 5

const describeLate = ({ probe, fault, afterMs }: LateChange): string => `${probe.id} ${probe.route.path} at entry ${probe.entry}: ${fault} for ${Math.round(afterMs)} ms`

describe('after the store has been restored from a backup', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let changes: RouteChanges
  let load: FleetLoad

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 70, domains: 3, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5 })
    await fleet.start()
    changes = new RouteChanges(fleet, 'restored')
    load = new FleetLoad(fleet, 'restored')
    await load.waitUntilServed(['/again/x'])
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    changes.close()
    await fleet.stop()
  })

  /** Makes writes after a backup, takes the store down, restores the backup, then repeats the lost writes. */
  const restore = async (): Promise<void> => {
    const { store } = fleet
    const backup = store.backup()
    for (let each = 0; each < lostWrites; each++) store.put('config', 'main', fleet.table(store.writeCount + 100))
    for (const server of fleet.plainServers) fleet.relist(server)
    changes.add()
    await pause(recoveryMs)
    store.fault = 'reset'
    await pause(outageMs)
    const lost = store.restore(backup)
    store.fault = 'none'
    await pause(rewriteAfterMs)
    store.repeatWrites(lost)
  }

  it('route changes are in force at all entries in time', async () => {
    const stop = new AbortController()
    const requests = changes.ask(stop.signal)
    await restore()
    await pause(recoveryMs)
    const from = performance.now()
    for (let each = 0; each < changesAfterRestore; each++) {
      changes.add()
      if (each % 2 === 1) changes.drop()
      await pause(changeIntervalMs)
    }
    await pause(applyMs + changeIntervalMs)
    stop.abort()
    await requests
    const late = changes.lateChanges(applyMs, slackMs).filter(({ probe }) => probe.sentAt > from)
    expect(late.length, late.slice(0, maxFailuresShown).map(describeLate).join('\n')).to.equal(0)
  })

  it('draining servers get no requests after the drain time', async () => {
    const server = fleet.plainServers[0] as BackendStandIn
    await restore()
    await pause(recoveryMs)
    fleet.relist(server, 'draining')
    const acknowledgedAt = performance.now()
    const sent = await load.sendFor(drainMs + recoveryMs, requestIntervalMs, ['/again/x'])
    const late = new Set(sent.filter(({ at }) => at > acknowledgedAt + drainMs).map(({ id }) => id))
    expect(server.arrivals.filter(({ id }) => late.has(id)).map(({ id }) => id)).to.deep.equal([])
  })
})
