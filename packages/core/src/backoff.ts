/**
 * Exponential backoff with jitter. The jitter keeps processes that failed at the same moment from retrying at the same
 * moment.
 */

/** Returns a number in [0, 1). Tests pass a seeded generator. */
export type Random = () => number

export interface BackoffSpan {
  firstMs: number
  limitMs: number
}

/** Starts at the duration of some ten store calls, which take milliseconds each, and stays below the time that callers wait. */
const defaultSpan: BackoffSpan = { firstMs: 50, limitMs: 2000 }
/** Bounds the exponent; every limit in use is reached with fewer doublings. */
const maxDoublings = 16

/** `failures` is the number of doublings; 0 gives the initial delay. The result is random, between half and all of the doubled delay. */
export const backoff = (failures: number, random: Random = Math.random, { firstMs, limitMs }: BackoffSpan = defaultSpan): number => {
  const span = Math.min(limitMs, firstMs * 2 ** Math.min(Math.max(0, failures), maxDoublings))
  return span * (0.5 + random() / 2)
}
