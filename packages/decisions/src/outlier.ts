/**
 * Outliers: backend servers that fail what they are sent, put out for a while by what their requests met.
 *
 * Its own failures are all that counts, since a failing server's health check may be good. Each ejection is longer
 * than the one before; after it the server is on probation, where one failure ejects it again.
 */

export interface OutlierLimits {
  /** Failures in a row that eject. */
  inRow: number
  /** Share of failures among the last requests that ejects, once `least` were seen. */
  share: number
  least: number
  firstMs: number
  limitMs: number
}

/** How much the last result counts in the share of failures. */
const weight = 0.12

export class Outlier {
  #inRow = 0
  #share = 0
  #seen = 0
  #ejections = 0
  #until = -Infinity

  constructor (private readonly limits: OutlierLimits) {}

  get until (): number {
    return this.#until
  }

  ejected (now: number): boolean {
    return now < this.#until
  }

  succeeded (): void {
    this.#inRow = 0
    this.#seen += 1
    this.#share -= this.#share * weight
    if (this.#share < this.limits.share / 2) this.#ejections = 0
  }

  /** Counts a failure; says whether it ejected the server. */
  failed (now: number): boolean {
    this.#inRow += 1
    this.#seen += 1
    this.#share += (1 - this.#share) * weight
    const { inRow, share, least } = this.limits
    const probation = this.#ejections > 0 && !this.ejected(now)
    const over = this.#inRow >= inRow || (this.#seen >= least && this.#share > share)
    return (probation || over) && this.eject(now)
  }

  /** Puts the server out at once: it can't be reached at all. */
  eject (now: number): boolean {
    if (this.ejected(now)) return false
    const { firstMs, limitMs } = this.limits
    this.#until = now + Math.min(limitMs, firstMs * 2 ** this.#ejections)
    this.#ejections += 1
    return true
  }
}
