/**
 * What this entry may still send to one server that names how many requests a second it takes from all entries together.
 *
 * Load pattern: a server that took 15 requests a second from three entries takes one. Small figures rule: at 1.3 a second the
 * share of one of 26 entries is one request in 20 s, and tokens lapse within 4 s, or all entries could save up for one moment. So
 * whatever is not wanted here goes to the others at once, and what comes back are whole requests.
 */
import { DecayingSum, type QuotaBound, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs } from '../clock.js'
import { EarnedTokens } from './earned-tokens.js'

/** What a server may get: in any such time one and a half times what its limit allows, and 5 requests. */
const limitBound: QuotaBound = { windowMs: 4000, overage: 0.5, slack: 5 }
/** Over which demand is averaged. */
const demandHalfLifeMs = 500
/** Requests of so long a time are kept at hand, a little more than from one exchange to the next. */
const keptMs = 300
/** What a sum of parts may lack of a whole request by rounding. */
const rounding = 1e-6
/** Requests that others have at hand are here within so long. */
const exchangedMs = 50
/** Where others had too few, they are not asked again at once by each request. */
const shortMs = 60
/** When a refused caller should come back, whatever the sums say. */
const retrySpan = { leastMs: 100, mostMs: 5000 }

export class LimitAccount {
  readonly #tokens: EarnedTokens
  readonly #demand = new DecayingSum(demandHalfLifeMs)
  readonly #granted = new DecayingSum(demandHalfLifeMs)
  /** When others last had fewer than were asked for; `undefined` where they have had enough since. */
  #shortAt: number | undefined
  /** Requests that wait for the next exchange. */
  #asking = 0

  /** `entries`: the most that may exist. */
  constructor (private readonly limit: number, entries: () => number) {
    this.#tokens = new EarnedTokens({ perSecond: limit, burst: 0 }, () => limitBound, entries)
  }

  /** A request would go there. */
  demand (): void {
    this.#demand.add(1, boottimeMs())
  }

  /** Whole requests that may be sent now. */
  get ready (): number {
    this.#tokens.earn()
    return Math.floor(this.#tokens.total + rounding)
  }

  /** Whether it is of use to ask others now. */
  get askable (): boolean {
    return this.#shortAt === undefined || boottimeMs() - this.#shortAt >= shortMs
  }

  /** One request waits for `exchanged`, which it is counted in. */
  async asking (exchanged: () => Promise<unknown>): Promise<void> {
    this.#asking += 1
    await exchanged()
    this.#asking -= 1
  }

  /** One request is being sent; `undefined` where it may not be. */
  take (): TokenSlice[] | undefined {
    return this.#tokens.take(1 - rounding)
  }

  /** It was not sent. */
  give (slices: readonly TokenSlice[]): void {
    this.#tokens.give(slices)
  }

  /** How many whole requests it lacks, `waiting` of which wait for any server of the service. */
  wants (waiting: number): number {
    return Math.max(0, this.#wanted(waiting) - this.ready)
  }

  /** What is not wanted here, and parts of a request. */
  takeSurplus (waiting: number): TokenSlice[] {
    const kept = Math.min(this.ready, this.#wanted(waiting))
    return this.#tokens.takeUpTo(Math.max(0, this.#tokens.total - kept))
  }

  /** Others gave `slices` of the `asked` whole requests. */
  granted (slices: readonly TokenSlice[], asked: number): void {
    this.give(slices)
    const now = boottimeMs()
    const came = slices.reduce((sum, { tokens }) => sum + tokens, 0)
    this.#granted.add(came, now)
    this.#shortAt = came + rounding < asked ? now : undefined
  }

  /** Until one more request may be sent, by what came of late. */
  get readyInMs (): number {
    if (this.ready > 0) return 0
    if (this.#shortAt === undefined) return exchangedMs
    return Math.min(retrySpan.mostMs, Math.max(retrySpan.leastMs, 1000 / this.perSecond))
  }

  /** Requests a second that this entry may send: all that the limit allows while the others have some to spare. */
  get perSecond (): number {
    return this.#shortAt === undefined ? this.limit : this.#tokens.ownRate + rateOf(this.#granted)
  }

  get lifeMs (): number {
    return this.#tokens.lifeMs
  }

  /** Where requests come seldom, none is kept for the next one: it would lapse, and others lack it meanwhile. */
  #wanted (waiting: number): number {
    return this.#asking + waiting + Math.floor(rateOf(this.#demand) * keptMs / 1000)
  }
}

/** Requests a second. */
const rateOf = (sum: DecayingSum): number => sum.at(boottimeMs()) * Math.LN2 / demandHalfLifeMs * 1000
