/**
 * Deferred removals, for the time after an outage of the store or its restore from a backup.
 *
 * During an outage no server can renew its record, so the records of live servers expire. These servers write their records again
 * soon after the store recovers. Removals learned until then are deferred, and only facts that are still missing afterwards
 * count as removed. Facts missing from a restored store are treated in the same way.
 */
import { nowMs } from './clock.js'
import type { Fact } from './fact.js'

/** A live server that reaches the store writes its record again within this time after the store recovers; the platform guarantees this. */
export const reregistrationMs = 2000
/** How long a fact may be missing from a restored store before it counts as removed. Operators repeat writes later than servers do. */
export const rewriteGraceByKindMs: Record<Fact['kind'], number> = { table: reregistrationMs, server: reregistrationMs, version: 10_000 }
/**
 * Shorter outages defer nothing: a watch whose connection broke is renewed in a fraction of this time, and records expire only
 * after several missed heartbeats.
 */
const minOutageMs = 1000

export class DeferredRemovals {
  #until = -Infinity
  #timer: NodeJS.Timeout | undefined
  readonly #deferred = new Map<string, Fact>()

  /** Whether removals are currently deferred, so that not everything that was read has been applied. */
  get active (): boolean {
    return nowMs() < this.#until
  }

  /** `release` is given the facts that are still missing when the deferral ends. */
  constructor (private readonly release: (facts: Fact[]) => void) {}

  /** Records that the store answers again after an outage that began at `since`. */
  storeRecovered (since: number): void {
    if (nowMs() - since >= minOutageMs) this.defer(reregistrationMs)
  }

  /** Defers removals learned within the next `ms`; never shortens a deferral in progress. */
  defer (ms: number): void {
    const until = nowMs() + ms
    if (until <= this.#until) return
    this.#until = until
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => this.#end(), ms)
  }

  /** Returns the facts to apply now, and keeps removals back while they are deferred. */
  filter (facts: readonly Fact[]): Fact[] {
    if (!this.active) return [...facts]
    for (const fact of facts) {
      if (fact.value === undefined) this.#deferred.set(fact.key, fact)
      else this.#deferred.delete(fact.key)
    }
    return facts.filter(fact => fact.value !== undefined)
  }

  stop (): void {
    clearTimeout(this.#timer)
  }

  /** Ends the deferral and releases what is still missing. */
  #end (): void {
    this.#until = -Infinity
    const missing = [...this.#deferred.values()]
    this.#deferred.clear()
    this.release(missing)
  }
}
