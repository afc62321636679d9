/**
 * The tokens of one rate limit that this entry may spend: those that it earns as its share of the limit, and those that other
 * entries transferred to it.
 *
 * All entries together have the limit, and each earns an equal share of it, divided by an upper bound of the number of entries.
 * Entries need no agreement, since each token is earned once, is transferred with its age, and expires. A lost message only
 * loses tokens, and an entry without contact to the others still has its share.
 */
import { ExpiringTokens, defaultSliceMs, earnedPerSecond, initialCredit, tokenLifetimeMs, type QuotaBound, type QuotaRate, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs, suspendedMs } from '../../clock.js'

/**
 * The initial credit is earned evenly over this time after a start. An entry that restarts more often gets less of it at each
 * start, so that restarts in a row don't add up to several credits at once.
 */
const creditMs = 500

/** How tokens are earned, where that differs from the default. */
export interface EarnOptions {
  /**
   * When this process started, if the limit may have been in force since then; the entry then has the tokens earned since that
   * time, and the initial credit. Its previous incarnation had ended by then, so no token is earned twice.
   */
  startedAt?: number | undefined
  /** Tokens are earned in steps of this length, and dated at the start of the step. */
  sliceMs?: number
  /** How long a token may be spent after it was earned; by default what the bound allows. */
  lifetimeMs?: () => number
}

/** What follows from the rate and the bound, which rarely change. */
interface Earnings {
  rate: QuotaRate
  bound: QuotaBound
  perSecond: number
  lifetimeMs: number
  initialCredit: number
}

const isSameBound = (a: QuotaBound, b: QuotaBound): boolean =>
  a === b || (a.windowMs === b.windowMs && a.overage === b.overage && a.slack === b.slack)

const earningsOf = (rate: QuotaRate, bound: QuotaBound): Earnings =>
  ({ rate, bound, perSecond: earnedPerSecond(rate, bound), lifetimeMs: tokenLifetimeMs(rate, bound), initialCredit: initialCredit(rate, bound) })

export class EarnedTokens {
  readonly #stock: ExpiringTokens
  readonly #sliceMs: number
  readonly #fixedLifetimeMs: (() => number) | undefined
  readonly #startedAt: number | undefined
  #rate: QuotaRate
  #earnedAt: number
  #knownEarnings: Earnings | undefined
  /** Total time that the machine was suspended, as last read. */
  #lastSuspendedMs = suspendedMs()

  /** `entries`: an upper bound of the number of entries. */
  constructor (rate: QuotaRate, private readonly bound: () => QuotaBound, private readonly entries: () => number, { startedAt, sliceMs = defaultSliceMs, lifetimeMs }: EarnOptions = {}) {
    this.#rate = rate
    this.#sliceMs = sliceMs
    this.#fixedLifetimeMs = lifetimeMs
    this.#stock = new ExpiringTokens(sliceMs)
    this.#startedAt = startedAt
    this.#earnedAt = startedAt ?? boottimeMs()
  }

  /** Tokens earned at the previous rate stay valid until they expire. */
  setRate (rate: QuotaRate): void {
    if (rate === this.#rate) return
    this.earn()
    this.#rate = rate
  }

  /** Tokens that may be spent now, without those earned since the last call of `earn`. */
  get total (): number {
    return this.totalAt(boottimeMs())
  }

  /** The same at `now`, a time that has just been read. */
  totalAt (now: number): number {
    return this.#stock.total(this.expiryCutoffAt(now))
  }

  /** Takes exactly `tokens`, or none if there are fewer. */
  take (tokens: number, now = boottimeMs()): TokenSlice[] | undefined {
    this.earn(now)
    return this.#stock.take(tokens, this.expiryCutoffAt(now))
  }

  /** Takes `tokens`, or as many as there are, the oldest first. */
  takeUpTo (tokens: number, now = boottimeMs()): TokenSlice[] {
    return this.#stock.takeUpTo(tokens, this.expiryCutoffAt(now))
  }

  addAll (slices: readonly TokenSlice[]): void {
    this.#stock.addAll(slices)
  }

  /** Tokens per second that this entry earns. */
  get ownRate (): number {
    return this.#earnings.perSecond / this.entries()
  }

  /** How long a token may be spent after it was earned. */
  get lifetimeMs (): number {
    return this.#fixedLifetimeMs?.() ?? this.#earnings.lifetimeMs
  }

  /** Tokens earned before this time have expired. */
  get expiryCutoff (): number {
    return this.expiryCutoffAt(boottimeMs())
  }

  expiryCutoffAt (now: number): number {
    return now - this.lifetimeMs
  }

  /** Adds the tokens earned since the last call. */
  earn (now = boottimeMs()): void {
    if (now <= this.#earnedAt) return
    this.#skipSuspension(now)
    const perMs = this.ownRate / 1000
    let from = Math.max(this.#earnedAt, this.expiryCutoffAt(now))
    while (from < now) {
      const until = Math.min(now, from + this.#sliceMs)
      this.#stock.add((until - from) * perMs + this.#creditBetween(from, until), from)
      from = until
    }
    this.#earnedAt = now
  }

  #creditBetween (from: number, until: number): number {
    if (this.#startedAt === undefined) return 0
    const ms = Math.min(until, this.#startedAt + creditMs) - from
    return ms <= 0 ? 0 : this.#earnings.initialCredit / this.entries() * ms / creditMs
  }

  get #earnings (): Earnings {
    const bound = this.bound()
    const known = this.#knownEarnings
    if (known?.rate === this.#rate && isSameBound(known.bound, bound)) return known
    this.#knownEarnings = earningsOf(this.#rate, bound)
    return this.#knownEarnings
  }

  /**
   * Earns nothing for the time that the machine was suspended. A wall clock that is set forward can't be told from a
   * suspension, and would earn the same tokens twice.
   */
  #skipSuspension (now: number): void {
    const suspended = suspendedMs()
    if (suspended > this.#lastSuspendedMs) this.#earnedAt = now
    this.#lastSuspendedMs = suspended
  }
}
