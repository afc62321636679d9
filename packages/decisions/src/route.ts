/**
 * Routing: which of an adapter's preferred side processes gets the next request.
 *
 * Bounded load: the first on the list that is not fuller than the others by more than `headroom`. A hot adapter
 * overflows to the next on its list, which then holds a replica; when it cools, its requests return to the first
 * and the replica's slot falls free. Reports lag, so one's own requests in flight are counted on top.
 */

export interface Occupancy {
  /** Requests waiting and running there by its last report. */
  reported: number
  /** One's own requests sent there since that report. */
  sentSince: number
  /** Requests it runs at once. */
  capacity: number
}

/** How much fuller than the average of the list a process may be and still be chosen for its place on it. */
const headroom = 1.25

export const fullness = ({ reported, sentSince, capacity }: Occupancy): number => (reported + sentSince) / capacity

/** The index into `list` to send to; -1 for an empty list. */
export const route = (list: readonly Occupancy[]): number => {
  if (list.length === 0) return -1
  const levels = list.map(fullness)
  const average = levels.reduce((sum, level) => sum + level, 0) / levels.length
  const bound = Math.max(1, headroom * average)
  const first = levels.findIndex(level => level < bound)
  return first >= 0 ? first : levels.indexOf(Math.min(...levels))
}
