/**
 * The tokens of one rate limit that this entry may spend: those that it earns as its share of the limit, and those that other
 * entries transferred to it.
 *
 * All entries together have the limit, and each earns an equal share of it, divided by an upper bound of the number of entries.
 * Entries need no agreement, since each token is earned once, is transferred with its age, and expires. A lost message only
 * loses tokens, and an entry without contact to the others still has its share.
 */
import { ExpiringTokens, earnedPerSecond, tokenLifetimeMs, type QuotaBound, type QuotaRate, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs, suspendedMs } from '../../clock.js'

/** Tokens are earned in steps of this length, and dated at the start of the step. */
const earnStepMs = 100

export class EarnedTokens {
  readonly #stock = new ExpiringTokens()
  #rate: QuotaRate
  #earnedAt = boottimeMs()
  /** Total time that the machine was suspended, as last read. */
  #lastSuspendedMs = suspendedMs()

  /** `entries`: an upper bound of the number of entries. */
  constructor (rate: QuotaRate, private readonly bound: () => QuotaBound, private readonly entries: () => number) {
    this.#rate = rate
  }

  /** Tokens earned at the previous rate stay valid until they expire. */
  setRate (rate: QuotaRate): void {
    if (rate === this.#rate) return
    this.earn()
    this.#rate = rate
  }

  /** Tokens that may be spent now, without those earned since the last call of `earn`. */
  get total (): number {
    return this.#stock.total(this.expiryCutoff)
  }

  /** Takes exactly `tokens`, or none if there are fewer. */
  take (tokens: number): TokenSlice[] | undefined {
    this.earn()
    return this.#stock.take(tokens, this.expiryCutoff)
  }

  /** Takes `tokens`, or as many as there are, the oldest first. */
  takeUpTo (tokens: number): TokenSlice[] {
    return this.#stock.takeUpTo(tokens, this.expiryCutoff)
  }

  addAll (slices: readonly TokenSlice[]): void {
    this.#stock.addAll(slices)
  }

  /** Tokens per second that this entry earns. */
  get ownRate (): number {
    return earnedPerSecond(this.#rate, this.bound()) / this.entries()
  }

  /** How long a token may be spent after it was earned. */
  get lifetimeMs (): number {
    return tokenLifetimeMs(this.#rate, this.bound())
  }

  /** Tokens earned before this time have expired. */
  get expiryCutoff (): number {
    return boottimeMs() - this.lifetimeMs
  }

  /** Adds the tokens earned since the last call. */
  earn (): void {
    const now = boottimeMs()
    this.#skipSuspension(now)
    const perMs = this.ownRate / 1000
    let from = Math.max(this.#earnedAt, this.expiryCutoff)
    while (from < now) {
      const until = Math.min(now, from + earnStepMs)
      this.#stock.add((until - from) * perMs, from)
      from = until
    }
    this.#earnedAt = now
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
