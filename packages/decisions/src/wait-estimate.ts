/**
 * The expected wait of a request, and whether it is certain enough to reject the request.
 *
 * Load: more requests than capacity, for seconds. A wrong rejection costs a caller more than a wait that ends without success, so a
 * request is rejected only if even the optimistic end of its estimate is too late.
 */

export interface WaitEstimate {
  ms: number
  /** The optimistic end of the estimate. */
  soonestMs: number
}

/** An estimate must exceed the time available by this factor, since capacity may rise while the request waits. */
export const rejectionMargin = 1.5

/** Whether the request will not start within the time that it may wait. */
export const isTooLate = ({ ms, soonestMs }: WaitEstimate, availableMs: number): boolean =>
  ms > availableMs * rejectionMargin && soonestMs > availableMs

/** The estimate of a wait that begins in `ms`. */
export const delayed = (estimate: WaitEstimate | undefined, ms: number): WaitEstimate =>
  ({ ms: ms + (estimate?.ms ?? 0), soonestMs: ms + (estimate?.soonestMs ?? 0) })

/** The later of two estimates. */
export const laterEstimate = (a: WaitEstimate | undefined, b: WaitEstimate | undefined): WaitEstimate | undefined =>
  a === undefined || (b !== undefined && b.ms > a.ms) ? b : a
