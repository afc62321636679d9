/**
 * Selects the adapter to evict from a slot: the one whose reload has the lowest expected cost, its popularity times its load time.
 *
 * Popularity is a use count with exponential decay, so that an adapter that was popular yesterday makes room for today's.
 */
import { DecayingSum } from './decaying-sum.js'

export const popularityHalfLifeMs = 10 * 60 * 1000

export class Popularity {
  readonly #uses: DecayingSum

  /** `halfLifeMs`: the time after which a use counts half. */
  constructor (halfLifeMs = popularityHalfLifeMs) {
    this.#uses = new DecayingSum(halfLifeMs)
  }

  /** Counts one use. */
  add (now: number): void {
    this.#uses.add(1, now)
  }

  /** The decayed use count. */
  at (now: number): number {
    return this.#uses.at(now)
  }
}

export interface EvictionCandidate {
  label: string
  /** Requests that use the adapter now. */
  pins: number
  popularity: number
  /** How long its load took. */
  loadMs: number
}

/** The label of the adapter to evict; `undefined` while all are in use. */
export const selectVictim = (candidates: readonly EvictionCandidate[]): string | undefined => {
  const reloadCost = (candidate: EvictionCandidate): number => candidate.popularity * candidate.loadMs
  const idle = candidates.filter(candidate => candidate.pins === 0)
  return idle.reduce<EvictionCandidate | undefined>((cheapest, candidate) =>
    cheapest === undefined || reloadCost(candidate) < reloadCost(cheapest) ? candidate : cheapest, undefined)?.label
}
