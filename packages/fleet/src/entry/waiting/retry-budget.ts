/**
 * This entry's share of each service's retry budget, which all entries share.
 *
 * The budget is a ratio of the requests plus a fixed slack. The ratio needs no division, since each entry counts its own requests.
 * The slack is divided by the number of entries, which side processes report; until one has, a high number is assumed.
 */
import { RetryWindow, type RetryDecision } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import type { Limits } from '../../ports.js'

/** Safety margin, as requests are counted slightly differently at the receiving end. */
const safetyFactor = 0.8
/** Number of entries assumed until a side process has reported it. */
const assumedEntries = 12

/** What all entries together may spend on retries of a service's requests, in any window. */
export type RetryBounds = Pick<Limits, 'retryRatio' | 'retrySlack' | 'retryWindowMs'>

/** A decision on a retry, with what it was based on. */
export interface BudgetDecision extends RetryDecision {
  /** This entry's share of the fixed slack. */
  slack: number
  /** Number of entries that the slack was divided by. */
  entries: number
}

export class RetryBudget {
  readonly #windows = new Map<string, RetryWindow>()

  constructor (private readonly limits: () => RetryBounds, private readonly entries: () => number | undefined) {}

  /** Counts a first attempt, which adds to the budget. */
  deposit (service: string): void {
    this.#window(service).recordFirstAttempt(nowMs(), this.limits().retryWindowMs)
  }

  /** Spends one retry from the budget if there is one left. */
  tryWithdraw (service: string): BudgetDecision {
    const { retryRatio, retrySlack, retryWindowMs } = this.limits()
    const entries = Math.max(1, this.entries() ?? assumedEntries)
    const slack = retrySlack * safetyFactor / entries
    return { ...this.#window(service).tryRetry(nowMs(), { ratio: retryRatio * safetyFactor, slack, windowMs: retryWindowMs }), slack, entries }
  }

  #window (service: string): RetryWindow {
    const window = this.#windows.get(service) ?? new RetryWindow()
    this.#windows.set(service, window)
    return window
  }
}
