/**
 * The retry budget of each service, which all entries share: a ratio of the requests, plus a fixed slack.
 *
 * The ratio needs no division, since each entry counts its own requests. The slack is earned in equal parts by all entries, divided
 * by an upper bound of their number. An entry that lacks retries tells the others, which then give what they don't need.
 */
import type { Log } from '@finchpitch/core'
import { sliceAgeMs, type TokenSlice } from '@finchpitch/decisions'
import { maxServicesPerFrame, type AgedServiceRequests, type FrameOf, type RetryShortfall } from '@finchpitch/wire'
import { noReports } from '../../attempt-reports.js'
import { boottimeMs } from '../../clock.js'
import type { AttemptReporter } from '../peers/attempt-reporter.js'
import { RetryAccount, type RetryBasis, type RetryBounds, type RetryPermit } from './retry-account.js'

/** Source in the log of a lack that this entry noticed itself. */
const ownRequest = 'own request'
/** Shorter than the time for which entries exchange tokens after a report. */
const reportIntervalMs = 4000

export interface RetryBudgetOptions {
  bounds: () => RetryBounds
  /** An upper bound of the number of entries; `Infinity` while the others may not count this one. */
  entries: () => number
  /** When this process started, on the boot-time clock. */
  startedAt: number
  reporter: Pick<AttemptReporter, 'report'>
  /** Requests tokens from other entries. Resolves when that is answered or times out. */
  exchangeNow: () => Promise<unknown>
  log: Log
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
  /** When this entry or another one last reported that it lacks retries, by service. */
  readonly #reportedAt = new Map<string, number>()
  /** Retries that the last frame asked for, by service. */
  #asked = new Map<string, number>()

  constructor (private readonly options: RetryBudgetOptions) {}

  /** Counts a first attempt, which adds to the budget. */
  deposit (service: string): void {
    this.#account(service).recordFirstAttempt()
  }

  /** Spends one retry from the budget. If this entry has none left but others may, waits for an exchange. */
  async withdraw (service: string): Promise<RetryDecision> {
    const account = this.#account(service)
    account.recordDemand()
    const decision = this.#decide(account)
    if (decision.permit !== undefined) return decision
    this.#reportLack(service, account)
    if (!account.canExchange) return decision
    await account.awaitExchange(this.options.exchangeNow)
    return this.#decide(account)
  }

  /** Returns the permit of a retry that was not sent. */
  release (service: string, permit: RetryPermit): void {
    this.#account(service).release(permit)
  }

  /** Handles the report of another entry that lacks retries of some services. */
  handleReport ({ retrying = [] }: Pick<FrameOf<'crashes'>, 'retrying'>, from: string): void {
    for (const service of retrying) {
      const account = this.#accounts.get(service)
      if (account === undefined) continue
      this.#reportedAt.set(service, boottimeMs())
      if (this.#recordLack(service, account, from)) void this.options.exchangeNow()
    }
  }

  /** Whether no entry lacked retries lately, so that there is nothing to exchange. */
  get isIdle (): boolean {
    for (const account of this.#accounts.values()) if (account.isShared) return false
    return true
  }

  /** What to give to other entries, where `giving`, and what to request from them. */
  prepareExchange (giving: boolean): NonNullable<FrameOf<'quota'>['retries']> {
    const now = boottimeMs()
    const gives: AgedServiceRequests[] = []
    const wants: RetryShortfall[] = []
    const shared = [...this.#accounts].filter(([, account]) => account.isShared).slice(0, maxServicesPerFrame)
    for (const [service, account] of shared) {
      wants.push([service, account.wants, account.lifetimeMs])
      for (const slice of giving ? account.takeSpare() : []) gives.push([service, slice.tokens, sliceAgeMs(slice, now)])
    }
    this.#asked = new Map(wants.map(([service, wanted]) => [service, wanted]))
    return { gives, wants }
  }

  /** Adds what other entries granted, and records what they lack. */
  granted (slices: ReadonlyMap<string, TokenSlice[]>, lacking: ReadonlyArray<readonly [service: string, retries: number]>): void {
    for (const [service, retries] of lacking) this.#accounts.get(service)?.granted(slices.get(service) ?? [], this.#asked.get(service) ?? 0, retries)
    this.#asked.clear()
  }

  #reportLack (service: string, account: RetryAccount): void {
    const now = boottimeMs()
    this.#recordLack(service, account, ownRequest)
    if (now - (this.#reportedAt.get(service) ?? -Infinity) < reportIntervalMs) return
    this.#reportedAt.set(service, now)
    this.options.reporter.report({ ...noReports, retrying: [service] })
  }

  /** Returns whether no tokens were exchanged before. */
  #recordLack (service: string, account: RetryAccount, from: string): boolean {
    const wasShared = account.isShared
    account.recordLack()
    if (!wasShared) this.options.log.info('retries.lacking', { service, from, entries: this.options.entries() })
    return !wasShared
  }

  #decide (account: RetryAccount): RetryDecision {
    const { basis } = account
    return { ...basis, permit: account.take(basis), entries: this.options.entries() }
  }

  #account (service: string): RetryAccount {
    const { bounds, entries, startedAt } = this.options
    const account = this.#accounts.get(service) ?? new RetryAccount(bounds, entries, startedAt)
    this.#accounts.set(service, account)
    return account
  }
}
