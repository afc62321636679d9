/**
 * Token buckets: one limits the request rate of a team at one entry process, the other the retries that a process adds to its own load.
 */

/** A token bucket that refills at `rate` tokens per second and holds one second's worth of them. */
export class TokenBucket {
  #tokens: number
  #refilledAt: number

  constructor (private readonly rate: number, now: number) {
    this.#tokens = Math.max(1, rate)
    this.#refilledAt = now
  }

  /** Takes a token and returns 0, or returns the milliseconds until the next token is available. */
  take (now: number): number {
    const capacity = Math.max(1, this.rate)
    this.#tokens = Math.min(capacity, this.#tokens + Math.max(0, now - this.#refilledAt) * this.rate / 1000)
    this.#refilledAt = now
    if (this.#tokens >= 1) {
      this.#tokens -= 1
      return 0
    }
    return Math.ceil((1 - this.#tokens) * 1000 / this.rate)
  }
}

/** Retries may add a fifth to the load of first attempts, beyond the tokens that the bucket starts with. */
const tokensPerRequest = 0.2
const maxTokens = 20

export class RetryBudget {
  #tokens = maxTokens

  /** Counts a first attempt. */
  deposit (): void {
    this.#tokens = Math.min(maxTokens, this.#tokens + tokensPerRequest)
  }

  /** Takes the token for one retry; returns false if none is left. */
  withdraw (): boolean {
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
