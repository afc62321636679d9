/**
 * Outlier detection: ejects a backend server for a while when too many of its requests fail.
 *
 * Only the failures of its own requests count, since the health check of a failing server may still pass. Each ejection is longer
 * than the one before. After an ejection the server is on probation, during which one failure ejects it again.
 */

export interface OutlierLimits {
  /** Consecutive failures that eject the server. */
  inRow: number
  /** Ratio of failures, as a moving average over the last requests, above which the server is ejected. */
  share: number
  /** Requests that must have been counted before the ratio applies. */
  least: number
  /** Length of the first ejection; each further one is twice as long. */
  firstMs: number
  /** Maximum length of an ejection. */
  limitMs: number
}

/** Weight of the latest result in the moving average of failures. */
const smoothing = 0.12

export class OutlierDetector {
  #consecutiveFailures = 0
  #failureRatio = 0
  #requests = 0
  #ejections = 0
  #ejectedUntil = -Infinity

  constructor (private readonly limits: OutlierLimits) {}

  get ejectedUntil (): number {
    return this.#ejectedUntil
  }

  ejected (now: number): boolean {
    return now < this.#ejectedUntil
  }

  /** Counts a success. Probation ends, and ejections start short again, once the failure ratio is below half of its limit. */
  recordSuccess (): void {
    this.#consecutiveFailures = 0
    this.#requests += 1
    this.#failureRatio -= this.#failureRatio * smoothing
    if (this.#failureRatio < this.limits.share / 2) this.#ejections = 0
  }

  /** Counts a failure. Returns true if it ejected the server. */
  recordFailure (now: number): boolean {
    this.#consecutiveFailures += 1
    this.#requests += 1
    this.#failureRatio += (1 - this.#failureRatio) * smoothing
    const { inRow, share, least } = this.limits
    const probation = this.#ejections > 0 && !this.ejected(now)
    const exceeded = this.#consecutiveFailures >= inRow || (this.#requests >= least && this.#failureRatio > share)
    return (probation || exceeded) && this.eject(now)
  }

  /** Ejects the server at once, for instance when it can't be reached. Returns false if it was ejected already. */
  eject (now: number): boolean {
    if (this.ejected(now)) return false
    const { firstMs, limitMs } = this.limits
    this.#ejectedUntil = now + Math.min(limitMs, firstMs * 2 ** this.#ejections)
    this.#ejections += 1
    return true
  }
}
