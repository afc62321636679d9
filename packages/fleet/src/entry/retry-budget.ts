/**
 * This entry's part of the retry budget that all entries share, for each service.
 *
 * The share that requests earn needs no division, since each entry sees its own requests. The fixed slack is divided
 * by the number of entries, which side processes tell; until one has, many are assumed.
 */
import { RetryWindow } from '@finchpitch/decisions'
import { nowMs } from '../clock.js'
import type { Limits } from '../ports.js'

/** Kept back for requests that are counted a little differently at the other end. */
const safety = 0.8
/** Assumed while no side process has told. */
const assumedEntries = 12

export class RetryBudget {
  readonly #windows = new Map<string, RetryWindow>()

  constructor (private readonly limits: () => Limits, private readonly entries: () => number | undefined) {}

  first (service: string): void {
    this.#window(service).first(nowMs(), this.limits().retryWindowMs)
  }

  repeat (service: string): boolean {
    const { retryRatio, retrySlack, retryWindowMs } = this.limits()
    const slack = retrySlack * safety / Math.max(1, this.entries() ?? assumedEntries)
    return this.#window(service).repeat(nowMs(), { ratio: retryRatio * safety, slack, windowMs: retryWindowMs })
  }

  #window (service: string): RetryWindow {
    const window = this.#windows.get(service) ?? new RetryWindow()
    this.#windows.set(service, window)
    return window
  }
}
