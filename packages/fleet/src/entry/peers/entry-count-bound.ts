/**
 * An upper bound of the number of entries, by which each entry divides limits that all of them share.
 *
 * If the bound is too high, a team gets a little less than its quota. If it is too low, all entries together exceed the quota.
 * A lower count is therefore adopted late, and until side processes have counted the entries after a start, the bound is set
 * higher than the count in any deployment seen: those have 26 to 68 entries with 33 to 54 engines, at most 1.3 entries per
 * engine.
 */
import { nowMs } from '../../clock.js'

/** Side processes that restarted or lost connections to entries report too low a count for up to this long. */
const windowMs = 15_000
/** After a start, all entries of a domain have connected to its side processes by then; if all start at once, it takes about 0.5 s. */
const warmupMs = 1500
/**
 * A count is held for the windows above if it, or a higher one, lasted this long. Side processes count an entry twice for a moment
 * when it moves from a remote side process to a local one; held, that left a team two thirds of its quota for up to 30 s.
 */
const minHeldMs = 1000
const assumedEntriesPerServer = 1.5
/** Minimum of the bound until the warm-up is over and a count is known. */
const minAssumedEntries = 12

export class EntryCountBound {
  readonly #startedAt = nowMs()
  /** The latest counts and their times: those of the last `minHeldMs`, and the one before. */
  #recent: Array<{ count: number, at: number }> = []
  /** Highest lasting counts of the current and the previous window. */
  #max = 0
  #previousMax = 0
  #windowStart = nowMs()

  /** Updates and returns the bound. `counted`: current count from side processes; `servers`: number of known backend servers. */
  update (counted: number | undefined, servers: number): number {
    const now = nowMs()
    if (now - this.#windowStart > windowMs) {
      this.#previousMax = this.#max
      this.#max = 0
      this.#windowStart = now
    }
    this.#max = Math.max(this.#max, this.#lastingCount(now))
    this.#recent.push({ count: counted ?? 0, at: now })
    const warmedUp = now - this.#startedAt > warmupMs
    const known = Math.max(counted ?? 0, this.#max, this.#previousMax)
    const floor = warmedUp && known > 0 ? 1 : Math.max(minAssumedEntries, servers * assumedEntriesPerServer)
    return Math.max(known, floor)
  }

  /** The lowest count since `minHeldMs` ago; 0 if counts don't go back as far. */
  #lastingCount (now: number): number {
    const from = now - minHeldMs
    while ((this.#recent[1]?.at ?? Infinity) <= from) this.#recent.shift()
    const [oldest] = this.#recent
    return oldest === undefined || oldest.at > from ? 0 : Math.min(...this.#recent.map(({ count }) => count))
  }
}
