/**
 * How long ago a caller first tried, by the time that it states it has left.
 *
 * Callers of a route mostly give it the same time, so one that states less has tried before. What counts for a caller
 * runs from its first try, which no request names. It lets late requests be told from those that can be in time
 * (urgency.ts has what that is worth).
 */

/** Statements this close to the most are first tries; the rest is what the way here took. */
const closeMs = 150
/** Statements after which older ones count half. */
const halfAfter = 100
/** Without so large a part of first tries the route's callers differ, and nothing can be said. */
const leastShare = 0.4

interface Seen {
  mostMs: number
  close: number
  all: number
}

export class FirstTries {
  readonly #routes = new Map<string, Seen>()

  /** Milliseconds since the first try of a caller that has `remainingMs` left; 0 for a first try, or where that can't be told. */
  agoMs (route: string, remainingMs: number): number {
    const seen = this.#note(route, remainingMs)
    const ago = seen.mostMs - remainingMs
    return ago < closeMs || seen.close < seen.all * leastShare ? 0 : ago
  }

  #note (route: string, remainingMs: number): Seen {
    const seen = this.#routes.get(route) ?? { mostMs: 0, close: 0, all: 0 }
    this.#routes.set(route, seen)
    if (remainingMs > seen.mostMs + closeMs) seen.close = seen.all = 0
    seen.mostMs = Math.max(seen.mostMs, remainingMs)
    seen.all += 1
    if (remainingMs > seen.mostMs - closeMs) seen.close += 1
    if (seen.all >= halfAfter) {
      seen.all /= 2
      seen.close /= 2
    }
    return seen
  }
}
