/**
 * Backoff: how long to wait before another try, doubling to a limit, spread so that many processes which failed
 * together don't come back together.
 */

/** A number from 0 up to 1; seeded in tests. */
export type Random = () => number

export interface BackoffSpan {
  firstMs: number
  limitMs: number
}

/** Some ten calls of a store that answers in milliseconds, and no longer than callers wait. */
const defaultSpan: BackoffSpan = { firstMs: 50, limitMs: 2000 }
/** Beyond so many doublings every limit is reached. */
const mostDoublings = 16

/** `failures` that doubled the wait: 0 gives the first. */
export const backoff = (failures: number, random: Random = Math.random, { firstMs, limitMs }: BackoffSpan = defaultSpan): number => {
  const span = Math.min(limitMs, firstMs * 2 ** Math.min(Math.max(0, failures), mostDoublings))
  return span * (0.5 + random() / 2)
}
