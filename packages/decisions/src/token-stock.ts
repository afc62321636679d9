/**
 * Tokens of a quota by when they were earned. Each may be spent for a while only, wherever it went in between.
 *
 * So whatever is spent in a window was earned in that window or up to one life before it: at most the rate times the window
 * and the life, however many processes hold tokens and whoever hears whom.
 */
export interface TokenSlice {
  tokens: number
  /** On the holder's steady clock; the oldest of its tokens. */
  earnedAt: number
}

/** Never below 0: a slice may be earned between the moment looked at and the look. */
export const ageOf = ({ earnedAt }: TokenSlice, now: number): number => Math.max(0, now - earnedAt)

/** Tokens earned within so many milliseconds are kept as one slice, all as old as the oldest. */
const sliceMs = 50

export class TokenStock {
  /** The oldest first. */
  #slices: TokenSlice[] = []

  add (tokens: number, earnedAt: number): void {
    if (tokens <= 0) return
    const last = this.#slices.at(-1)
    if (last !== undefined && earnedAt >= last.earnedAt && earnedAt - last.earnedAt < sliceMs) {
      last.tokens += tokens
      return
    }
    this.#slices.push({ tokens, earnedAt })
    if (last !== undefined && earnedAt < last.earnedAt) this.#slices.sort((a, b) => a.earnedAt - b.earnedAt)
  }

  addAll (slices: readonly TokenSlice[]): void {
    for (const { tokens, earnedAt } of slices) this.add(tokens, earnedAt)
  }

  /** What can still be spent of what was earned since `since`. */
  total (since: number): number {
    this.#drop(since)
    return this.#slices.reduce((sum, slice) => sum + slice.tokens, 0)
  }

  /** So many tokens, the oldest first; none where there are fewer. */
  take (tokens: number, since: number): TokenSlice[] | undefined {
    return this.total(since) < tokens ? undefined : this.takeUpTo(tokens, since)
  }

  /** So many tokens or what there is, the oldest first. */
  takeUpTo (tokens: number, since: number): TokenSlice[] {
    this.#drop(since)
    return takeFrom(this.#slices, tokens, 0)
  }

  /** So many tokens or what there is, the youngest first: those can be spent elsewhere the longest. */
  takeYoungest (tokens: number, since: number): TokenSlice[] {
    this.#drop(since)
    return takeFrom(this.#slices, tokens, -1)
  }

  #drop (since: number): void {
    while ((this.#slices[0]?.earnedAt ?? Infinity) < since) this.#slices.shift()
  }
}

/** `end`: 0 for the front, -1 for the back. */
const takeFrom = (slices: TokenSlice[], tokens: number, end: 0 | -1): TokenSlice[] => {
  const taken: TokenSlice[] = []
  let left = tokens
  while (left > 0) {
    const slice = slices.at(end)
    if (slice === undefined) break
    const part = Math.min(left, slice.tokens)
    taken.push({ tokens: part, earnedAt: slice.earnedAt })
    slice.tokens -= part
    left -= part
    if (slice.tokens > 0) continue
    if (end === 0) slices.shift()
    else slices.pop()
  }
  return taken
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

/** How long a token may be spent after it was earned, so that no window holds more than the bound. */
export const tokenLifeMs = ({ perSecond, burst }: QuotaRate, { windowMs, overage, slack }: QuotaBound): number => {
  const most = (perSecond * windowMs / 1000 + burst) * (1 + overage) + slack
  return Math.max(0, Math.min(longestLifeMs, (most / perSecond * 1000 - windowMs) * lifeShare))
}
