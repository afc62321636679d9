/**
 * Tokens of a quota by when they were earned. Each may be spent for a while only, wherever it went in between.
 *
 * So whatever is spent in a window was earned in that window or up to one life before it: at most the rate times the window
 * and the life, however many processes hold tokens and whoever hears whom.
 */
export interface TokenSlice {
  tokens: number
  /** On the holder's elapsed clock; the oldest of its tokens. */
  earnedAt: number
}

/** Never below 0: a slice may be earned between the moment looked at and the look. */
export const ageOf = ({ earnedAt }: TokenSlice, now: number): number => Math.max(0, now - earnedAt)

export const tokensIn = (slices: readonly TokenSlice[]): number => slices.reduce((sum, slice) => sum + slice.tokens, 0)

/**
 * Tokens of one such step are kept as one slice, all as old as its start. It bounds the slices that a stock has, 40 for the
 * longest life, wherever its tokens come from, and costs a token at most this much of its life in each stock.
 */
const sliceMs = 100

export class TokenStock {
  /** The oldest first. */
  #slices: TokenSlice[] = []

  add (tokens: number, earnedAt: number): void {
    if (tokens <= 0) return
    const step = Math.floor(earnedAt / sliceMs) * sliceMs
    let at = this.#slices.length
    while (at > 0 && (this.#slices[at - 1]?.earnedAt ?? -Infinity) > step) at -= 1
    const before = this.#slices[at - 1]
    if (before?.earnedAt === step) before.tokens += tokens
    else this.#slices.splice(at, 0, { tokens, earnedAt: step })
  }

  addAll (slices: readonly TokenSlice[]): void {
    for (const { tokens, earnedAt } of slices) this.add(tokens, earnedAt)
  }

  /** What can still be spent of what was earned since `since`. */
  total (since: number): number {
    this.#drop(since)
    return tokensIn(this.#slices)
  }

  /** So many tokens, the oldest first; none where there are fewer. */
  take (tokens: number, since: number): TokenSlice[] | undefined {
    return this.total(since) < tokens ? undefined : this.takeUpTo(tokens, since)
  }

  /** So many tokens or what there is, the oldest first. */
  takeUpTo (tokens: number, since: number): TokenSlice[] {
    this.#drop(since)
    const taken: TokenSlice[] = []
    let left = tokens
    for (let slice = this.#slices[0]; slice !== undefined && left > 0; slice = this.#slices[0]) {
      const part = Math.min(left, slice.tokens)
      taken.push({ tokens: part, earnedAt: slice.earnedAt })
      slice.tokens -= part
      left -= part
      if (slice.tokens <= 0) this.#slices.shift()
    }
    return taken
  }

  #drop (since: number): void {
    while ((this.#slices[0]?.earnedAt ?? Infinity) < since) this.#slices.shift()
  }
}

export interface QuotaRate {
  /** Tokens a second. */
  perSecond: number
  /** Tokens on top, at once. */
  burst: number
}

/** What may be spent in any window: (rate x window + burst) x (1 + overage) + slack. */
export interface QuotaBound {
  windowMs: number
  overage: number
  slack: number
}

/**
 * The part of the longest life that is used. The rest covers shares that were divided by too few entries: at the rates seen
 * (burst of one second, slack of half a second to four) some tenth more of them may exist than are known.
 */
const lifeShare = 0.6
/** A quota with much slack would let old tokens pile up, and a burst that a team saved for so long serves nobody better. */
const longestLifeMs = 4000

/** Two exchanges between entries: with a shorter life nothing would reach those that need it. */
const shortestLifeMs = 500

const mostInWindow = ({ perSecond, burst }: QuotaRate, { windowMs, overage, slack }: QuotaBound): number =>
  (perSecond * windowMs / 1000 + burst) * (1 + overage) + slack

/** How long a token may be spent after it was earned, so that no window holds more than the bound. */
export const tokenLifeMs = (rate: QuotaRate, bound: QuotaBound): number => {
  const spareMs = mostInWindow(rate, bound) / rate.perSecond * 1000 - bound.windowMs
  return Math.max(shortestLifeMs, Math.min(longestLifeMs, spareMs * lifeShare))
}

/** Tokens that are earned a second: the quota's rate, or less where its bound leaves less than the shortest life. */
export const earnedPerSecond = (rate: QuotaRate, bound: QuotaBound): number =>
  Math.min(rate.perSecond, mostInWindow(rate, bound) / (bound.windowMs + tokenLifeMs(rate, bound)) * 1000)
