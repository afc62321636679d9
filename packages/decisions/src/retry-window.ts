/**
 * The part of a retry budget that a process earns by its own first attempts: over a sliding window, retries are limited to a ratio of
 * the first attempts.
 *
 * What each process counts alone is right for all of them together. A process that restarts forgets its retries and its first attempts,
 * and may spend what up to one window of first attempts had earned before the restart in addition.
 */

export interface RetryRatio {
  /** Retries earned by each first attempt. */
  ratio: number
  windowMs: number
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

  /** Counts retries that are charged to the ratio; fractions where the rest of a retry is charged elsewhere, negative ones to take some back. */
  recordRetries (retries: number, now: number, windowMs: number): void {
    this.#currentBucket(now, windowMs).retries += retries
  }

  /** Retries that the ratio still allows now. */
  credit (now: number, { ratio, windowMs }: RetryRatio): number {
    return Math.max(0, ratio * this.firstAttempts(now, windowMs) - this.#sum(now, windowMs, 'retries'))
  }

  /** First attempts in the window. */
  firstAttempts (now: number, windowMs: number): number {
    return this.#sum(now, windowMs, 'firstAttempts')
  }

  #sum (now: number, windowMs: number, count: 'firstAttempts' | 'retries'): number {
    this.#dropExpired(now, windowMs)
    return this.#buckets.reduce((sum, bucket) => sum + bucket[count], 0)
  }

  #currentBucket (now: number, windowMs: number): Bucket {
    this.#dropExpired(now, windowMs)
    const last = this.#buckets.at(-1)
    if (last !== undefined && now - last.at < windowMs / bucketsPerWindow) return last
    const bucket = { at: now, firstAttempts: 0, retries: 0 }
    this.#buckets.push(bucket)
    return bucket
  }

  #dropExpired (now: number, windowMs: number): void {
    const keptMs = windowMs * (1 + 1 / bucketsPerWindow)
    this.#buckets = this.#buckets.filter(each => now - each.at < keptMs)
  }
}
