/**
 * The line of requests that wait for quota tokens of one team at one entry, and the bookings of rejected requests.
 *
 * Load: a team sends several times its quota. If each request took tokens as soon as there were enough for it, small requests
 * would always find some, and large ones never. Requests are therefore served in order of arrival, and one that is too large for
 * the tokens at hand keeps them from those behind it. Returning callers, which were rejected before, are served first, as long as
 * they can still be in time.
 */
import { beyondFactor, earliestReturnMs, maxReturnShare } from './return-promise.js'

/**
 * The order of claims by caller: those that return as they were told and can still be in time, those that come for the first time,
 * and those that return late.
 */
export const claimRanks = { returning: 0, first: 1, late: 2 } as const
export type ClaimRank = typeof claimRanks[keyof typeof claimRanks]

/** What is known of the caller of a request. */
export interface QuotaCaller {
  /** Time since its first attempt; 0 if this is the first. */
  firstTriedMs: number
  /** Time until it times out. */
  remainingMs: number
  /** Objective of its route. */
  objectiveMs: number
}

/** One that returns after this share of its time was told a longer time than it could wait, so nothing was booked for it. */
const returnLimitShare = 0.3
/** Later than this share of its objective, a request would be late even if it got its tokens at once. */
const lateShare = 0.75

export const claimRankOf = ({ firstTriedMs, remainingMs, objectiveMs }: QuotaCaller): ClaimRank => {
  if (firstTriedMs === 0) return claimRanks.first
  const isLate = firstTriedMs > objectiveMs * lateShare || firstTriedMs > (firstTriedMs + remainingMs) * returnLimitShare
  return isLate ? claimRanks.late : claimRanks.returning
}

/** The longest time that a caller waits before it returns. */
export const maxReturnMs = ({ remainingMs }: Pick<QuotaCaller, 'remainingMs'>): number => remainingMs * maxReturnShare

export interface TokenClaim {
  tokens: number
  rank: ClaimRank
  /** The latest time for its turn, when all claims ahead of it have been served. */
  turnBy: number
  /** The latest time for its own tokens. */
  servedBy: number
}

/** Claims of one rank, in order of arrival. */
class RankLine<Claim extends TokenClaim> {
  claims: Claim[] = []
  tokens = 0

  add (claim: Claim): void {
    this.claims.push(claim)
    this.tokens += claim.tokens
  }

  removeFirst (): void {
    const first = this.claims.shift()
    this.tokens = this.claims.length === 0 ? 0 : this.tokens - (first?.tokens ?? 0)
  }

  remove (claim: Claim): void {
    this.claims.splice(this.claims.indexOf(claim), 1)
    this.tokens = this.claims.length === 0 ? 0 : this.tokens - claim.tokens
  }

  retain (isRetained: (claim: Claim) => boolean): void {
    const before = this.claims.length
    this.claims = this.claims.filter(isRetained)
    if (this.claims.length < before) this.tokens = sumOf(this.claims)
  }
}

export class TokenLine<Claim extends TokenClaim> {
  readonly #lines: readonly [RankLine<Claim>, RankLine<Claim>, RankLine<Claim>] = [new RankLine(), new RankLine(), new RankLine()]

  get isEmpty (): boolean {
    return this.#first === undefined
  }

  /** Tokens of all claims in the line. */
  get tokens (): number {
    return this.tokensAhead(claimRanks.late)
  }

  /** Tokens of the claims that are served before a new one of this rank. */
  tokensAhead (rank: ClaimRank): number {
    let sum = 0
    for (let each = 0; each <= rank; each++) sum += this.#lines[each]?.tokens ?? 0
    return sum
  }

  add (claim: Claim): void {
    this.#lines[claim.rank].add(claim)
  }

  /** Serves claims in order while `serve` returns true, and removes those. */
  serve (serve: (claim: Claim) => boolean): void {
    for (let first = this.#first; first !== undefined && serve(first); first = this.#first) this.#lines[first.rank].removeFirst()
  }

  /**
   * Serves the smallest claim of the first rank while `serve` returns true. For claims that were admitted whatever their size: those
   * that lack most tokens wait for them without keeping others from theirs.
   */
  serveSmallest (serve: (claim: Claim) => boolean): void {
    for (const line of this.#lines) {
      for (const claim of [...line.claims].sort((a, b) => a.tokens - b.tokens)) {
        if (!serve(claim)) return
        line.remove(claim)
      }
    }
  }

  /**
   * Removes and returns the claims that can't be served in time. `perSecond`: the rate at which tokens come in, and at which those
   * of one request do once its turn has come; `Infinity` where it is not known.
   */
  removeLate (now: number, available: number, perSecond: { turn: number, own: number }): Claim[] {
    const late: Claim[] = []
    const first = this.#first
    let ahead = -available
    const isInTime = (claim: Claim): boolean => {
      // The turn of the first claim has come, so only its own tokens can be late.
      const inTime = now < claim.servedBy && now + waitMs(ahead + claim.tokens, perSecond.own) <= claim.servedBy && (claim === first || now + waitMs(ahead, perSecond.turn) <= claim.turnBy)
      if (inTime) ahead += claim.tokens
      else late.push(claim)
      return inTime
    }
    for (const line of this.#lines) line.retain(isInTime)
    return late
  }

  /** The earliest time at which a claim is late whatever arrives; `Infinity` for an empty line. */
  get nextLateAt (): number {
    return Math.min(...this.#lines.map(line => line.claims[0]?.servedBy ?? Infinity))
  }

  get #first (): Claim | undefined {
    return this.#lines[0].claims[0] ?? this.#lines[1].claims[0] ?? this.#lines[2].claims[0]
  }
}

const sumOf = (claims: readonly TokenClaim[]): number => claims.reduce((sum, { tokens }) => sum + tokens, 0)

/**
 * The latest time at which the turn of a caller's booking may come, which waits no longer than `maxTurnMs` in a line. Nothing is
 * booked for a caller that returned before, as it does not return again, nor for one that would be late on its return.
 */
export const bookingLimitMs = ({ firstTriedMs, remainingMs, objectiveMs }: QuotaCaller, maxTurnMs: number): number =>
  firstTriedMs > 0 || earliestReturnMs > objectiveMs * lateShare ? -1 : Math.min(maxReturnMs({ remainingMs }), maxTurnMs)

/** Time until this many tokens have come in. */
export const waitMs = (tokens: number, perSecond: number): number => tokens <= 0 ? 0 : tokens / perSecond * 1000

/** Callers are told no longer time, so what they were told is forgotten by then. */
const maxToldMs = 5000

export interface BookingRequest {
  tokens: number
  /** Tokens that the line needs before the first booking. */
  lineTokens: number
  perSecond: number
  /** A caller that is told a longer time returns before it, so its tokens are not booked. */
  maxMs: number
  /** The caller waits no longer than this. If nothing is booked for it, it is told more, so that other entries know (`return-promise.ts`). */
  longestMs: number
}

export interface Booking {
  /** Time until the tokens are expected. */
  readyInMs: number
  booked: boolean
}

/**
 * The schedule by which rejected callers return. Each booking takes the time in which its tokens come in, so that callers return
 * one after the other instead of all at once.
 */
export class BookingSchedule {
  #bookings: Array<{ tokens: number, at: number }> = []
  /** When the last booked caller returns. */
  #bookedUntil = -Infinity
  /** When the tokens for all callers are expected that were told a time, booked or not. */
  #toldUntil = -Infinity
  #tokens = 0

  /** Tokens booked for callers that have not returned yet. */
  get tokens (): number {
    return this.#tokens
  }

  book ({ tokens, lineTokens, perSecond, maxMs, longestMs }: BookingRequest, now: number): Booking {
    const lineUntil = now + waitMs(lineTokens, perSecond)
    const ownMs = waitMs(tokens, perSecond)
    const startsAt = Math.max(this.#bookedUntil, lineUntil)
    const at = startsAt + ownMs
    this.#toldUntil = Math.min(Math.max(this.#toldUntil, lineUntil) + ownMs, now + maxToldMs)
    // The start decides: if the end did, only small requests would fit into what is left of the time.
    if (startsAt - now > maxMs) return { readyInMs: Math.max(Math.max(at, this.#toldUntil) - now, longestMs * beyondFactor), booked: false }
    this.#bookings.push({ tokens, at })
    this.#bookedUntil = at
    this.#tokens += tokens
    return { readyInMs: Math.min(at, Math.max(startsAt, now + maxMs)) - now, booked: true }
  }

  /** Removes the bookings whose time has come, and returns their tokens. */
  takeDue (now: number): number {
    let due = 0
    let count = 0
    for (let next = this.#bookings[0]; next !== undefined && next.at <= now; next = this.#bookings[count]) {
      due += next.tokens
      count += 1
    }
    if (count > 0) this.#bookings.splice(0, count)
    this.#tokens = this.#bookings.length === 0 ? 0 : this.#tokens - due
    return due
  }
}

export interface DemandView {
  /** Tokens per second that callers ask for at this entry. */
  here: number
  /** The same at all entries that are short of tokens, if the bank has reported it. */
  total: number | undefined
}

/** The reserve covers the demand of this time: two exchanges. */
const reserveS = 0.5

/** Tokens to keep for the demand here: never more than this entry's part of the quota by demand. */
export const demandReserve = (perSecond: number, { here, total }: DemandView): number => {
  const part = total === undefined || total <= here ? 1 : here / total
  return Math.min(here, perSecond * part) * reserveS
}
