/**
 * The rule by which entries that share no state know whether a caller was promised capacity for its return.
 *
 * Load: more requests than capacity, for seconds, from callers that return at another entry than the one that rejected them. A caller
 * waits as told, but at most a third of its remaining time. It is therefore promised capacity only for a return within `keptShare`
 * of its time since its first attempt. Every other caller is told more than a third of what is left, so it returns later than that.
 * Any entry can tell them apart by the time that a request states.
 */

/** Callers wait at most this share of their remaining time. */
export const maxReturnShare = 1 / 3
/** Below this share of its time, a caller has returned as told. One that waited a third of its time returns later, at any entry. */
const keptShare = 0.3
/** A caller that returns sooner is not recognized, since first attempts also state some less time by network latency. */
export const earliestReturnMs = 160

/** Whether a caller that first tried `agoMs` ago waited as long as it was told. */
export const hasWaitedAsTold = (agoMs: number, remainingMs: number): boolean => agoMs > 0 && agoMs < (agoMs + remainingMs) * keptShare

/** What is told to a caller that is promised nothing exceeds the longest time that it waits by this factor. */
export const beyondFactor = 1.1

/** When a caller can return, from now on. */
export interface ReturnWindow {
  /** Between these it returns as promised; there is no such time if the first is later. */
  earliestMs: number
  latestMs: number
  /** It waits no longer than this, whatever it is told. */
  longestMs: number
}

/** Promises leave this share of the caller's time for network latency. */
const latencyShare = 0.02

/** The window of a caller that first tried `spentMs` ago and has `remainingMs` left. `returning`: it does not return a second time. */
export const returnWindow = (spentMs: number, remainingMs: number, returning = false): ReturnWindow => ({
  earliestMs: Math.max(0, earliestReturnMs - spentMs),
  latestMs: returning ? -Infinity : (keptShare - latencyShare) * (spentMs + remainingMs) - spentMs,
  longestMs: remainingMs * maxReturnShare
})
