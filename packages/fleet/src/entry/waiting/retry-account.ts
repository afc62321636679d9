/**
 * The retries of one service that this entry may make: those that its own first attempts earn, and its part of the fixed slack that
 * all entries share.
 *
 * The slack is earned as tokens at a constant rate, like a team's quota: each token is earned once and expires. So no window exceeds
 * the budget although an entry that restarts does not know what its previous incarnation has spent: it starts without tokens.
 *
 * While other entries lack retries, this one gives what it doesn't need: tokens of the slack, and what its first attempts have earned.
 */
import { DecayingSum, RetryWindow, totalTokens, type QuotaBound, type QuotaRate, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs, nowMs } from '../../clock.js'
import type { Limits } from '../../ports.js'
import { EarnedTokens } from '../quotas/earned-tokens.js'

/** What all entries together may spend on retries of a service's requests, in any window. */
export type RetryBounds = Pick<Limits, 'retryRatio' | 'retrySlack' | 'retryWindowMs'>

/** Share of the ratio that is used, as requests are counted slightly differently at the receiving end. */
const usedRatio = 0.8
/**
 * Retries are limited to the ratio also over this part of the window. An entry that restarts forgets that it has spent what earlier
 * requests had earned, which adds what is earned in this part to the retries of a whole window.
 */
const recentShare = 0.2
/** Share of the slack that is used. The rest covers entries that are not counted yet, and retries that links delay. */
const usedSlack = 0.9
/** Share of the used slack that may be saved up before a window, for short failures. The rest is earned within the window. */
const savedShare = 1 / 2
/** Half-life of the average of the demand. */
const demandHalfLifeMs = 500
/** Retries for the demand of this time are kept in reserve. It is slightly longer than the interval between exchanges. */
const reserveMs = 300
/** After an exchange that brought too few tokens, requests trigger no other exchange for this long. */
const shortageMs = 250
/** Tokens are exchanged for this long after this entry, or another one, lacked some. */
const sharingMs = 5000
/** Retries earned by first attempts are given with this lifetime, so that they are spent in nearly the same window. */
const givenLifetimeMs = 1000
/** Share of the retries earned by first attempts that may be given at a time. */
const givenShare = 0.5
/** Tolerance for rounding errors when fractions add up to a whole retry. */
const roundingTolerance = 1e-6

/** A retry that the budget allows, and what it was charged to. */
export interface RetryPermit {
  /** The part that was charged to this entry's first attempts; the tokens pay for the rest. */
  ratioPart: number
  slices: TokenSlice[]
}

/** What a decision on a retry is based on. */
export interface RetryBasis {
  /** First attempts of this entry in the window. */
  firstAttempts: number
  /** Retries that these still allow. */
  ratioCredit: number
  /** Tokens of the slack at this entry. */
  tokens: number
}

export class RetryAccount {
  readonly #window = new RetryWindow()
  readonly #recent = new RetryWindow()
  readonly #tokens: EarnedTokens
  readonly #demand = new DecayingSum(demandHalfLifeMs)
  #slack: Slack
  /** Number of requests that wait for the next exchange. */
  #waiting = 0
  /** Retries that other entries lack, by the last answer. */
  #lacking = 0
  #shortageAt = -Infinity
  #demandAt = -Infinity
  #sharedUntil = -Infinity

  /** `entries`: an upper bound of the number of entries. `startedAt`: when this process started, on the boot-time clock. */
  constructor (private readonly bounds: () => RetryBounds, private readonly entries: () => number, startedAt: number) {
    this.#slack = slackOf(bounds())
    this.#tokens = new EarnedTokens(this.#slack.rate, () => this.#slack.bound, entries, { startedAt, lifetimeMs: () => this.#slack.lifetimeMs })
  }

  recordFirstAttempt (): void {
    const now = nowMs()
    this.#window.recordFirstAttempt(now, this.bounds().retryWindowMs)
    this.#recent.recordFirstAttempt(now, this.#recentMs)
  }

  /** Counts a request that is to be retried. */
  recordDemand (): void {
    this.#demandAt = boottimeMs()
    this.#demand.add(1, this.#demandAt)
  }

  /** This entry, or another one, lacks retries. */
  recordLack (): void {
    this.#sharedUntil = boottimeMs() + sharingMs
  }

  /** Whether tokens are exchanged. */
  get isShared (): boolean {
    return boottimeMs() < this.#sharedUntil
  }

  /** Whether other entries may have tokens to spare, so that an exchange makes sense now. */
  get canExchange (): boolean {
    return boottimeMs() - this.#shortageAt >= shortageMs
  }

  /** Counts a request as waiting while the exchange runs, so that the exchange asks for its token. */
  async awaitExchange (exchange: () => Promise<unknown>): Promise<void> {
    this.#waiting += 1
    await exchange()
    this.#waiting -= 1
  }

  get basis (): RetryBasis {
    const { retryRatio, retryWindowMs } = this.bounds()
    const ratio = retryRatio * usedRatio
    const now = nowMs()
    this.#earn()
    return {
      firstAttempts: this.#window.firstAttempts(now, retryWindowMs),
      ratioCredit: Math.min(this.#window.credit(now, { ratio, windowMs: retryWindowMs }), this.#recent.credit(now, { ratio, windowMs: this.#recentMs })),
      tokens: this.#tokens.total
    }
  }

  /** Takes one retry; `undefined` if none is left. Tokens are spent first, since they expire sooner than what first attempts earn. */
  take ({ ratioCredit, tokens }: RetryBasis): RetryPermit | undefined {
    if (ratioCredit + tokens < 1 - roundingTolerance) return undefined
    const slices = this.#tokens.takeUpTo(1)
    const ratioPart = Math.max(0, 1 - totalTokens(slices))
    this.#chargeRatio(ratioPart)
    return { ratioPart, slices }
  }

  /** Takes back the permit of a retry that was not sent. */
  release ({ ratioPart, slices }: RetryPermit): void {
    this.#tokens.addAll(slices)
    this.#chargeRatio(-ratioPart)
  }

  /** How many retries this entry lacks. */
  get wants (): number {
    const { ratioCredit, tokens } = this.basis
    return Math.max(0, this.#target - ratioCredit - tokens)
  }

  /**
   * Takes what others lack and this entry doesn't need: all spare tokens, which would expire soon, and, where no attempts fail, a part
   * of what its first attempts have earned.
   */
  takeSpare (): TokenSlice[] {
    if (this.#lacking === 0) return []
    const { ratioCredit, tokens } = this.basis
    const slices = this.#tokens.takeUpTo(Math.max(0, Math.min(tokens, tokens + ratioCredit - this.#target)))
    if (boottimeMs() - this.#demandAt < sharingMs) return slices
    const given = Math.min(this.#lacking, ratioCredit * givenShare)
    this.#chargeRatio(given)
    return [...slices, { tokens: given, earnedAt: boottimeMs() - this.lifetimeMs + givenLifetimeMs }]
  }

  /** Adds tokens that other entries granted of the `wanted` ones. `lacking`: retries that others lack. */
  granted (slices: readonly TokenSlice[], wanted: number, lacking: number): void {
    this.#tokens.addAll(slices)
    this.#lacking = lacking
    if (lacking > 0) this.recordLack()
    if (totalTokens(slices) + roundingTolerance < wanted) this.#shortageAt = boottimeMs()
  }

  /** How long a token may be spent after it was earned. */
  get lifetimeMs (): number {
    return this.#tokens.lifetimeMs
  }

  /** Retries for the requests that wait, and for the demand until the next exchange. */
  get #target (): number {
    return this.#waiting + Math.floor(this.#demand.at(boottimeMs()) * Math.LN2 / demandHalfLifeMs * reserveMs)
  }

  get #recentMs (): number {
    return this.bounds().retryWindowMs * recentShare
  }

  #chargeRatio (retries: number): void {
    const now = nowMs()
    this.#window.recordRetries(retries, now, this.bounds().retryWindowMs)
    this.#recent.recordRetries(retries, now, this.#recentMs)
  }

  #earn (): void {
    const bounds = this.bounds()
    if (bounds !== this.#slack.bounds) this.#slack = slackOf(bounds)
    this.#tokens.setRate(this.#slack.rate)
    this.#tokens.earn()
  }
}

/** The slack as a rate of tokens and their lifetime: what is earned in any window and one lifetime before is the part that is used. */
interface Slack {
  bounds: RetryBounds
  rate: QuotaRate
  bound: QuotaBound
  lifetimeMs: number
}

const slackOf = (bounds: RetryBounds): Slack => {
  const { retrySlack, retryWindowMs } = bounds
  const saved = retrySlack * usedSlack * savedShare
  const earned = retrySlack * usedSlack - saved
  return {
    bounds,
    rate: { perSecond: earned / retryWindowMs * 1000, burst: 0 },
    bound: { windowMs: retryWindowMs, overage: 0, slack: saved },
    lifetimeMs: retryWindowMs * savedShare / (1 - savedShare)
  }
}
