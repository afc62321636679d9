/**
 * Adds and removes routes concurrently with all other faults, while the store is unreachable for single entries and all processes are
 * killed at once, and finds changes that did not take effect in time.
 */
import { pause } from '@finchpitch/core'
import { RouteChanges, type FaultProxy, type FleetSystem, type ConnectionFault, type LateChange } from '@finchpitch/stand-ins'
import { anyMachine, storeOutage, type Disturbances } from './disturbances.js'
import type { SeededRandom } from './seeded-random.js'

/** Time after its acknowledgement within which a change must take effect. */
const applyMs = 2000
/** A removed route may still be served if the entry, connections or the store were disturbed within this time before the request. */
const undisturbedMs = 3000
/** A change may take this much longer while the store is unreachable for an entry and machines that could pass it on are disturbed. */
const storeOutageMs = 5000
/** An entry that has served a new route may return to an older routing table for this time. */
const slackMs = 250
const probeIntervalMs = 100
const storeFaults: readonly ConnectionFault[] = [{ type: 'reset' }, { type: 'silence' }, { type: 'one_way' }]

/** A time in which the store was unreachable for one entry. */
interface StoreOutage {
  entry: number
  from: number
  until: number
}

export interface RouteChangeScenarioOptions {
  fleet: FleetSystem
  /** One generator for the operator's changes, one for the faults. */
  random: { operator: SeededRandom, troubles: SeededRandom }
  disturbances: Disturbances
  /** Kills and restarts all processes that no other fault has stopped. */
  killAndRestartAll: () => Promise<void>
  log: (line: string) => void
}

export class RouteChangeScenario {
  readonly #routes: RouteChanges
  readonly #storeOutages: StoreOutage[] = []

  constructor (private readonly options: RouteChangeScenarioOptions) {
    this.#routes = new RouteChanges(options.fleet, 'changed', probeIntervalMs)
  }

  /** Runs for `ms`; resolves once all faults are over and all probes have been answered. */
  async run (ms: number): Promise<void> {
    const stop = new AbortController()
    const probing = this.#routes.ask(stop.signal)
    const until = performance.now() + ms
    await Promise.all([this.#changeRoutes(until), this.#injectFaults(until)])
    stop.abort()
    await probing
    this.#routes.close()
  }

  async #changeRoutes (until: number): Promise<void> {
    const { operator: random } = this.options.random
    const kills: Array<Promise<void>> = []
    while (performance.now() < until) {
      if (random.chance(60)) this.#routes.add()
      else this.#routes.drop()
      if (random.chance(4)) kills.push(this.#killAndRestartAll())
      await pause(random.chance(40) ? random.between(10, 60) : random.between(300, 2500))
    }
    await Promise.all(kills)
  }

  async #injectFaults (until: number): Promise<void> {
    const { troubles: random } = this.options.random
    const faults: Array<Promise<void>> = []
    while (performance.now() < until) {
      await pause(random.between(800, 3000))
      faults.push(random.chance(85) ? this.#blockStore() : this.#killAndRestartAll())
    }
    await Promise.all(faults)
  }

  async #killAndRestartAll (): Promise<void> {
    this.options.log('killing all processes at once')
    await this.options.killAndRestartAll()
  }

  async #blockStore (): Promise<void> {
    const { fleet, random: { troubles: random }, log } = this.options
    const entry = random.between(0, fleet.entries.length - 1)
    const proxy = fleet.storeProxies[entry] as FaultProxy
    const fault = random.pick(storeFaults)
    const ms = random.between(1000, 9000)
    if (proxy.fault.type !== 'none') return
    log(`store unreachable for ${fleet.entries[entry]?.name} (${fault.type}) for ${ms} ms`)
    const outage = { entry, from: performance.now(), until: Infinity }
    this.#storeOutages.push(outage)
    proxy.fault = fault
    proxy.resetAll()
    await pause(ms)
    proxy.fault = { type: 'none' }
    proxy.resetAll()
    outage.until = performance.now()
  }

  violations (): string[] {
    const late = this.#routes.lateChanges(applyMs, slackMs).filter(each => !this.#isAllowed(each))
    return late.map(({ probe, fault, afterMs }) => `${probe.id} ${probe.route.path} at ${this.#nameOf(probe.entry)}: ${fault} for ${Math.round(afterMs)} ms`)
  }

  /** `missing` is never allowed, as a 404 tells callers that there is no such route. Other late changes are, if disturbances explain them. */
  #isAllowed ({ probe: { entry, sentAt }, fault, afterMs }: LateChange): boolean {
    const { disturbances, fleet } = this.options
    const name = this.#nameOf(entry)
    if (fault === 'missing') return false
    if (fault === 'older') return disturbances.overlaps(name, sentAt - afterMs, sentAt)
    if ([name, anyMachine, storeOutage].some(each => disturbances.overlaps(each, sentAt - undisturbedMs, sentAt))) return true
    const others = [...fleet.entries, ...fleet.sides].filter(machine => machine.name !== name)
    const storeUnreachable = this.#storeOutages.some(each => each.from < sentAt && each.until > sentAt - undisturbedMs)
    const othersDisturbed = others.some(machine => disturbances.overlaps(machine.name, sentAt - afterMs - undisturbedMs, sentAt))
    return storeUnreachable && othersDisturbed && afterMs <= applyMs + storeOutageMs
  }

  #nameOf (entry: number): string {
    return this.options.fleet.entries[entry]?.name ?? ''
  }
}
