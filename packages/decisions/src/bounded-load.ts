/**
 * Hashing with bounded loads: selects the side process for the next request from the rendezvous list of its adapter.
 *
 * The first process on the list is selected whose utilization doesn't exceed the average of the list by more than a fixed factor.
 * Requests for a hot adapter overflow to the next process on its list, which then loads a replica. When the load falls, they return
 * to the first process, and the slot of the replica becomes free. Load reports lag, so requests that were sent from here since the
 * last report are added to it.
 */

export interface Occupancy {
  /** Requests queued and running at the process, by its last report. */
  reportedRequests: number
  /** Requests sent from here since that report. */
  sentSinceReport: number
  /** Requests that the process runs at once. */
  capacity: number
}

/** A process below this multiple of the average utilization is selected by its position on the list. */
const loadFactor = 1.25

export const utilizationOf = ({ reportedRequests, sentSinceReport, capacity }: Occupancy): number => (reportedRequests + sentSinceReport) / capacity

/** The index in `list` of the process to send to; -1 for an empty list. */
export const selectBoundedLoad = (list: readonly Occupancy[]): number => {
  if (list.length === 0) return -1
  const utilizations = list.map(utilizationOf)
  const average = utilizations.reduce((sum, utilization) => sum + utilization, 0) / utilizations.length
  const bound = Math.max(1, loadFactor * average)
  const first = utilizations.findIndex(utilization => utilization < bound)
  return first >= 0 ? first : utilizations.indexOf(Math.min(...utilizations))
}
