/**
 * The expected wait for something that takes about the same time for each request, such as the load of an adapter: the mean of recent
 * waits, with their deviation.
 *
 * Load: many adapters are requested at once, for example after a start, and loads slow each other down.
 */
import { DecayingSum } from './decaying-sum.js'
import type { WaitEstimate } from './wait-estimate.js'

/** Load times change within seconds, with the number of loads in progress. */
const halfLifeMs = 2000
/** With fewer waits the deviation is not known well enough. */
const minWaits = 8
/** Waits shorter than the mean by this many deviations are allowed for. */
const deviations = 2

export class WaitTimes {
  readonly #count = new DecayingSum(halfLifeMs)
  readonly #sum = new DecayingSum(halfLifeMs)
  readonly #squares = new DecayingSum(halfLifeMs)

  /** Records the wait of a request that started. */
  add (waitedMs: number, now: number): void {
    this.#count.add(1, now)
    this.#sum.add(waitedMs, now)
    this.#squares.add(waitedMs * waitedMs, now)
  }

  /** The expected remaining wait of a request that has waited for `waitedMs`; `undefined` if too few waits were seen lately. */
  estimate (waitedMs: number, now: number): WaitEstimate | undefined {
    const count = this.#count.at(now)
    if (count < minWaits) return undefined
    const mean = this.#sum.at(now) / count
    const deviation = Math.sqrt(Math.max(0, this.#squares.at(now) / count - mean * mean))
    return { ms: Math.max(0, mean - waitedMs), soonestMs: Math.max(0, mean - deviations * deviation - waitedMs) }
  }
}
