/**
 * Tokens that one entry earns as its share of a rate that all entries have together, and those that others passed on to it.
 *
 * Each entry earns an equal share, by the most entries that may exist. A token is earned once, moves with its age and lapses, so
 * nothing has to be agreed on: a lost message loses tokens, and an entry out of touch still has its share.
 */
import { ExpiringTokens, earnedPerSecond, tokenLifetimeMs, type QuotaBound, type QuotaRate, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs, suspendedMs } from '../clock.js'

/** Earned tokens are dated in steps, each as old as its start. */
const earnStepMs = 100

export class EarnedTokens {
  readonly #stock = new ExpiringTokens()
  #rate: QuotaRate
  #earnedAt = boottimeMs()
  #sleptMs = suspendedMs()

  /** `entries`: the most that may exist. */
  constructor (rate: QuotaRate, private readonly bound: () => QuotaBound, private readonly entries: () => number) {
    this.#rate = rate
  }

  /** What was earned before lapses soon. */
  setRate (rate: QuotaRate): void {
    if (rate === this.#rate) return
    this.earn()
    this.#rate = rate
  }

  /** What can be spent now. */
  get total (): number {
    return this.#stock.total(this.since)
  }

  /** So many; none where there are fewer. */
  take (tokens: number): TokenSlice[] | undefined {
    this.earn()
    return this.#stock.take(tokens, this.since)
  }

  /** So many or what there is, the oldest first. */
  takeUpTo (tokens: number): TokenSlice[] {
    return this.#stock.takeUpTo(tokens, this.since)
  }

  give (slices: readonly TokenSlice[]): void {
    this.#stock.addAll(slices)
  }

  /** Tokens a second that this entry earns. */
  get ownRate (): number {
    return earnedPerSecond(this.#rate, this.bound()) / this.entries()
  }

  /** How long a token may be spent. */
  get lifeMs (): number {
    return tokenLifetimeMs(this.#rate, this.bound())
  }

  /** Tokens that were earned earlier have lapsed. */
  get since (): number {
    return boottimeMs() - this.lifeMs
  }

  earn (): void {
    const now = boottimeMs()
    this.#skipSleep(now)
    const perMs = this.ownRate / 1000
    let from = Math.max(this.#earnedAt, this.since)
    while (from < now) {
      const until = Math.min(now, from + earnStepMs)
      this.#stock.add((until - from) * perMs, from)
      from = until
    }
    this.#earnedAt = now
  }

  /** A time of day that was set ahead looks like a sleep of the machine, and would earn the same tokens twice. */
  #skipSleep (now: number): void {
    const slept = suspendedMs()
    if (slept > this.#sleptMs) this.#earnedAt = now
    this.#sleptMs = slept
  }
}
