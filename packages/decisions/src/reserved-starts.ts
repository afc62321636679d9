/**
 * Starts that are reserved, while requests wait, for requests that go last by rank.
 *
 * Load: urgent requests alone exceed the capacity for seconds. Of every ten starts, one goes to the request that has waited longest
 * relative to the time that it may wait, so that no request starves. Two go to callers that returned as they were told: such a
 * request is mostly late, and would be rejected again after it was given a time.
 */

/** One start in this many is given by age. A tenth of the capacity delays urgent requests little, and serves others at a tenth of it. */
const startsPerAged = 10
/** One start in this many is given to a caller that returned as told. The response is late, so most of the capacity is for others. */
const startsPerReturned = 5
/** One promise of capacity is made for this many starts: half of those that are reserved, as callers don't return evenly. */
export const startsPerPromise = 10

/** So many callers that return at the same time are served one after the other, if none has returned for a while. */
const maxReturnedAtOnce = 3

export type ReservedStart = 'aged' | 'returned'

export interface AgingRequest {
  queuedAt: number
  expiresAt: number
}

export class ReservedStarts {
  #sinceAged = 0
  /** Starts that callers which return as told may have, of those up to now. */
  #returned = 1

  /** What the next start is reserved for. */
  get due (): ReservedStart | undefined {
    if (this.#sinceAged >= startsPerAged - 1) return 'aged'
    return this.#returned >= 1 ? 'returned' : undefined
  }

  /** Records a start, and what it was reserved for. */
  recordStart (reserved: ReservedStart | undefined): void {
    this.#sinceAged = reserved === 'aged' ? 0 : this.#sinceAged + 1
    this.#returned = Math.min(maxReturnedAtOnce, this.#returned + 1 / startsPerReturned) - (reserved === 'returned' ? 1 : 0)
  }

  /** No request waits that the start could be given to. Callers that return as told keep theirs, as they return at random times. */
  skip (reserved: ReservedStart): void {
    if (reserved === 'aged') this.#sinceAged = 0
  }

  /** Nobody waits. */
  reset (): void {
    this.#sinceAged = 0
  }
}

/** The request that has waited longest relative to the time that it may wait; `undefined` if there is none. */
export const longestWaiting = <T extends AgingRequest>(requests: readonly T[], now: number): T | undefined => {
  let longest: T | undefined
  let mostWaited = -Infinity
  for (const request of requests) {
    const waited = (now - request.queuedAt) / Math.max(1, request.expiresAt - request.queuedAt)
    if (waited > mostWaited) [longest, mostWaited] = [request, waited]
  }
  return longest
}
