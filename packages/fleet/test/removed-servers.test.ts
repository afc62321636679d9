/*
 * Guards against requests to servers that were removed from the store while nobody watched it. Entries that started after the
 * removal read the list of servers and reported it as complete; never having known the server, they sent no removal. The side
 * process and the entries that had run before took over that they were complete, and went on sending requests to the server for as
 * long as it answered, seconds after the drain time.
 *
 * In the logs: `server.first_used` at an entry with a `complete` beyond the server's removal, and no `belief.changed` of the removal.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, eventually, type BackendStandIn, type FaultProxy, type Machine, type SentRequest } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const drainMs = 2000
/** After a fault, an entry may be outdated for this long. */
const recoveryMs = 3000
const requestIntervalMs = 40
const paths = ['/again/x']
const settings = { network: 39, domains: 1, entriesPerDomain: 4, enginesPerDomain: 1, plainServersPerDomain: 12, adapterSlots: 4, loadMs: 20, workMs: 5, events: 3, eventMs: 5, storeProxies: true }

describe('servers that the store no longer lists', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let load: FleetLoad
  let removedAt: Map<BackendStandIn, number>

  beforeEach(async () => {
    removedAt = new Map()
    fleet = new FleetSystem(settings)
    await fleet.start()
    load = new FleetLoad(fleet, 'removed')
    await load.waitUntilServed(paths)
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  const remove = (server: BackendStandIn): void => {
    fleet.store.remove('servers', server.id)
    removedAt.set(server, performance.now())
  }

  /** Whether an entry has read the list of servers since its second start. */
  const hasListed = (machine: Machine): boolean => fleet.lines(machine).filter(({ event, kind }) => event === 'belief.listed' && kind === 'server').length > 1

  /** Requests that reached a removed server although they were sent later than `drainMs` after its removal. */
  const lateArrivals = (sent: readonly SentRequest[]): string[] => [...removedAt].flatMap(([server, at]) => {
    const arrived = new Set(server.arrivals.map(({ id }) => id))
    return sent.filter(each => each.at > at + drainMs && arrived.has(each.id)).map(each => `${each.id} at ${server.id}`)
  })

  it('receive no requests after the drain time if nobody watched the store when they were removed', async () => {
    const [watchers, other] = [fleet.entries.slice(0, 3), fleet.entries.length - 1]
    const storeProxy = fleet.storeProxies[other] as FaultProxy
    await Promise.all(watchers.map(async machine => await fleet.kill(machine)))
    storeProxy.fault = { type: 'silence' }
    storeProxy.resetAll()
    for (const server of fleet.plainServers.slice(0, 8)) remove(server)
    await Promise.all(watchers.map(async machine => await fleet.startProcess(machine)))
    await eventually('the watchers are back', () => watchers.every(machine => hasListed(machine)), 10_000)
    storeProxy.fault = { type: 'none' }
    storeProxy.resetAll()
    await pause(recoveryMs)
    expect(lateArrivals(await load.sendFor(1500, requestIntervalMs, paths))).to.deep.equal([])
  })
})
