/**
 * The tokens of one team's quota at this entry, the line of requests that wait for them, and the bookings of rejected requests.
 *
 * Load: a team sends several times its quota, from callers on few entries. The reserve follows the demand here, but never exceeds
 * this entry's part of the quota, so that the entries don't compete by growing reserves. While the team is over its quota, a share of
 * its requests to each service is admitted, whatever their size (`share-admission.ts`).
 */
import { BookingSchedule, DecayingSum, ShareAdmission, TokenLine, admissionRate, claimRankOf, claimRanks, demandReserve, maxReturnMs, serviceShares, waitMs, type Booking, type ClaimRank, type QuotaCaller, type ServiceDemand, type TokenClaim, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs } from '../../clock.js'
import { quotaBoundOf, type Limits } from '../../ports.js'
import type { Quota } from '../../team.js'
import { EarnedTokens } from './earned-tokens.js'

/** Half-life of the average of the demand: it follows a surge within half a second, and single requests hardly count. */
const demandHalfLifeMs = 500
/** The reserve covers the entry's own share of the quota for this time if tokens live long enough: two exchanges. */
const reserveMs = 500
/**
 * Of the lifetime of its tokens, an entry keeps at most the tokens of this share without demand. What it gives away is older than
 * that by up to an exchange interval, and has to be given, granted and spent within the lifetime. With 500 ms of 930 ms, a team at one
 * of four entries got half of its quota where messages took up to 100 ms.
 */
const maxIdleReserveShare = 0.25
/** It requests tokens when it has less than this share of the reserve. As a result, most exchanges request none. */
const lowWatermark = 0.5
/** The reserve covers this many requests of average size. Otherwise most requests of a team with a small share would wait for an exchange. */
const reserveRequests = 2
/** Of the tokens earned within their lifetime, at most this share is kept for these requests: the other entries need the remainder, which expires if kept. */
const maxReserveShare = 0.6
/** Weight of a request in the moving average of request sizes. */
const sizeWeight = 0.1
/** A smaller surplus isn't worth giving away: an average request costs about 700 tokens. */
const minGiven: Record<Quota['unit'], number> = { tokens: 200, requests: 1 }
/** After an exchange that brought too few tokens, the line triggers no further exchange for this long. */
const shortageMs = 60
/** Late callers get no tokens for this long after a shortage, in which others may need them who can still be in time. */
const lateShortageMs = 1000
/** A team that got at least this share of what it asked for isn't short: the rest may be a rounding error. */
const satisfiedShare = 0.99
/**
 * The longest wait for the turn in the line: a quarter of the shortest objective of streams, and most of that of plain requests. It
 * is the same for both, as requests with a shorter limit would always find the line full of others. Most answers of the bank take
 * 2 to 20 ms.
 */
const maxTurnMs = 120
const maxTurnShare = 0.6
/**
 * At its turn, a request may wait for its own tokens until this multiple of the time. With one limit on both, large requests would
 * be rejected more often than small ones.
 */
const servedFactor = 2
/** Tokens of due bookings are set aside for at most the entry's earnings of this time, in which those callers return. */
const setAsideMs = 300
/**
 * While requests are admitted by share, this part of the tokens is booked for callers that return. A booked token serves a later
 * request instead of a new one, which would be served sooner.
 */
const bookedShare = 0.25
/** The demand for a service is forgotten below this many tokens per second. */
const minServiceDemand = 1
/** Without an answer of a bank, a team counts as over its quota for this long after the last report. Another bank is chosen sooner. */
const ownShareMs = 3000
/** Shares by the demand here are computed again after this time. */
const ownSharesMs = 50
const noShares: ReadonlyMap<string, number> = new Map()
/** The bank's figure of the demand at all entries counts for this long: four exchanges. */
const totalDemandTtlMs = 1000

const maxTurnMsOf = ({ objectiveMs }: QuotaCaller): number => Math.min(maxTurnMs, objectiveMs * maxTurnShare)

/** Tokens that an entry lacks, and how many of them are for waiting requests of returning callers and of others. */
export interface Shortfall { tokens: number, returning: number, waiting: number }

/** A request in the line. `settle` is called with its tokens, or with `undefined` if it gets none in time. */
export interface WaitingRequest extends TokenClaim {
  settle: (slices: TokenSlice[] | undefined) => void
}

/** What the bank reports of a team that is short of tokens. */
export interface TeamReport {
  /** Demand at all entries, in tokens per second. */
  perSecond: number
  byService?: ServiceDemand
  /** Tokens that are left at the bank; negative if some are lacking. */
  left?: number | undefined
}

/** A caller of whom nothing is known. */
export const unknownCaller: QuotaCaller = { firstTriedMs: 0, remainingMs: Infinity, objectiveMs: Infinity }

export class TeamAccount {
  readonly #tokens: EarnedTokens
  readonly #line = new TokenLine<WaitingRequest>()
  readonly #bookings = new BookingSchedule()
  readonly #demand = new DecayingSum(demandHalfLifeMs)
  readonly #granted = new DecayingSum(demandHalfLifeMs)
  /** Moving average of the request sizes at this entry. */
  #averageSize = 0
  /** Demand at all entries as the bank last reported it, and the share of it that is admitted, by service. */
  #totalDemand: { perSecond: number, at: number, shares: ReadonlyMap<string, number> } | undefined
  readonly #serviceDemand = new Map<string, DecayingSum>()
  readonly #admission = new ShareAdmission()
  /** Shares by the demand here, for when the bank doesn't answer. */
  #ownShares: { at: number, shares: ReadonlyMap<string, number> } = { at: -Infinity, shares: noShares }
  #bankAnswers = true
  /** When an exchange last brought too few tokens. */
  #shortageAt = -Infinity
  /** Tokens of due bookings, which only returning callers get. */
  #setAside = 0
  #setAsideAt = -Infinity
  #bookedGivenAt = -Infinity

  /** `startedAt`: see `EarnedTokens`. */
  constructor (private quota: Quota, limits: () => Limits, entries: () => number, startedAt?: number) {
    this.#tokens = new EarnedTokens(quota, () => quotaBoundOf(limits()), entries, { startedAt })
  }

  /** Called when the table changes. */
  setQuota (quota: Quota): void {
    this.quota = quota
    this.#tokens.setRate(quota)
  }

  /** Counts the tokens that a request costs as demand. A returning caller's request has been counted before. */
  recordDemand (tokens: number, returning = false, service = ''): void {
    this.#averageSize += (tokens - this.#averageSize) * sizeWeight
    if (returning) return
    const now = boottimeMs()
    this.#demand.add(tokens, now)
    const ofService = this.#serviceDemand.get(service) ?? new DecayingSum(demandHalfLifeMs)
    ofService.add(tokens, now)
    this.#serviceDemand.set(service, ofService)
  }

  /**
   * Whether requests are admitted by share: while callers ask for more than the quota, over all entries. If the bank stops
   * answering then, the demand here and the own share of the quota decide, until another bank reports.
   */
  get admitsByShare (): boolean {
    return this.#totalDemand !== undefined && this.#admitsByShareAt(boottimeMs())
  }

  #admitsByShareAt (now: number): boolean {
    if (this.#totalDemand === undefined) return false
    return this.#bankAnswers ? this.isOverQuotaAt(now) && this.#totalDemand.shares.size > 0 : this.#admitsByOwnShare(this.#totalDemand, now)
  }

  #admitsByOwnShare ({ perSecond, at }: TeamReport & { at: number }, now: number): boolean {
    return perSecond > this.quota.perSecond && now - at < ownShareMs && this.demandAt(now) > this.#tokens.ownRate
  }

  /** The share of the requests to each service that is admitted. */
  get #shares (): ReadonlyMap<string, number> {
    if (this.#bankAnswers) return this.#totalDemand?.shares ?? noShares
    const now = boottimeMs()
    if (now - this.#ownShares.at >= ownSharesMs) {
      this.#tokens.earn(now)
      const rate = admissionRate(this.#tokens.ownRate, this.#tokens.totalAt(now) - this.#line.tokens)
      this.#ownShares = { at: now, shares: serviceShares(new Map(this.serviceDemandAt(now)), rate) }
    }
    return this.#ownShares.shares
  }

  /** Whether a request gets tokens, decided by its service and its caller and not by its size. */
  admits (service: string, caller: QuotaCaller): boolean {
    const share = this.#shares.get(service) ?? 1
    const rank = claimRankOf(caller)
    if (rank === claimRanks.first || share >= 1) return this.#admission.admits(service, share)
    if (rank === claimRanks.returning) this.#admission.admitReturning(service)
    return rank === claimRanks.returning
  }

  /** Takes exactly `tokens` for an admitted request, if there are enough. */
  takeAdmitted (tokens: number, caller: QuotaCaller): TokenSlice[] | undefined {
    return this.#takeInTurn(tokens, claimRankOf(caller), boottimeMs())
  }

  /** Lets an admitted request wait for its tokens. */
  joinAdmitted (tokens: number, caller: QuotaCaller, settle: WaitingRequest['settle']): void {
    const servedBy = boottimeMs() + maxTurnMsOf(caller) * servedFactor
    this.#line.add({ tokens, rank: claimRankOf(caller), turnBy: servedBy, servedBy, settle })
  }

  /** Takes exactly `tokens` if there are enough and no request is ahead in the line. */
  take (tokens: number, caller = unknownCaller): TokenSlice[] | undefined {
    const rank = claimRankOf(caller)
    const now = boottimeMs()
    // A late caller gets none while tokens are short: a small request would find some left where a large one doesn't.
    if (this.#line.tokensAhead(rank) > 0 || this.isPoolingAt(now) || (rank === claimRanks.late && this.#isShortForLate(now))) return undefined
    return this.#takeInTurn(tokens, rank, now)
  }

  /** Takes exactly `tokens` for a request that has had its turn before. */
  takeAgain (tokens: number): TokenSlice[] | undefined {
    return this.#tokens.take(tokens)
  }

  /**
   * Lets a request wait in the line for tokens. Returns whether it may: only if they are expected in time, or if that isn't known
   * because the other entries may have some.
   */
  join (tokens: number, caller: QuotaCaller, settle: WaitingRequest['settle']): boolean {
    const now = boottimeMs()
    const rank = claimRankOf(caller)
    const maxMs = maxTurnMsOf(caller)
    const claim = { tokens, rank, turnBy: now + maxMs, servedBy: now + maxMs * servedFactor, settle }
    if (rank === claimRanks.late && this.#isShortForLate(now)) return false
    if (this.#isShortAt(now)) {
      const ahead = this.#line.tokensAhead(rank) - this.#availableFor(rank, now)
      const { turn, own } = this.#ratesAt(now)
      if (waitMs(ahead, turn) > maxMs || waitMs(ahead + tokens, own) > claim.servedBy - now) return false
    }
    this.#line.add(claim)
    return true
  }

  get hasWaiting (): boolean {
    return !this.#line.isEmpty
  }

  /** Tokens of the requests in the line. */
  get tokensWaiting (): number {
    return this.#line.tokens
  }

  get tokensBooked (): number {
    return this.#bookings.tokens
  }

  /** Serves the line in order, and rejects requests that can't be served in time. */
  updateLine (): void {
    if (this.#line.isEmpty) return
    const now = boottimeMs()
    const byShare = this.#admitsByShareAt(now)
    const served = byShare || !this.isPoolingAt(now)
    if (served) this.#serveLine(now)
    const rates = this.#isShortAt(now) && !byShare ? this.#ratesAt(now) : unknownRates
    for (const claim of this.#line.removeLate(now, this.#availableFor(claimRanks.first, now), rates)) claim.settle(undefined)
    if (served) this.#serveLine(now)
  }

  /** Time until the next exchange makes sense, or a request in the line is late. */
  get nextUpdateMs (): number {
    const now = boottimeMs()
    return Math.max(1, Math.min(this.#shortageAt + shortageMs, this.#line.nextLateAt) - now)
  }

  /** Whether the other entries had too few tokens lately. */
  get isShort (): boolean {
    return this.#isShortAt(boottimeMs())
  }

  #isShortAt (now: number): boolean {
    return now - this.#shortageAt < shortageMs
  }

  #isShortForLate (now: number): boolean {
    return now - this.#shortageAt < lateShortageMs
  }

  /** The bank had too few tokens, or, if it has not `answered`, may have some but can't be asked. */
  noteShortage (answered: boolean): void {
    this.#shortageAt = boottimeMs()
    this.#bankAnswers = answered
  }

  /** Books the tokens of a rejected request, if its caller returns when they are ready. */
  book (tokens: number, caller: QuotaCaller): Booking {
    const now = boottimeMs()
    this.#collectDue(now)
    const lineTokens = this.#line.tokens - this.#availableFor(claimRanks.first, now)
    // A caller that was rejected again does not return. Others may have to wait again then, so a longer time would make them late.
    const maxMs = caller.firstTriedMs > 0 ? 0 : Math.min(maxReturnMs(caller), maxTurnMsOf(caller))
    const perSecond = this.#perSecondAt(now) * (this.#admitsByShareAt(now) ? bookedShare : 1)
    return this.#bookings.book({ tokens, lineTokens, perSecond, maxMs }, now)
  }

  /** Adds tokens that belong to a request that was not sent. */
  deposit (slices: readonly TokenSlice[]): void {
    this.#tokens.addAll(slices)
    if (this.#line.isEmpty) return
    const now = boottimeMs()
    if (!this.isPoolingAt(now) || this.#admitsByShareAt(now)) this.#serveLine(now)
  }

  /** Adds tokens that other entries gave, and counts them for the estimate of when more are available. */
  granted (slices: readonly TokenSlice[]): void {
    const now = boottimeMs()
    for (const { tokens } of slices) this.#granted.add(tokens, now)
    this.#tokens.addAll(slices)
    if (!this.#line.isEmpty) this.#serveLine(now)
  }

  /** Handles the bank's answer to a request for `asked` tokens. */
  answered (asked: number, granted: number): void {
    this.#bankAnswers = true
    if (granted < asked * satisfiedShare) this.noteShortage(true)
  }

  /** The bank reports the demand at all entries while requests wait for tokens or the team is over its quota. */
  noteTotalDemand ({ perSecond, byService = new Map(), left = 0 }: TeamReport): void {
    this.#totalDemand = { perSecond, at: boottimeMs(), shares: serviceShares(byService, admissionRate(this.quota.perSecond, left)) }
    if (!this.isOverQuota) this.#admission.reset()
  }

  /** Tokens per second that callers ask for at this entry, by service, while the team is short of tokens. */
  serviceDemandAt (now: number): Array<[service: string, perSecond: number]> {
    if (this.#bankAnswers && !this.#isShortAt(now) && !this.isOverQuotaAt(now)) return []
    const demand: Array<[string, number]> = []
    for (const [service, sum] of this.#serviceDemand) {
      const perSecond = rateOf(sum, now)
      if (perSecond < minServiceDemand) this.#serviceDemand.delete(service)
      else demand.push([service, perSecond])
    }
    return demand
  }

  /** Whether reserved tokens have not expired. */
  isValid (slices: readonly TokenSlice[]): boolean {
    const cutoff = this.#tokens.expiryCutoff
    return slices.every(slice => slice.earnedAt >= cutoff)
  }

  /**
   * Whether this entry gives all its tokens to the bank and asks for all that its line needs. While the demand exceeds the quota,
   * waiting requests are thus served in order over all entries. If each entry used what it earns, small requests would find enough
   * and larger ones would not.
   */
  get isPooling (): boolean {
    return this.isPoolingAt(boottimeMs())
  }

  /** The same at `now`, a time that has just been read, as for all methods below that take it. */
  isPoolingAt (now: number): boolean {
    return this.#bankAnswers && this.isOverQuotaAt(now)
  }

  /** What this entry is short of, beside the tokens that it has unless it gives those away. */
  shortfall (pooling: boolean, now = boottimeMs()): Shortfall {
    this.#tokens.earn(now)
    const available = pooling ? 0 : this.#tokens.totalAt(now)
    const needed = this.#line.tokens
    const missing = Math.max(0, needed - available)
    const returning = Math.max(0, this.#line.tokensAhead(claimRanks.returning) - available)
    const waiting = Math.max(0, this.#line.tokensAhead(claimRanks.first) - available) - returning
    if (missing > 0 && this.#isShortAt(now)) return { tokens: missing, returning, waiting }
    const reserve = this.#reserveAt(now)
    const tokens = available < Math.max(needed, reserve * lowWatermark) ? needed + reserve - available : 0
    return { tokens, returning, waiting }
  }

  /** Tokens per second that callers ask for at this entry. */
  get demand (): number {
    return this.demandAt(boottimeMs())
  }

  demandAt (now: number): number {
    return rateOf(this.#demand, now)
  }

  /**
   * Takes the tokens above the reserve, the oldest first. The reserve thus stays young, and no tokens expire at an entry
   * without demand. In a pool, even the smallest surplus is given, since it serves nobody here.
   */
  takeSurplus (now = boottimeMs()): TokenSlice[] {
    this.#tokens.earn(now)
    const surplus = this.#tokens.totalAt(now) - this.#reserveAt(now)
    return surplus < (this.isPoolingAt(now) ? 0 : minGiven[this.quota.unit]) ? [] : this.#tokens.takeUpTo(surplus, now)
  }

  /**
   * Takes the tokens set aside for callers that were told to return by now, as far as they were earned here: they return at other
   * entries. Granted tokens stay, since the bank has served all returning callers first.
   */
  takeBooked (now = boottimeMs()): TokenSlice[] {
    this.#collectDue(now)
    if (this.#setAside === 0) return []
    this.#tokens.earn(now)
    const spare = this.#tokens.totalAt(now) - this.#line.tokensAhead(claimRanks.returning)
    const tokens = Math.min(this.#setAside, spare, this.#earnedIn(now - this.#bookedGivenAt))
    if (tokens <= 0) return []
    this.#bookedGivenAt = now
    this.#setAside = 0
    return this.#tokens.takeUpTo(tokens, now)
  }

  #takeInTurn (tokens: number, rank: ClaimRank, now: number): TokenSlice[] | undefined {
    this.#tokens.earn(now)
    this.#collectDue(now)
    if (this.#availableFor(rank, now) < tokens) return undefined
    if (rank === claimRanks.returning) this.#setAside = Math.max(0, this.#setAside - tokens)
    return this.#tokens.take(tokens, now)
  }

  #serveLine (now: number): void {
    const serve = ({ tokens, rank, settle }: WaitingRequest): boolean => {
      const slices = this.#takeInTurn(tokens, rank, now)
      if (slices !== undefined) settle(slices)
      return slices !== undefined
    }
    if (this.#admitsByShareAt(now)) this.#line.serveSmallest(serve)
    else this.#line.serve(serve)
  }

  /** Tokens at hand for a request of this rank. */
  #availableFor (rank: ClaimRank, now: number): number {
    const total = this.#tokens.totalAt(now)
    return rank === claimRanks.returning ? total : Math.max(0, total - this.#setAside)
  }

  /** Sets tokens of bookings aside whose time has come, and releases them when their callers have not returned. */
  #collectDue (now: number): void {
    const due = this.#bookings.takeDue(now)
    if (due > 0) {
      this.#setAside = Math.min(this.#setAside + due, this.#earnedIn(setAsideMs))
      this.#setAsideAt = now
    } else if (now - this.#setAsideAt > setAsideMs) this.#setAside = 0
  }

  #earnedIn (ms: number): number {
    return this.#tokens.ownRate * Math.min(ms, setAsideMs) / 1000
  }

  /** Tokens per second that come in here. */
  #perSecondAt (now: number): number {
    const granted = rateOf(this.#granted, now)
    const { ownRate } = this.#tokens
    return this.isPoolingAt(now) ? Math.max(ownRate, granted) : ownRate + granted
  }

  /** The rates at which a turn comes and at which the tokens of one request come in then: the bank grants those at once. */
  #ratesAt (now: number): { turn: number, own: number } {
    const turn = this.#perSecondAt(now)
    return { turn, own: this.#bankAnswers ? Infinity : turn }
  }

  /**
   * Tokens to keep for this entry. Without demand, this is a part of its own share: if it were nothing, the first request of
   * each team at each entry would have to wait for an exchange, and one side process would get 700 of those per second. While
   * the demand exceeds the quota, nothing is kept: only small requests would find enough in a reserve, while larger ones wait.
   */
  #reserveAt (now: number): number {
    if (this.isOverQuotaAt(now)) return 0
    const { ownRate, lifetimeMs } = this.#tokens
    const requests = Math.min(reserveRequests * this.#averageSize, ownRate * lifetimeMs / 1000 * maxReserveShare)
    const idleMs = Math.min(reserveMs, lifetimeMs * maxIdleReserveShare)
    return Math.max(demandReserve(this.quota.perSecond, { here: this.demandAt(now), total: this.#knownTotalDemandAt(now) }), ownRate * idleMs / 1000, requests)
  }

  /** Whether callers ask for more than the quota, over all entries. */
  get isOverQuota (): boolean {
    return this.isOverQuotaAt(boottimeMs())
  }

  isOverQuotaAt (now: number): boolean {
    return (this.#knownTotalDemandAt(now) ?? 0) > this.quota.perSecond
  }

  #knownTotalDemandAt (now: number): number | undefined {
    return this.#totalDemand !== undefined && now - this.#totalDemand.at < totalDemandTtlMs ? this.#totalDemand.perSecond : undefined
  }
}

const unknownRates = { turn: Infinity, own: Infinity }

/** Tokens per second. */
const rateOf = (sum: DecayingSum, now: number): number => sum.at(now) * Math.LN2 / demandHalfLifeMs * 1000
