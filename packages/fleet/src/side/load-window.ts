/**
 * How many adapters may be on their way to this engine at once.
 *
 * The weight store gives its full speed to so many loads over all engines, and slows all of them beyond. More at once
 * then only make each take longer, those that many wait for too. Each side process sees how long its own loads take:
 * where that is well over the least seen, it has fewer at once, else one more after each round. So engines share the
 * store's places without a word between them.
 */

/** Loads that an engine takes at once. */
export const mostAtOnce = 4
/** A load that took this many times the least seen met a busy store. Looks at the engine are 60 ms apart, a fifth of a load. */
const slowFactor = 1.5
/** The least seen rises by this share with each load, so that one odd load is forgotten. */
const forgetting = 0.02

export class LoadWindow {
  #limit = mostAtOnce
  #least = Infinity

  /** Whole loads at once, one at least. */
  get limit (): number {
    return Math.floor(this.#limit)
  }

  /** A load from the weight store took so long. */
  took (ms: number): void {
    this.#least = Math.min(ms, this.#least * (1 + forgetting))
    if (ms > this.#least * slowFactor) this.#limit = Math.max(1, this.#limit / 2)
    else this.#limit = Math.min(mostAtOnce, this.#limit + 1 / this.#limit)
  }
}
