/* Guards against ignoring changes after the store is restored from a backup, when their revisions are lower than those known. */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, RouteChanges, type BackendStandIn, type LateChange } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const applyMs = 2000
const drainMs = 2000
const slackMs = 250
/** Recovery time after a store outage, in which late changes don't count. */
const contactMs = 3000
const awayMs = 1500
const rewriteAfterMs = 500
/** Writes undone by the restore, enough to keep later revisions below those known before it. */
const lostChanges = 80
const changeEveryMs = 700
const changesAfterRestore = 6
const askEveryMs = 40
const failureShows = 5

const describeLate = ({ probe, fault, afterMs }: LateChange): string => `${probe.id} ${probe.route.path} at entry ${probe.entry}: ${fault} for ${Math.round(afterMs)} ms`

describe('after the store has been restored from a copy', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let changes: RouteChanges
  let load: FleetLoad

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 70, domains: 3, entriesPerDomain: 1, enginesPerDomain: 1, plainPerDomain: 1, places: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5 })
    await fleet.start()
    changes = new RouteChanges(fleet, 'restored')
    load = new FleetLoad(fleet, 'restored')
    await load.served(['/again/x'])
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.keepLines(this.currentTest.title)}`)
    changes.close()
    await fleet.stop()
  })

  /** Makes writes after a backup, takes the store down, restores the backup, then repeats the lost writes. */
  const restore = async (): Promise<void> => {
    const { store } = fleet
    const backup = store.backup()
    for (let each = 0; each < lostChanges; each++) store.put('config', 'main', fleet.table(store.writeCount + 100))
    for (const server of fleet.plain) fleet.list(server)
    changes.add()
    await pause(contactMs)
    store.fault = 'reset'
    await pause(awayMs)
    const lost = store.restore(backup)
    store.fault = 'none'
    await pause(rewriteAfterMs)
    store.repeatWrites(lost)
  }

  it('changes of routes are in force everywhere in time', async () => {
    const stop = new AbortController()
    const asked = changes.ask(stop.signal)
    await restore()
    await pause(contactMs)
    const from = performance.now()
    for (let each = 0; each < changesAfterRestore; each++) {
      changes.add()
      if (each % 2 === 1) changes.drop()
      await pause(changeEveryMs)
    }
    await pause(applyMs + changeEveryMs)
    stop.abort()
    await asked
    const late = changes.late(applyMs, slackMs).filter(({ probe }) => probe.sentAt > from)
    expect(late.length, late.slice(0, failureShows).map(describeLate).join('\n')).to.equal(0)
  })

  it('servers whose leaving was acknowledged get no requests later than the bound', async () => {
    const server = fleet.plain[0] as BackendStandIn
    await restore()
    await pause(contactMs)
    fleet.list(server, 'draining')
    const acknowledgedAt = performance.now()
    const sent = await load.sendFor(drainMs + contactMs, askEveryMs, ['/again/x'])
    const late = new Set(sent.filter(({ at }) => at > acknowledgedAt + drainMs).map(({ id }) => id))
    expect(server.arrivals.filter(({ id }) => late.has(id)).map(({ id }) => id)).to.deep.equal([])
  })
})
