/**
 * The time until a demand for an adapter gets a slot of an engine whose slots are all in use.
 *
 * Load pattern: adapter slots run out at every peak, and each slot becomes free when the last request on its adapter ends. Slots
 * become free at a rate that changes within seconds, and demands ahead in the queue take the first ones.
 */
import { DecayingSum } from './decaying-sum.js'

/** Demand changes within seconds, and with it the time for which adapters are in use. */
const halfLifeMs = 2000
/** The mean age of what the sum counts, so that sum / age is the rate of a steady process. */
const meanAgeMs = halfLifeMs / Math.LN2
/** Interval between slots assumed at first: ten slots whose adapters are in use for half a second. */
const initialIntervalMs = 50
/** With fewer slots counted, the rate is not known; the interval then is the mean age. */
const minCount = 1

export class SlotWait {
  readonly #released = new DecayingSum(halfLifeMs)

  constructor (now: number) {
    this.#released.add(meanAgeMs / initialIntervalMs, now)
  }

  /** Records that the last use of a loaded adapter has ended. */
  recordRelease (now: number): void {
    this.#released.add(1, now)
  }

  /** Expected time until one more demand gets a slot, with `queued` demands ahead of it. */
  expectedMs (queued: number, now: number): number {
    return (queued + 1) * meanAgeMs / Math.max(minCount, this.#released.at(now))
  }
}
