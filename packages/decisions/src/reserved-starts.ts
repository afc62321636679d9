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
export const startsPerReturned = 5

export type ReservedStart = 'aged' | 'returned'

export interface AgingRequest {
  queuedAt: number
  expiresAt: number
}

export class ReservedStarts {
  #sinceAged = 0
  #sinceReturned = 0

  /** What the next start is reserved for. */
  get due (): ReservedStart | undefined {
    if (this.#sinceAged >= startsPerAged - 1) return 'aged'
    return this.#sinceReturned >= startsPerReturned - 1 ? 'returned' : undefined
  }

  /** Records a start, and what it was reserved for. */
  recordStart (reserved: ReservedStart | undefined): void {
    this.#sinceAged = reserved === 'aged' ? 0 : this.#sinceAged + 1
    this.#sinceReturned = reserved === 'returned' ? 0 : this.#sinceReturned + 1
  }

  /** No request waits that the start could be given to. */
  skip (reserved: ReservedStart): void {
    if (reserved === 'aged') this.#sinceAged = 0
    else this.#sinceReturned = 0
  }

  /** Nobody waits. */
  reset (): void {
    this.#sinceAged = this.#sinceReturned = 0
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
