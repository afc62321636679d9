/*
 * Guards against requests to servers that were removed from the store while nobody watched it. Entries that started after the
 * removal read the list of servers and reported it as complete; never having known the server, they sent no removal. The side
 * process and the entries that had run before took over that they were complete, and went on sending requests to the server for as
 * long as it answered, seconds after the drain time.
 *
 * In the logs: `server.first_used` at an entry with a `complete` beyond the server's removal, and no `belief.changed` of the removal.
 *
 * Guards also against a draining server that only the entries which watch the store know to drain, as its entry was written again before
 * they passed that on.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, eventually, type BackendStandIn, type FaultProxy, type Machine, type SentRequest } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const drainMs = 2000
/** After a fault, an entry may be outdated for this long. */
const recoveryMs = 3000
const requestIntervalMs = 40
const paths = ['/again/x']
const settings = { network: 39, domains: 1, entriesPerDomain: 4, enginesPerDomain: 1, plainServersPerDomain: 40, adapterSlots: 4, loadMs: 20, workMs: 5, events: 3, eventMs: 5, storeProxies: true }

/** FINCHPITCH_LEAVING_SEED plays another series by hand. */
const seed = Number(process.env.FINCHPITCH_LEAVING_SEED ?? 69)
const seriesMs = 12_000
const maxRestartMs = 800
const maxStallMs = 1500

describe('servers that leave', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let load: FleetLoad
  let leftAt: Map<BackendStandIn, number>

  beforeEach(async () => {
    leftAt = new Map()
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
    leftAt.set(server, performance.now())
  }

  /** Whether an entry has read the list of servers since its second start. */
  const hasListed = (machine: Machine): boolean => fleet.lines(machine).filter(({ event, kind }) => event === 'belief.listed' && kind === 'server').length > 1

  /** Requests that reached a server although they were sent later than `drainMs` after its leaving. */
  const lateArrivals = (sent: readonly SentRequest[]): string[] => [...leftAt].flatMap(([server, at]) => {
    const arrived = new Set(server.arrivals.map(({ id }) => id))
    return sent.filter(each => each.at > at + drainMs && arrived.has(each.id)).map(each => `${each.id} at ${server.id}`)
  })

  it('receive no requests after the drain time if nobody watched the store when they were removed', async () => {
    const [watchers, other] = [fleet.entries.slice(0, 3), fleet.entries.length - 1]
    const storeProxy = fleet.storeProxies[other] as FaultProxy
    await Promise.all(watchers.map(async machine => await fleet.kill(machine)))
    storeProxy.fault = { type: 'silence' }
    storeProxy.resetAll()
    for (const server of fleet.plainServers.slice(0, 24)) remove(server)
    await Promise.all(watchers.map(async machine => await fleet.startProcess(machine)))
    await eventually('the watchers are back', () => watchers.every(machine => hasListed(machine)), 10_000)
    storeProxy.fault = { type: 'none' }
    storeProxy.resetAll()
    await pause(recoveryMs)
    expect(lateArrivals(await load.sendFor(1500, requestIntervalMs, paths))).to.deep.equal([])
  })

  it('receive no requests after the drain time if their entries are written again while they drain', async () => {
    // The store returns both writes at once; the second has the same value for whoever reads it.
    const draining = fleet.plainServers.slice(0, 24)
    for (const server of draining) {
      fleet.relist(server, 'draining')
      fleet.relist(server, 'draining')
      leftAt.set(server, performance.now())
    }
    await pause(drainMs)
    expect(lateArrivals(await load.sendFor(1500, requestIntervalMs, paths))).to.deep.equal([])
  })

  describe(`over a series of disturbances with seed ${seed}`, () => {
    /** By machine, when the last disturbance of it began or ended. */
    let disturbedAt: Map<Machine, number>
    let generator: ReturnType<typeof xoroshiro128plus>

    beforeEach(() => {
      disturbedAt = new Map()
      generator = xoroshiro128plus(seed)
    })

    const between = (min: number, max: number): number => uniformInt(generator, min, max)
    const disturb = async (machine: Machine, begin: () => unknown, ms: number, end: () => unknown): Promise<void> => {
      disturbedAt.set(machine, Infinity)
      await begin()
      await pause(ms)
      await end()
      disturbedAt.set(machine, performance.now())
    }
    const restart = async (machine: Machine): Promise<void> =>
      await disturb(machine, async () => await fleet.kill(machine), between(0, maxRestartMs), async () => await fleet.startProcess(machine))
    const stall = async (machine: Machine): Promise<void> =>
      await disturb(machine, () => machine.process?.kill('SIGSTOP'), between(100, maxStallMs), () => machine.process?.kill('SIGCONT'))
    const loseStore = async (machine: Machine): Promise<void> => {
      const proxy = fleet.storeProxies[fleet.entries.indexOf(machine)] as FaultProxy
      const set = (fault: FaultProxy['fault']) => (): void => {
        proxy.fault = fault
        proxy.resetAll()
      }
      await disturb(machine, set({ type: between(0, 1) === 0 ? 'silence' : 'reset' }), between(300, 2500), set({ type: 'none' }))
    }
    const isFree = (machine: Machine): boolean => disturbedAt.get(machine) !== Infinity
    const pickFrom = (machines: readonly Machine[], count: number): Machine[] => {
      const free = machines.filter(isFree)
      return [...new Set(Array.from({ length: count }, () => free[between(0, Math.max(0, free.length - 1))]).filter(each => each !== undefined))]
    }
    const disturbances: Array<() => Array<Promise<void>>> = [
      () => pickFrom(fleet.entries, between(1, 4)).map(restart),
      () => pickFrom(fleet.sides, 1).map(restart),
      () => pickFrom([...fleet.entries, ...fleet.sides], between(1, 2)).map(stall),
      () => pickFrom(fleet.entries, between(1, 2)).map(loseStore)
    ]

    /** Removes and lists servers and disturbs processes until the series ends. At least three servers stay listed. */
    const disturbAll = async (): Promise<void> => {
      const running: Array<Promise<void>> = []
      const endsAt = performance.now() + seriesMs
      while (performance.now() < endsAt) {
        const server = fleet.plainServers[between(3, fleet.plainServers.length - 1)] as BackendStandIn
        if (!leftAt.has(server)) remove(server)
        if (between(0, 2) === 0) running.push(...disturbances[between(0, disturbances.length - 1)]?.() ?? [])
        await pause(between(20, 400))
      }
      await Promise.all(running)
    }

    it('receive no requests from undisturbed entries after the drain time', async () => {
      const sent: SentRequest[] = []
      const stop = new AbortController()
      const sending = (async () => {
        while (!stop.signal.aborted) {
          const undisturbed = [...fleet.entries.entries()].filter(([, machine]) => performance.now() - (disturbedAt.get(machine) ?? 0) > recoveryMs).map(([entry]) => entry)
          sent.push(...await Promise.all(undisturbed.map(async entry => await load.send(entry, '/again/x').catch(() => undefined))).then(results => results.filter(each => each !== undefined)))
          await pause(requestIntervalMs)
        }
      })()
      await disturbAll()
      await pause(recoveryMs + drainMs)
      stop.abort()
      await sending
      expect(sent.length).to.be.greaterThan(100)
      expect(lateArrivals(sent)).to.deep.equal([])
    })
  })
})
