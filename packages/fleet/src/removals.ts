/**
 * Removals right after the store was away or was restored from a backup.
 *
 * While the store is away no server can renew its entry, so entries lapse though their servers live. Those servers
 * write them again soon after the store's return; a removal that is learned until then is therefore held back, and
 * only what is still missing afterwards counts as gone. Entries missing from a restored store
 * are held back in the same way.
 */
import { nowMs } from './clock.js'
import type { Fact } from './fact.js'

/** A server that lives and reaches the store has its entry back within this time of the store's return (platform). */
export const returnMs = 2000
/** A watch that is merely cut is renewed in a fraction of this; entries lapse after several heartbeats. */
const awayMs = 1000

export class Removals {
  #until = -Infinity
  #timer: NodeJS.Timeout | undefined
  readonly #held = new Map<string, Fact>()

  /** Removals are held back, so less is known than was read. */
  get holding (): boolean {
    return nowMs() < this.#until
  }

  /** `release` takes what is still missing when its server would have been back. */
  constructor (private readonly release: (facts: Fact[]) => void) {}

  /** The store answers again and had not since `since`. */
  returned (since: number): void {
    if (nowMs() - since >= awayMs) this.hold(returnMs)
  }

  /** Holds back removals learned within the next `ms`; never shortens a current hold. */
  hold (ms: number): void {
    const until = nowMs() + ms
    if (until <= this.#until) return
    this.#until = until
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => this.#end(), ms)
  }

  /** What of it is to be believed now. */
  sift (facts: readonly Fact[]): Fact[] {
    if (!this.holding) return [...facts]
    for (const fact of facts) {
      if (fact.value === undefined) this.#held.set(fact.key, fact)
      else this.#held.delete(fact.key)
    }
    return facts.filter(fact => fact.value !== undefined)
  }

  stop (): void {
    clearTimeout(this.#timer)
  }

  #end (): void {
    this.#until = -Infinity
    const missing = [...this.#held.values()]
    this.#held.clear()
    this.release(missing)
  }
}
