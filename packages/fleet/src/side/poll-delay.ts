/**
 * Decides when a side process polls its engine again. Pure function.
 *
 * Load pattern: a busy engine is always loading some adapter, and each poll costs the side process a call. Loads in progress are
 * polled for when they are due to complete. Frequent polls are needed only for a demand without an order: a slot may
 * become free at any moment, and the engine then accepts its next order.
 */
import type { EngineStatus } from '../ports.js'

/** Interval while nothing is pending except loads that are not due yet. Load updates are sent about as often. */
export const idlePollMs = 200
/** Interval while a demand waits for a free slot, or for the engine to finish another order. */
const pendingDemandMs = 60

export interface PollState {
  status: Pick<EngineStatus, 'busy' | 'coming'>
  /** Keys that are demanded and not loaded. */
  demandedKeys: Iterable<string>
  /** Delay until the next load is due to complete, at most `maxMs`. */
  dueInMs: (maxMs: number) => number
}

export const nextPollDelayMs = ({ status, demandedKeys, dueInMs }: PollState): number => {
  const loading = new Set(status.coming.map(({ key }) => key))
  const hasUnordered = [...demandedKeys].some(key => !loading.has(key))
  if (hasUnordered) return dueInMs(pendingDemandMs)
  // The engine is carrying out an order that is not listed as a load. No other is sent until it is done, so that is polled for soon.
  if (status.busy && loading.size === 0) return pendingDemandMs
  return dueInMs(idlePollMs)
}
