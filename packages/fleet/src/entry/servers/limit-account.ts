/**
 * What this entry may send to one rate-limited server: one that advertises how many requests per second it accepts from all
 * entries together.
 *
 * Limits are typically low. A server that took 15 requests per second from three entries advertises one per second. With 26
 * entries and 1.3 requests per second, an entry's share is one request in 20 s, but tokens expire within 4 s, as all entries
 * could otherwise save them up and send at the same moment. An entry therefore gives away at once what it doesn't need, and
 * other entries' tokens are granted to it as whole requests.
 */
import { DecayingSum, type QuotaBound, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs } from '../../clock.js'
import { EarnedTokens } from '../quotas/earned-tokens.js'

/** In any window of this length, a server may get one and a half times the requests that its limit allows, plus 5. */
const limitBound: QuotaBound = { windowMs: 4000, overage: 0.5, slack: 5 }
/** Half-life of the average of the demand. */
const demandHalfLifeMs = 500
/** Tokens for the demand of this time are kept in reserve. It is slightly longer than the interval between exchanges. */
const reserveMs = 300
/** Tolerance for rounding errors when fractions add up to a whole request. */
const roundingTolerance = 1e-6
/** Spare tokens of other entries arrive within this time. */
const exchangeMs = 50
/** After an exchange that brought too few tokens, further requests trigger no other exchange for this long. */
const shortageMs = 60
/** Bounds of the time after which a rejected caller is told to retry. */
const retryRange = { minMs: 100, maxMs: 5000 }

export class LimitAccount {
  readonly #tokens: EarnedTokens
  readonly #demand = new DecayingSum(demandHalfLifeMs)
  readonly #granted = new DecayingSum(demandHalfLifeMs)
  /** When the other entries granted fewer requests than were asked for; `undefined` once they have granted enough. */
  #shortageAt: number | undefined
  /** Number of requests that wait for the next exchange. */
  #waiting = 0

  /** `entries`: an upper bound of the number of entries. */
  constructor (private readonly limit: number, entries: () => number) {
    this.#tokens = new EarnedTokens({ perSecond: limit, burst: 0 }, () => limitBound, entries)
  }

  /** Counts a request that selected the server. */
  recordDemand (): void {
    this.#demand.add(1, boottimeMs())
  }

  /** Number of requests that may be sent now. */
  get ready (): number {
    this.#tokens.earn()
    return Math.floor(this.#tokens.total + roundingTolerance)
  }

  /** Whether other entries may have tokens to spare, so that an exchange makes sense now. */
  get canExchange (): boolean {
    return this.#shortageAt === undefined || boottimeMs() - this.#shortageAt >= shortageMs
  }

  /** Counts a request as waiting while the exchange runs, so that the exchange asks for its token. */
  async awaitExchange (exchange: () => Promise<unknown>): Promise<void> {
    this.#waiting += 1
    await exchange()
    this.#waiting -= 1
  }

  /** Takes the token for one request; `undefined` if there is none. */
  take (): TokenSlice[] | undefined {
    return this.#tokens.take(1 - roundingTolerance)
  }

  /** Adds tokens that were granted, or that belong to a request that was not sent. */
  deposit (slices: readonly TokenSlice[]): void {
    this.#tokens.addAll(slices)
  }

  /** How many requests this entry is short of. `queued`: requests in the queue that count towards this server. */
  wants (queued: number): number {
    return Math.max(0, this.#target(queued) - this.ready)
  }

  /** Takes the tokens that aren't needed here, including fractions of a request. */
  takeSurplus (queued: number): TokenSlice[] {
    const reserve = Math.min(this.ready, this.#target(queued))
    return this.#tokens.takeUpTo(Math.max(0, this.#tokens.total - reserve))
  }

  /** Adds what other entries granted of the `asked` requests. */
  granted (slices: readonly TokenSlice[], asked: number): void {
    this.deposit(slices)
    const now = boottimeMs()
    const received = slices.reduce((sum, { tokens }) => sum + tokens, 0)
    this.#granted.add(received, now)
    this.#shortageAt = received + roundingTolerance < asked ? now : undefined
  }

  /** Estimated time until one more request may be sent, from the recent grants. */
  get readyInMs (): number {
    if (this.ready > 0) return 0
    if (this.#shortageAt === undefined) return exchangeMs
    return Math.min(retryRange.maxMs, Math.max(retryRange.minMs, 1000 / this.perSecond))
  }

  /** Requests per second that this entry may send: the whole limit, while the other entries have tokens to spare. */
  get perSecond (): number {
    return this.#shortageAt === undefined ? this.limit : this.#tokens.ownRate + rateOf(this.#granted)
  }

  get lifetimeMs (): number {
    return this.#tokens.lifetimeMs
  }

  /**
   * How many requests this entry wants tokens for. At a low demand this keeps none in reserve for the next request: the token
   * would expire, and other entries may need it.
   */
  #target (queued: number): number {
    return this.#waiting + queued + Math.floor(rateOf(this.#demand) * reserveMs / 1000)
  }
}

/** Requests per second. */
const rateOf = (sum: DecayingSum): number => sum.at(boottimeMs()) * Math.LN2 / demandHalfLifeMs * 1000
