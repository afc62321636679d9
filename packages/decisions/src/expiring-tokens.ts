/**
 * Quota tokens by the time at which they were earned. A token may only be spent within a fixed lifetime, also after it has been
 * passed to another process.
 *
 * Whatever is spent in a window was therefore earned in that window or at most one lifetime before it. That bounds the spending in
 * any window to the rate times the sum of window and lifetime, however many processes hold tokens and whichever of them are
 * connected.
 */

/** Tokens that were earned at about the same time. */
export interface TokenSlice {
  tokens: number
  /** When the oldest of the tokens was earned, on the boot-time clock of the process that holds them. */
  earnedAt: number
}

/** Never negative: a slice may be earned between the caller's reading of the clock and this call. */
export const sliceAgeMs = ({ earnedAt }: TokenSlice, now: number): number => Math.max(0, now - earnedAt)

export const totalTokens = (slices: readonly TokenSlice[]): number => slices.reduce((sum, slice) => sum + slice.tokens, 0)

/**
 * Tokens that were earned within the same interval of this length form one slice, dated when the oldest of them was earned. That
 * bounds the number of slices, to 41 for the longest lifetime, from whichever processes the tokens come. A slice that was dated at the
 * start of the interval instead lost up to this much of its lifetime in each process that it passed through: three times 100 ms of
 * 930 ms, where tokens are given away at an age of 500 ms and more.
 */
export const defaultSliceMs = 100

export class ExpiringTokens {
  /** The oldest first. */
  #slices: TokenSlice[] = []
  /**
   * Tokens of all slices but the last, added up from the oldest; `undefined` if one of these slices has changed. Tokens are mostly
   * added to the last slice or behind it. The sum is rounded like one from scratch, as it adds in the same order.
   */
  #tokensBeforeLast: number | undefined = 0

  /** `sliceMs`: shorter than the default for tokens of a short lifetime. */
  constructor (private readonly sliceMs = defaultSliceMs) {}

  add (tokens: number, earnedAt: number): void {
    if (tokens <= 0) return
    const interval = this.#intervalOf(earnedAt)
    let index = this.#slices.length
    while (index > 0 && this.#intervalOf(this.#slices[index - 1]?.earnedAt ?? -Infinity) > interval) index -= 1
    const previous = this.#slices[index - 1]
    if (previous === undefined || this.#intervalOf(previous.earnedAt) < interval) {
      this.#insert(index, { tokens, earnedAt })
      return
    }
    previous.tokens += tokens
    previous.earnedAt = Math.min(previous.earnedAt, earnedAt)
    if (index < this.#slices.length) this.#tokensBeforeLast = undefined
  }

  addAll (slices: readonly TokenSlice[]): void {
    for (const { tokens, earnedAt } of slices) this.add(tokens, earnedAt)
  }

  /** The number of tokens that were earned at `since` or later; older ones are dropped. */
  total (since: number): number {
    this.#dropExpired(since)
    const last = this.#slices[this.#slices.length - 1]
    if (last === undefined) return 0
    this.#tokensBeforeLast ??= totalTokens(this.#slices.slice(0, -1))
    return this.#tokensBeforeLast + last.tokens
  }

  /** Takes exactly `tokens`, the oldest first; takes none and returns `undefined` if there are fewer. */
  take (tokens: number, since: number): TokenSlice[] | undefined {
    return this.total(since) < tokens ? undefined : this.takeUpTo(tokens, since)
  }

  /** Takes `tokens`, or as many as there are, the oldest first. */
  takeUpTo (tokens: number, since: number): TokenSlice[] {
    this.#dropExpired(since)
    const taken: TokenSlice[] = []
    let missing = tokens
    for (let slice = this.#slices[0]; slice !== undefined && missing > 0; slice = this.#slices[0]) {
      const amount = Math.min(missing, slice.tokens)
      taken.push({ tokens: amount, earnedAt: slice.earnedAt })
      slice.tokens -= amount
      missing -= amount
      if (slice.tokens <= 0) this.#slices.shift()
    }
    if (taken.length > 0) this.#handleRemoval()
    return taken
  }

  #insert (index: number, slice: TokenSlice): void {
    if (index < this.#slices.length) {
      this.#slices.splice(index, 0, slice)
      this.#tokensBeforeLast = undefined
      return
    }
    if (this.#tokensBeforeLast !== undefined) this.#tokensBeforeLast += this.#slices[index - 1]?.tokens ?? 0
    this.#slices.push(slice)
  }

  #handleRemoval (): void {
    this.#tokensBeforeLast = this.#slices.length <= 1 ? 0 : undefined
  }

  #intervalOf (earnedAt: number): number {
    return Math.floor(earnedAt / this.sliceMs)
  }

  #dropExpired (since: number): void {
    if ((this.#slices[0]?.earnedAt ?? Infinity) >= since) return
    while ((this.#slices[0]?.earnedAt ?? Infinity) < since) this.#slices.shift()
    this.#handleRemoval()
  }
}

export interface QuotaRate {
  /** Tokens per second. */
  perSecond: number
  /** Tokens that may be spent at once beyond the rate. */
  burst: number
}

/** Limits the spending in any window to (rate x window + burst) x (1 + overage) + slack. */
export interface QuotaBound {
  windowMs: number
  overage: number
  slack: number
}

/**
 * Share of the longest lifetime allowed by the bound that is used. The rest is a margin for rates that were divided among too few
 * entry processes: at the rates seen (burst of one second, slack of half a second to four), about a tenth more of them may exist
 * than are known.
 */
const lifetimeShare = 0.6
/**
 * Share of what the bound leaves that all entries together may spend at once after a start. A process can't know what its
 * previous incarnation spent, so this comes out of the margin. With a tenth, restarts of all entries in a row could exceed the
 * bound.
 */
const initialCreditShare = 0.07
/** A quota with much slack would let old tokens pile up, and a team gains nothing from a burst saved up for longer. */
const maxLifetimeMs = 4000

/** Two exchanges between entry processes: tokens with a shorter lifetime would expire before they reach those that need them. */
const minLifetimeMs = 500

const maxInWindow = ({ perSecond, burst }: QuotaRate, { windowMs, overage, slack }: QuotaBound): number =>
  (perSecond * windowMs / 1000 + burst) * (1 + overage) + slack

/** What the bound leaves beyond the rate, as time in which it is earned; 0 if nothing is earned. */
const spareMs = (rate: QuotaRate, bound: QuotaBound): number => rate.perSecond === 0 ? 0 : maxInWindow(rate, bound) / rate.perSecond * 1000 - bound.windowMs

/** How long a token may be spent after it was earned, so that no window exceeds the bound. */
export const tokenLifetimeMs = (rate: QuotaRate, bound: QuotaBound): number =>
  Math.max(minLifetimeMs, Math.min(maxLifetimeMs, spareMs(rate, bound) * lifetimeShare))

/** Tokens earned per second: the rate of the quota, or less where the bound doesn't leave even the shortest lifetime. */
export const earnedPerSecond = (rate: QuotaRate, bound: QuotaBound): number =>
  Math.min(rate.perSecond, maxInWindow(rate, bound) / (bound.windowMs + tokenLifetimeMs(rate, bound)) * 1000)

/** Tokens that all entries together may spend after a start, in addition to those that they earn. */
export const initialCredit = (rate: QuotaRate, bound: QuotaBound): number =>
  rate.perSecond / 1000 * Math.max(0, spareMs(rate, bound)) * initialCreditShare
