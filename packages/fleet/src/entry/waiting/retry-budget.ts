/**
 * This entry's share of each service's retry budget, which all entries share.
 *
 * The budget is a ratio of the requests plus a fixed slack. The ratio needs no division, since each entry counts its own requests.
 * The slack is divided by the number of entries, which side processes report; until one has, a high number is assumed.
 */
import { RetryWindow } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import type { Limits } from '../../ports.js'

/** Safety margin, as requests are counted slightly differently at the receiving end. */
const safetyFactor = 0.8
/** Number of entries assumed until a side process has reported it. */
const assumedEntries = 12

export class RetryBudget {
  readonly #windows = new Map<string, RetryWindow>()

  constructor (private readonly limits: () => Limits, private readonly entries: () => number | undefined) {}

  /** Counts a first attempt, which adds to the budget. */
  deposit (service: string): void {
    this.#window(service).recordFirstAttempt(nowMs(), this.limits().retryWindowMs)
  }

  /** Spends one retry from the budget; `false` if none is left. */
  tryWithdraw (service: string): boolean {
    const { retryRatio, retrySlack, retryWindowMs } = this.limits()
    const slack = retrySlack * safetyFactor / Math.max(1, this.entries() ?? assumedEntries)
    return this.#window(service).tryRetry(nowMs(), { ratio: retryRatio * safetyFactor, slack, windowMs: retryWindowMs })
  }

  #window (service: string): RetryWindow {
    const window = this.#windows.get(service) ?? new RetryWindow()
    this.#windows.set(service, window)
    return window
  }
}
