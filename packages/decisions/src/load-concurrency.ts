/**
 * Limit on the loads of one engine that are in progress at a time.
 *
 * Load pattern: after a start, all engines load adapters at once, and beyond some number over all engines, loads slow each other
 * down in proportion. Fewer loads at a time then complete as many per second, but the most urgent ones sooner. An engine's side
 * process sees only how long its own loads take.
 */

/** Loads that take longer than this multiple of the least time are slowed down by others. */
const slowFactor = 1.3
/** The least time is that of the last 30 to 60 s, so that a store that has become slower for good limits nothing. */
const windowMs = 30_000

export interface CompletedLoad {
  startedAt: number
  ms: number
}

export class LoadConcurrency {
  #limit: number
  #changedAt = -Infinity
  /** Quick loads since the limit was changed. */
  #quick = 0
  #windowStart = -Infinity
  #leastMs = Infinity
  #previousLeastMs = Infinity

  constructor (private readonly bounds: { least: number, most: number }) {
    this.#limit = bounds.most
  }

  /** How many loads may be in progress. */
  get limit (): number {
    return this.#limit
  }

  /** The least time that a load took lately; `Infinity` if there was none. */
  get leastMs (): number {
    return Math.min(this.#leastMs, this.#previousLeastMs)
  }

  /** Returns whether the limit has changed. Loads that started before the last change say nothing about the limit since. */
  record ({ startedAt, ms }: CompletedLoad, now: number): boolean {
    this.#updateLeast(ms, now)
    if (startedAt < this.#changedAt) return false
    if (ms > slowFactor * this.leastMs) return this.#set(this.#limit - 1, now)
    this.#quick += 1
    return this.#quick >= this.#limit && this.#set(this.#limit + 1, now)
  }

  #updateLeast (ms: number, now: number): void {
    if (now - this.#windowStart > windowMs) {
      this.#previousLeastMs = this.#leastMs
      this.#leastMs = Infinity
      this.#windowStart = now
    }
    this.#leastMs = Math.min(this.#leastMs, ms)
  }

  #set (limit: number, now: number): boolean {
    const bounded = Math.min(this.bounds.most, Math.max(this.bounds.least, limit))
    this.#quick = 0
    if (bounded === this.#limit) return false
    this.#limit = bounded
    this.#changedAt = now
    return true
  }
}
