/**
 * When a side process looks at its engine again: a plain function.
 *
 * Load pattern: a busy engine always has some adapter on its way, and each look costs its side process a call. What is on
 * its way is looked for when it is due, so that only a demand which nothing was ordered for yet has to be looked at often:
 * a place may fall free at any moment, and the engine takes its next order then.
 */
import type { EngineAccount } from '../ports.js'

/** Between two looks while nothing is awaited, or nothing but loads that are not due: load news go out as often. */
export const restMs = 200
/** While a demand has to wait for a place or for the engine's turn. */
const unmetMs = 60

export interface LookView {
  account: Pick<EngineAccount, 'busy' | 'coming'>
  /** Keys that are asked for and not held. */
  demanded: Iterable<string>
  /** Until the next load is due, at most so many ms. */
  dueInMs: (mostMs: number) => number
}

export const nextLookMs = ({ account, demanded, dueInMs }: LookView): number => {
  const ordered = new Set(account.coming.map(({ key }) => key))
  const unmet = [...demanded].some(key => !ordered.has(key))
  if (unmet) return dueInMs(unmetMs)
  // An order that the engine is at works on what it will say in its next account.
  if (account.busy && ordered.size === 0) return unmetMs
  return dueInMs(restMs)
}
