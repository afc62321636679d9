/**
 * The rate at which waiting requests start, and the expected wait behind others.
 *
 * Load: more requests than capacity, for seconds. Starts are counted over the time in which requests waited, since a queue that is
 * empty most of the time says nothing about capacity while it is empty. Both are forgotten within seconds, as capacity changes when
 * servers fail or return.
 */
import { DecayingSum } from './decaying-sum.js'
import type { WaitEstimate } from './wait-estimate.js'

/** Old starts must be forgotten before a caller that was told to return comes back, but enough must be remembered to count. */
const halfLifeMs = 700
/** With fewer starts the error of the rate is over two fifths. */
const minStarts = 6
/** The absence of starts is evidence after requests have waited for this long, in which some would have been seen. */
const minBusyMs = 400

/** The most starts that are plausible in a time in which `count` were seen: more happen in one of 40 cases (Poisson). */
const plausibleStarts = (count: number): number => count + 2 * Math.sqrt(count) + 3

export class StartRate {
  readonly #starts = new DecayingSum(halfLifeMs)
  /** Time in which requests waited, decayed, up to `#updatedAt`. */
  #busyMs = 0
  #updatedAt = 0
  #waiting = 0

  /** A request begins to wait. */
  enter (now: number): void {
    if (this.#waiting === 0) this.#advance(now)
    this.#waiting += 1
  }

  /** A request waits no longer, whether it started or not. */
  leave (now: number): void {
    this.#advance(now)
    this.#waiting -= 1
  }

  /** Number of requests that wait. */
  get waiting (): number {
    return this.#waiting
  }

  recordStart (now: number): void {
    this.#starts.add(1, now)
  }

  /** Starts per second while requests wait; `undefined` if too few were seen lately. */
  perSecond (now: number): number | undefined {
    if (this.#starts.at(now) < minStarts) return undefined
    this.#advance(now)
    return this.#busyMs > 0 ? this.#starts.at(now) / this.#busyMs * 1000 : undefined
  }

  /** The expected wait of a request with so many ahead; `undefined` if too few starts were seen lately. */
  estimate (ahead: number, now: number): WaitEstimate | undefined {
    return this.perSecond(now) === undefined ? undefined : this.#estimate(ahead, now)
  }

  /**
   * The same for requests of one class among others whose rate of starts is known: if the others start and these don't, that is known
   * without any start of these.
   */
  estimateOfClass (ahead: number, now: number): WaitEstimate | undefined {
    this.#advance(now)
    return this.#busyMs < minBusyMs ? undefined : this.#estimate(ahead, now)
  }

  #estimate (ahead: number, now: number): WaitEstimate {
    const starts = this.#starts.at(now)
    return { ms: ahead * this.#busyMs / Math.max(1, starts), soonestMs: ahead * this.#busyMs / plausibleStarts(starts) }
  }

  #advance (now: number): void {
    const kept = 0.5 ** ((now - this.#updatedAt) / halfLifeMs)
    this.#busyMs = this.#busyMs * kept + (this.#waiting > 0 ? (1 - kept) * halfLifeMs / Math.LN2 : 0)
    this.#updatedAt = now
  }
}
