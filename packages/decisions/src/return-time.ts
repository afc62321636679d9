/**
 * How long rejected callers wait before they return, and whether one that returns waited as long as it was told.
 *
 * Load: more requests than capacity, for seconds, from callers that return at another entry than the one that rejected them, which
 * doesn't know what they were told. Callers wait as told, but at most a third of their remaining time, so one that returns after
 * just this third was probably told a longer time.
 */

/** Callers wait at most this share of their remaining time. */
export const maxReturnShare = 1 / 3
/** Below this share of its time, a caller has returned as told. The difference to the longest wait is network latency. */
const keptShare = 0.3

/** Whether a caller that first tried `agoMs` ago waited as long as it was told. */
export const hasWaitedAsTold = (agoMs: number, remainingMs: number): boolean => agoMs > 0 && agoMs <= (agoMs + remainingMs) * keptShare
