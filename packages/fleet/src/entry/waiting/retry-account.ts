/**
 * The retries of one service that this entry may make: those that its own first attempts earn, and its part of the fixed slack that
 * all entries share.
 *
 * The slack is earned as tokens at a constant rate, like a team's quota: each token is earned once and expires. So no window exceeds
 * the budget although an entry that restarts does not know what its previous incarnation has spent: it starts without tokens. When
 * each entry had its share of the slack in any window, four incarnations of an entry spent four shares in one window.
 */
import { RetryWindow, totalTokens, type QuotaBound, type QuotaRate, type TokenSlice } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import type { Limits } from '../../ports.js'
import { EarnedTokens } from '../quotas/earned-tokens.js'

/** What all entries together may spend on retries of a service's requests, in any window. */
export type RetryBounds = Pick<Limits, 'retryRatio' | 'retrySlack' | 'retryWindowMs'>

/** Share of the ratio that is used, as requests are counted slightly differently at the receiving end. */
const usedRatio = 0.8
/** Share of the slack that may be spent on top of what is earned within the window: tokens saved up before it. */
const savedShare = 0.25
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
  readonly #tokens: EarnedTokens
  #slack: Slack

  /** `entries`: an upper bound of the number of entries. `startedAt`: when this process started, on the boot-time clock. */
  constructor (private readonly bounds: () => RetryBounds, entries: () => number, startedAt: number) {
    this.#slack = slackOf(bounds())
    this.#tokens = new EarnedTokens(this.#slack.rate, () => this.#slack.bound, entries, { startedAt })
  }

  recordFirstAttempt (): void {
    this.#window.recordFirstAttempt(nowMs(), this.bounds().retryWindowMs)
  }

  get basis (): RetryBasis {
    const { retryRatio, retryWindowMs } = this.bounds()
    const now = nowMs()
    this.#earn()
    return {
      firstAttempts: this.#window.firstAttempts(now, retryWindowMs),
      ratioCredit: this.#window.credit(now, { ratio: retryRatio * usedRatio, windowMs: retryWindowMs }),
      tokens: this.#tokens.total
    }
  }

  /** Takes one retry; `undefined` if none is left. Tokens are spent first, since they expire sooner than what first attempts earn. */
  take ({ ratioCredit, tokens }: RetryBasis): RetryPermit | undefined {
    if (ratioCredit + tokens < 1 - roundingTolerance) return undefined
    const slices = this.#tokens.takeUpTo(1)
    const ratioPart = Math.max(0, 1 - totalTokens(slices))
    this.#window.recordRetries(ratioPart, nowMs(), this.bounds().retryWindowMs)
    return { ratioPart, slices }
  }

  /** Takes back the permit of a retry that was not sent. */
  release ({ ratioPart, slices }: RetryPermit): void {
    this.#tokens.addAll(slices)
    this.#window.recordRetries(-ratioPart, nowMs(), this.bounds().retryWindowMs)
  }

  #earn (): void {
    const bounds = this.bounds()
    if (bounds !== this.#slack.bounds) this.#slack = slackOf(bounds)
    this.#tokens.setRate(this.#slack.rate)
    this.#tokens.earn()
  }
}

/** The slack as a rate of tokens, with the bound that follows from it for any window. */
interface Slack {
  bounds: RetryBounds
  rate: QuotaRate
  bound: QuotaBound
}

const slackOf = (bounds: RetryBounds): Slack => {
  const { retrySlack, retryWindowMs } = bounds
  const saved = retrySlack * savedShare
  return { bounds, rate: { perSecond: (retrySlack - saved) / retryWindowMs * 1000, burst: 0 }, bound: { windowMs: retryWindowMs, overage: 0, slack: saved } }
}
