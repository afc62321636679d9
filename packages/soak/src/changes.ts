/**
 * An operator who adds and drops routes beside all other faults, with the store turning single entries away and all processes
 * ending at once; and what of the changes was not in force in time.
 */
import { pause } from '@finchpitch/core'
import { RouteChanges, type FaultProxy, type FleetSystem, type Harm, type LateChange } from '@finchpitch/stand-ins'
import { everywhere, storeAway, type Disturbances } from './disturbances.js'
import type { Dice } from './random.js'

/** A change is in force so long after its acknowledgement, */
const applyMs = 2000
/** at an entry that nothing troubled for so long, */
const contactMs = 3000
/** or so much later at one that the store turns away, where others that could tell it are troubled too. */
const skewMs = 5000
/** What an entry has shown of a change it goes back on no later. */
const slackMs = 250
const askEveryMs = 100
const harms: readonly Harm[] = [{ type: 'reset' }, { type: 'silence' }, { type: 'one_way' }]

/** The store rejects one entry's calls for a while. */
interface Rejection {
  entry: number
  from: number
  until: number
}

export interface ChangesOptions {
  fleet: FleetSystem
  /** Of the operator, and of what troubles entries. */
  dice: { operator: Dice, troubles: Dice }
  disturbances: Disturbances
  /** Ends all processes that no other fault has ended, and starts them again. */
  endAll: () => Promise<void>
  log: (line: string) => void
}

export class Changes {
  readonly #routes: RouteChanges
  readonly #rejections: Rejection[] = []

  constructor (private readonly options: ChangesOptions) {
    this.#routes = new RouteChanges(options.fleet, 'changed', askEveryMs)
  }

  /** For `ms`; resolves once all troubles are over and all callers answered. */
  async deal (ms: number): Promise<void> {
    const stop = new AbortController()
    const asked = this.#routes.ask(stop.signal)
    const until = performance.now() + ms
    await Promise.all([this.#operate(until), this.#trouble(until)])
    stop.abort()
    await asked
    this.#routes.close()
  }

  async #operate (until: number): Promise<void> {
    const { operator } = this.options.dice
    const ended: Array<Promise<void>> = []
    while (performance.now() < until) {
      if (operator.chance(60)) this.#routes.add()
      else this.#routes.drop()
      if (operator.chance(4)) ended.push(this.#endAll())
      await pause(operator.chance(40) ? operator.between(10, 60) : operator.between(300, 2500))
    }
    await Promise.all(ended)
  }

  async #trouble (until: number): Promise<void> {
    const { troubles } = this.options.dice
    const dealt: Array<Promise<void>> = []
    while (performance.now() < until) {
      await pause(troubles.between(800, 3000))
      dealt.push(troubles.chance(85) ? this.#turnAway() : this.#endAll())
    }
    await Promise.all(dealt)
  }

  async #endAll (): Promise<void> {
    this.options.log('all processes end at once')
    await this.options.endAll()
  }

  async #turnAway (): Promise<void> {
    const { fleet, dice: { troubles }, log } = this.options
    const entry = troubles.between(0, fleet.entries.length - 1)
    const front = fleet.storeFronts[entry] as FaultProxy
    const harm = troubles.pick(harms)
    const ms = troubles.between(1000, 9000)
    if (front.harm.type !== 'none') return
    log(`the store meets ${fleet.entries[entry]?.name} with ${harm.type} for ${ms} ms`)
    const rejection = { entry, from: performance.now(), until: Infinity }
    this.#rejections.push(rejection)
    front.harm = harm
    front.resetAll()
    await pause(ms)
    front.harm = { type: 'none' }
    front.resetAll()
    rejection.until = performance.now()
  }

  judge (): string[] {
    const late = this.#routes.late(applyMs, slackMs).filter(each => !this.#isAllowed(each))
    return late.map(({ probe, fault, afterMs }) => `${probe.id} ${probe.route.path} at ${this.#nameOf(probe.entry)}: ${fault} for ${Math.round(afterMs)} ms`)
  }

  /** A route that is there is never refused for good; what else is late may be excused by what troubled the entry. */
  #isAllowed ({ probe: { entry, sentAt }, fault, afterMs }: LateChange): boolean {
    const { disturbances, fleet } = this.options
    const name = this.#nameOf(entry)
    if (fault === 'missing') return false
    if (fault === 'older') return disturbances.any(name, sentAt - afterMs, sentAt)
    if ([name, everywhere, storeAway].some(each => disturbances.any(each, sentAt - contactMs, sentAt))) return true
    const others = [...fleet.entries, ...fleet.sides].filter(machine => machine.name !== name)
    const rejected = this.#rejections.some(each => each.from < sentAt && each.until > sentAt - contactMs)
    const othersDisturbed = others.some(machine => disturbances.any(machine.name, sentAt - afterMs - contactMs, sentAt))
    return rejected && othersDisturbed && afterMs <= applyMs + skewMs
  }

  #nameOf (entry: number): string {
    return this.options.fleet.entries[entry]?.name ?? ''
  }
}
