/**
 * Exponential backoff with jitter. The jitter keeps processes that failed at the same moment from retrying at the same
 * moment.
 */

/** Returns a number in [0, 1). Tests pass a seeded generator. */
export type Random = () => number

export interface BackoffRange {
  firstMs: number
  limitMs: number
}

/** Starts at the duration of some ten store calls, which take milliseconds each, and stays below the time that callers wait. */
const defaultBackoff: BackoffRange = { firstMs: 50, limitMs: 2000 }
/** Bounds the exponent; every limit in use is reached with fewer doublings. */
const maxDoublings = 16

/** `doublings`: how often the initial delay is doubled. The result is random, between half and all of the doubled delay. */
export const backoff = (doublings: number, random: Random = Math.random, { firstMs, limitMs }: BackoffRange = defaultBackoff): number => {
  const delayMs = Math.min(limitMs, firstMs * 2 ** Math.min(Math.max(0, doublings), maxDoublings))
  return delayMs * (0.5 + random() / 2)
}
