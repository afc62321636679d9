/**
 * Backoff: how long to wait before another try, doubling to a limit, spread over the whole span so that many
 * processes which failed together don't come back together.
 */

/** A number from 0 up to 1; seeded in tests. */
export type Random = () => number

const firstMs = 50
const limitMs = 2000

export const backoff = (failures: number, random: Random): number => {
  const span = Math.min(limitMs, firstMs * 2 ** Math.min(failures, 16))
  return span * (0.5 + random() / 2)
}
