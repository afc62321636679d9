/* Guards against an entry missing draining and removed servers and named versions while its connections to the store are reset. */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, eventually, type BackendStandIn, type FaultProxy, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const drainMs = 2000
/** A named version must be in use within 5 s, and the previous one is used for 2 s after the new one is learned. */
const versionLearnedMs = 3000
/** Recovery time after connections to the store start to fail, in which late changes don't count. */
const recoveryMs = 3000
const requestIntervalMs = 40
const path = '/again/x'

describe('an entry whose connections to the store are reset', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let load: FleetLoad

  before(async () => {
    fleet = new FleetSystem({ network: 72, domains: 3, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5, storeProxies: true })
    await fleet.start()
    load = new FleetLoad(fleet, 'rejected')
    await load.waitUntilServed([path])
    const proxy = fleet.storeProxies[0] as FaultProxy
    proxy.fault = { type: 'reset' }
    proxy.resetAll()
    await pause(recoveryMs)
  })

  after(async () => { await fleet.stop() })

  /** Ids of requests that reached `server` although they were sent more than `drainMs` after the acknowledgement. */
  const lateArrivals = async (server: BackendStandIn): Promise<string[]> => {
    expect(server.arrivals.length).to.be.greaterThan(0)
    const acknowledgedAt = performance.now()
    const sent = await load.sendFor(drainMs + 1500, requestIntervalMs, [path])
    const lateIds = new Set(sent.filter(({ at }) => at > acknowledgedAt + drainMs).map(({ id }) => id))
    expect(lateIds.size).to.be.greaterThan(0)
    return server.arrivals.map(({ id }) => id).filter(id => lateIds.has(id))
  }

  it('sends no requests to a draining server after the drain time', async () => {
    const server = fleet.plainServers[0] as BackendStandIn
    fleet.relist(server, 'draining')
    expect(await lateArrivals(server)).to.deep.equal([])
  })

  it('sends no requests to a removed server after the drain time', async () => {
    const server = fleet.plainServers[1] as BackendStandIn
    fleet.store.remove('servers', server.id)
    expect(await lateArrivals(server)).to.deep.equal([])
  })

  it('learns of a named version in time', async () => {
    fleet.store.put('versions', 'base.a1', { model: 'base', adapter: 'a1', version: 2 })
    const isVersionKnown = (): boolean => fleet.lines(fleet.entries[0] as Machine).some(({ event, key }) => event === 'belief.changed' && key === 'base/a1')
    await eventually('the version is known', isVersionKnown, versionLearnedMs)
  })
})
