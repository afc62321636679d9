/**
 * Limits: how much one team may ask of one entry, and how many retries a process may add to its own load.
 */

/** A bucket of tokens that fills at `rate` a second up to one second's worth. */
export class RateLimit {
  #tokens: number
  #at: number

  constructor (private readonly rate: number, now: number) {
    this.#tokens = Math.max(1, rate)
    this.#at = now
  }

  /** 0 when admitted, else the milliseconds until the next token. */
  take (now: number): number {
    const size = Math.max(1, this.rate)
    this.#tokens = Math.min(size, this.#tokens + Math.max(0, now - this.#at) * this.rate / 1000)
    this.#at = now
    if (this.#tokens >= 1) {
      this.#tokens -= 1
      return 0
    }
    return Math.ceil((1 - this.#tokens) * 1000 / this.rate)
  }
}

/** Retries earn their place from first tries: at most a fifth on top, and a few to begin with. */
const earnedPerRequest = 0.2
const mostRetries = 20

export class RetryBudget {
  #left = mostRetries

  /** Counts a first try. */
  earn (): void {
    this.#left = Math.min(mostRetries, this.#left + earnedPerRequest)
  }

  /** Whether one more retry may be made. */
  spend (): boolean {
    if (this.#left < 1) return false
    this.#left -= 1
    return true
  }
}
