/**
 * The retry budget of each service, which all entries share: a ratio of the requests, plus a fixed slack.
 *
 * The ratio needs no division, since each entry counts its own requests. The slack is earned in equal parts by all entries, divided
 * by an upper bound of their number.
 */
import { RetryAccount, type RetryBasis, type RetryBounds, type RetryPermit } from './retry-account.js'

export interface RetryBudgetOptions {
  bounds: () => RetryBounds
  /** An upper bound of the number of entries. */
  entries: () => number
  /** When this process started, on the boot-time clock. */
  startedAt: number
}

/** A decision on a retry, with what it was based on. */
export interface RetryDecision extends RetryBasis {
  /** `undefined` if the retry was denied. */
  permit: RetryPermit | undefined
  /** Number of entries that the slack is divided by. */
  entries: number
}

export class RetryBudget {
  readonly #accounts = new Map<string, RetryAccount>()

  constructor (private readonly options: RetryBudgetOptions) {}

  /** Counts a first attempt, which adds to the budget. */
  deposit (service: string): void {
    this.#account(service).recordFirstAttempt()
  }

  /** Spends one retry from the budget if there is one left. */
  withdraw (service: string): RetryDecision {
    const account = this.#account(service)
    const { basis } = account
    return { ...basis, permit: account.take(basis), entries: this.options.entries() }
  }

  /** Returns the permit of a retry that was not sent. */
  release (service: string, permit: RetryPermit): void {
    this.#account(service).release(permit)
  }

  #account (service: string): RetryAccount {
    const { bounds, entries, startedAt } = this.options
    const account = this.#accounts.get(service) ?? new RetryAccount(bounds, entries, startedAt)
    this.#accounts.set(service, account)
    return account
  }
}
