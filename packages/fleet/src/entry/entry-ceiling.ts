/**
 * The most entries that may exist, by which each entry divides what belongs to all of them.
 *
 * Too many cost a team a little of its quota, too few break the quota. So a fall of the count is believed late, and until
 * side processes have counted entries that start together, more are assumed than any deployment seen has: 26 to 68 entries
 * with 33 to 54 engines, 1.3 for each at most.
 */
import { nowMs } from '../clock.js'

/** Side processes that were cut off from some entries, or restarted, count too few for as long. */
const holdMs = 15_000
/** All entries of a domain have joined its side processes this long after a start; it takes some 0.5 s where all start at once. */
const settleMs = 1500
const assumedPerServer = 1.5
/** Assumed while there is nothing to go by. */
const assumedEntries = 12

export class EntryCeiling {
  readonly #startedAt = nowMs()
  #most = 0
  #mostBefore = 0
  #since = nowMs()

  /** `counted`: entries by what side processes tell now; `servers`: backend servers that are known. */
  of (counted: number | undefined, servers: number): number {
    const now = nowMs()
    if (now - this.#since > holdMs) {
      this.#mostBefore = this.#most
      this.#most = 0
      this.#since = now
    }
    this.#most = Math.max(this.#most, counted ?? 0)
    const settled = now - this.#startedAt > settleMs
    const known = Math.max(this.#most, this.#mostBefore)
    const floor = settled && known > 0 ? 1 : Math.max(assumedEntries, servers * assumedPerServer)
    return Math.max(known, floor)
  }
}
