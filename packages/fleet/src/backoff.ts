/**
 * Backoff: how long to wait before another try, doubling to a limit, spread so that many processes which failed
 * together don't come back together.
 */
export interface Backoff {
  firstMs: number
  limitMs: number
}

export const backoffMs = (failures: number, { firstMs, limitMs }: Backoff): number => {
  const span = Math.min(limitMs, firstMs * 2 ** Math.max(0, failures - 1))
  return span * (0.5 + Math.random() / 2)
}
