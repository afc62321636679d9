/**
 * Which adapter to put out of a slot: the one that is cheapest to load again, by what is expected of it.
 *
 * Popularity is a count that halves every `halfLifeMs`, so yesterday's hot adapter makes room for today's.
 */
import { DecayingSum } from './decaying-sum.js'

export const halfLifeMs = 10 * 60 * 1000

export class Popularity {
  readonly #uses: DecayingSum

  /** `halfLife`: milliseconds after which a use counts half. */
  constructor (halfLife = halfLifeMs) {
    this.#uses = new DecayingSum(halfLife)
  }

  /** Counts one use. */
  add (now: number): void {
    this.#uses.add(1, now)
  }

  /** The aged count. */
  at (now: number): number {
    return this.#uses.at(now)
  }
}

export interface Resident {
  label: string
  /** Requests that use the slot now. */
  pins: number
  popularity: number
  /** What its load took, in milliseconds. */
  loadMs: number
}

/** The label to put out; `undefined` while every slot is in use. */
export const evict = (residents: readonly Resident[]): string | undefined => {
  const cost = (resident: Resident): number => resident.popularity * resident.loadMs
  const idle = residents.filter(resident => resident.pins === 0)
  return idle.reduce<Resident | undefined>((cheapest, resident) =>
    cheapest === undefined || cost(resident) < cost(cheapest) ? resident : cheapest, undefined)?.label
}
