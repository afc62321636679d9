/**
 * A retry budget over a sliding window: retries are limited to a ratio of the first attempts in the same window, plus a fixed slack
 * that allows single retries when there is little traffic.
 */

export interface RetryLimits {
  /** Retries allowed for each first attempt. */
  ratio: number
  /** Retries allowed per window whatever the traffic. */
  slack: number
  windowMs: number
}

/** A decision on a retry, with the counts of the window that it was based on. */
export interface RetryDecision {
  granted: boolean
  firstAttempts: number
  /** Retries in the window before this one. */
  retries: number
}

interface Bucket {
  at: number
  firstAttempts: number
  retries: number
}

/** Buckets per window. One more is kept, so that the counts always cover at least the whole window. */
const bucketsPerWindow = 20

export class RetryWindow {
  #buckets: Bucket[] = []

  /** Counts a first attempt. */
  recordFirstAttempt (now: number, windowMs: number): void {
    this.#currentBucket(now, windowMs).firstAttempts += 1
  }

  /** Counts a retry if the budget allows one. */
  tryRetry (now: number, { ratio, slack, windowMs }: RetryLimits): RetryDecision {
    const bucket = this.#currentBucket(now, windowMs)
    const firstAttempts = this.#buckets.reduce((sum, each) => sum + each.firstAttempts, 0)
    const retries = this.#buckets.reduce((sum, each) => sum + each.retries, 0)
    const granted = retries + 1 <= ratio * firstAttempts + slack
    if (granted) bucket.retries += 1
    return { granted, firstAttempts, retries }
  }

  #currentBucket (now: number, windowMs: number): Bucket {
    const bucketMs = windowMs / bucketsPerWindow
    this.#buckets = this.#buckets.filter(each => now - each.at < windowMs + bucketMs)
    const last = this.#buckets.at(-1)
    if (last !== undefined && now - last.at < bucketMs) return last
    const bucket = { at: now, firstAttempts: 0, retries: 0 }
    this.#buckets.push(bucket)
    return bucket
  }
}
