/**
 * What this entry may send to one plain service whose servers have fewer slots than there are entries.
 *
 * No server states its load, and each entry sees a small part of it. While the service is busy, each entry therefore earns an
 * equal share of the capacity that it estimates from its own responses. What it doesn't need goes to the entries that do, by the
 * exchange of tokens. A token allows one request.
 */
import { CapacityEstimate, DecayingSum, divideMaxMin, totalTokens, type QuotaBound, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs, nowMs } from '../../clock.js'
import { EarnedTokens } from '../quotas/earned-tokens.js'

/** Gives tokens a lifetime of half a second, two exchanges: older ones would let all entries send at the same moment. */
const tokenBound: QuotaBound = { windowMs: 1000, overage: 5 / 6, slack: 0 }
/** Tokens are dated in steps of this length: the usual ones are a fifth of the lifetime. */
const sliceMs = 25
/**
 * The part of its share that an entry gives to the others even if its own requests need it. Teams that ask for little get it, so
 * that several requests of theirs at one entry don't wait for what that entry earns.
 */
const pooledShare = 0.25
/** Without an answer of the bank for this long, an entry keeps its whole share. */
const answerTtlMs = 150
/** How long a busy time lasts without a sign of delay. */
const calmAfterMs = 2000
/** Tokens at the start of a busy time: without any, requests of all teams would wait at every entry. */
const startTokens = 3
/** A sign of delay, and a shortage of tokens, count as current for this long. */
const currentMs = 1000
/** Half-life of the averages of demand and grants. */
const halfLifeMs = 250
/** Tokens for the demand of this time are kept in reserve: requests find a token, and the next grants arrive in time. */
const reserveMs = 150
/** A team has less demand than another one if it recently had less than this share of the other's requests. */
const lessShare = 0.5
/** After an exchange that brought too few tokens, the next one on demand waits for this long. */
const shortageMs = 50
/** Interval of giving tokens to entries that lack some: a longer one would take much of their lifetime. */
export const giveIntervalMs = 100
/** The answer to an exchange arrives within this time. */
const exchangeMs = 20
const roundingTolerance = 1e-6
const maxReadyInMs = 5000

/** Why a service counts as busy. */
export type BusySign = 'delay' | 'refusal' | 'reported'

/** A team's part in the load of the service. */
interface TeamLoad {
  demand: DecayingSum
  /** Requests in the queue of this entry. */
  waiting: number
  /** Those of them whose callers were promised capacity. */
  promised: number
  /** When an exchange last brought it too few tokens; `undefined` once one has brought enough. */
  shortageAt: number | undefined
}

export class ServiceAccount {
  readonly estimate = new CapacityEstimate()
  readonly #granted = new DecayingSum(halfLifeMs)
  readonly #teams = new Map<string, TeamLoad>()
  #tokens: EarnedTokens | undefined
  #rate = { perSecond: 0, burst: 0 }
  /** When the busy time ends if no further sign follows. */
  #busyUntil = -Infinity
  /** When this entry itself last saw a sign of delay. */
  #signAt = -Infinity
  /** When a request last lacked a token here, and when entries were last reported to lack some. */
  #shortAt = -Infinity
  #reportedAt = -Infinity
  #answeredAt = -Infinity
  /** Since when an exchange is unanswered. */
  #askedAt: number | undefined
  /** Tokens that are to be given to the others, as of `#pooledAt`. */
  #pooled = 0
  #pooledAt = 0
  /** When tokens were last given or offered to the others. */
  #gaveAt = -Infinity

  /** `slots`: of all servers of the service; `entries`: an upper bound of the number of entries. */
  constructor (private readonly slots: () => number, private readonly entries: () => number) {}

  get isBusy (): boolean {
    return nowMs() < this.#busyUntil
  }

  /** Whether the service has fewer slots than there are entries, so that no entry sees its load. */
  get isDivided (): boolean {
    return this.slots() < this.entries()
  }

  /** Whether requests need a token: the service is busy, and its capacity is known and has to be divided. */
  get isEnforced (): boolean {
    return this.isBusy && this.estimate.serviceMs !== undefined && this.isDivided
  }

  /** Whether tokens are exchanged: this or another entry lacks some. */
  get isShared (): boolean {
    return this.isEnforced && (this.#isShort || nowMs() - this.#reportedAt < calmAfterMs)
  }

  /** Whether other entries should learn that the service is busy: requests here are delayed, and lack tokens that the bank doesn't have. */
  get isReportDue (): boolean {
    const now = nowMs()
    if (!this.#isShort || now - this.#signAt >= currentMs) return false
    if (this.#askedAt !== undefined && now - this.#askedAt >= answerTtlMs) return true
    for (const { shortageAt } of this.#teams.values()) if (shortageAt !== undefined && now - shortageAt < currentMs) return true
    return false
  }

  /** Capacity of the whole service in requests per second; 0 if unknown. */
  get capacity (): number {
    return this.estimate.perSecond(this.slots()) ?? 0
  }

  /** Records the response time of a request. Returns whether that is the sign with which a busy time begins. */
  recordResponse (ms: number): boolean {
    this.estimate.recordResponse(ms, nowMs(), this.isShared)
    return this.estimate.isDelayCertain && this.#recordSign()
  }

  /** Records that a server refused a request. Returns whether a busy time begins with it. */
  recordRefusal (): boolean {
    this.estimate.recordRefusal(nowMs(), this.isShared)
    return this.#recordSign()
  }

  /** Records that another entry finds the service busy. Returns whether a busy time begins with it. */
  recordReport (): boolean {
    this.#reportedAt = nowMs()
    return this.#prolong()
  }

  /** Ends a busy time once it is over. Returns whether it did. */
  expire (): boolean {
    if (this.isBusy || this.#busyUntil === -Infinity) return false
    this.#busyUntil = -Infinity
    this.#tokens = undefined
    this.#pooled = 0
    this.estimate.reset()
    for (const [team, { waiting, demand }] of this.#teams) if (waiting === 0 && rateOf(demand) < 1) this.#teams.delete(team)
    return true
  }

  recordDemand (team: string): void {
    this.#load(team).demand.add(1, nowMs())
  }

  /** Counts a request that begins to wait, or that ends its wait. */
  countWaiting (team: string, change: 1 | -1, promised = false): void {
    const load = this.#load(team)
    load.waiting += change
    if (promised) load.promised += change
  }

  /** Whether a request of the team may be sent now, be it only one whose caller was promised capacity. */
  isReady (team: string): boolean {
    return this.#isReady(team, this.#load(team).promised > 0)
  }

  /** Takes the token for one request of the team; `undefined` if there is none. `promised`: capacity was promised to its caller. */
  take (team: string, promised = false): TokenSlice[] | undefined {
    return this.#isReady(team, promised) ? this.#tokens?.take(1 - roundingTolerance) : undefined
  }

  /** Adds the token of a request that was not sent. */
  deposit (slices: readonly TokenSlice[]): void {
    this.#tokens?.addAll(slices)
  }

  /** A request lacks a token. */
  recordShortage (): void {
    this.#shortAt = nowMs()
  }

  /** An exchange is requested. Nothing is asked for, and nothing answered, while no tokens are exchanged. */
  recordExchange (): void {
    this.#askedAt = this.isShared ? this.#askedAt ?? nowMs() : undefined
  }

  /** Whether other entries may have tokens to spare for a team whose requests wait, so that an exchange makes sense now. */
  get canExchange (): boolean {
    for (const { waiting, shortageAt } of this.#teams.values()) {
      if (waiting > 0 && (shortageAt === undefined || nowMs() - shortageAt >= shortageMs)) return true
    }
    return false
  }

  /** Whether this entry has not offered its tokens for some time, while others lack some. */
  get isGiftDue (): boolean {
    return this.isShared && nowMs() - this.#gaveAt >= giveIntervalMs
  }

  /** Time after which the next exchange makes sense, or the next token is earned. */
  retryInMs (team: string): number {
    return Math.min(this.readyInMs(team), shortageMs)
  }

  /** Estimated time until the next request of the team may be sent. */
  readyInMs (team: string): number {
    const missing = this.#missingFor(team)
    if (missing <= roundingTolerance) return 0
    return Math.min(maxReadyInMs, this.#load(team).shortageAt === undefined ? exchangeMs : missing * this.everyMs(team))
  }

  /** Estimated time between the team's requests. Before a shortage is known, the others may have all tokens to spare. */
  everyMs (team: string): number {
    const perSecond = this.#load(team).shortageAt === undefined ? this.capacity : this.#earned().ownRate + rateOf(this.#granted)
    return Math.min(maxReadyInMs, 1000 / perSecond)
  }

  /** Tokens that this entry lacks, by team. What it has is divided in the same way as the bank divides. */
  wants (): Array<[team: string, tokens: number]> {
    const targets = this.#targets()
    const parts = divideMaxMin(this.#available, targets)
    return [...targets].map(([team, target]): [string, number] => [team, target - (parts.get(team) ?? 0)]).filter(([, tokens]) => tokens > roundingTolerance)
  }

  /** Takes the tokens that aren't needed here and those that are kept for the others, the oldest first. */
  takeSurplus (): TokenSlice[] {
    const available = this.#available
    const needed = [...this.#targets().values()].reduce((sum, target) => sum + target, 0)
    const reserve = needed > 0 ? Math.max(1, needed) : 0
    const given = this.#pooled + Math.max(0, available - reserve)
    this.#pooled = 0
    this.#gaveAt = nowMs()
    return this.#tokens?.takeUpTo(given) ?? []
  }

  /** Adds tokens that other entries gave. `asked`: teams for which some were wanted; `short`: those that got too few. */
  granted (slices: readonly TokenSlice[], asked: readonly string[], short: readonly string[]): void {
    const now = nowMs()
    this.#answeredAt = now
    this.#askedAt = undefined
    this.deposit(slices)
    this.#granted.add(totalTokens(slices), now)
    for (const team of asked) this.#load(team).shortageAt = short.includes(team) ? now : undefined
  }

  /** No token is kept from a promised request: with few starts of its team at this entry, it would find none until its time is up. */
  #isReady (team: string, promised: boolean): boolean {
    return (promised ? 1 - this.#available : this.#missingFor(team)) <= roundingTolerance
  }

  get #isShort (): boolean {
    return nowMs() - this.#shortAt < currentMs
  }

  #recordSign (): boolean {
    this.#signAt = nowMs()
    return this.#prolong()
  }

  #prolong (): boolean {
    const begins = this.#busyUntil === -Infinity
    this.#busyUntil = nowMs() + calmAfterMs
    return begins
  }

  /** The tokens, with those earned by now. */
  #earned (): EarnedTokens {
    const perSecond = this.capacity
    if (perSecond !== this.#rate.perSecond) this.#rate = { perSecond, burst: 0 }
    if (this.#tokens === undefined) {
      this.#tokens = new EarnedTokens(this.#rate, () => tokenBound, this.entries, { sliceMs })
      this.#pooledAt = nowMs()
      this.#tokens.addAll([{ tokens: startTokens, earnedAt: boottimeMs() }])
    }
    this.#tokens.setRate(this.#rate)
    this.#tokens.earn()
    return this.#tokens
  }

  /**
   * Tokens that are missing until a request of the team may be sent. Those that teams with less demand are likely to need soon are
   * kept from it; they would otherwise find none whenever it has requests waiting. The last request says nothing about how much a
   * team asks for, nor does the number that waits, as entries see few requests of each team: where a single request counted, small
   * teams kept tokens from one another, and none from a flood that reached each entry with 17 requests per second.
   */
  #missingFor (team: string): number {
    const now = nowMs()
    const limit = (this.#load(team).demand.at(now) - 1) * lessShare
    let kept = 0
    for (const load of this.#teams.values()) if (load.demand.at(now) < limit) kept += targetOf(load, now)
    return 1 + kept - this.#available
  }

  /** Tokens that requests of this entry may use. */
  get #available (): number {
    const tokens = this.#earned()
    const now = nowMs()
    this.#pooled += tokens.ownRate * pooledShare * (now - this.#pooledAt) / 1000
    this.#pooledAt = now
    this.#pooled = this.isShared && now - this.#answeredAt < answerTtlMs ? Math.min(this.#pooled, tokens.total) : 0
    return tokens.total - this.#pooled
  }

  /** How many tokens this entry should have, by team. */
  #targets (): Map<string, number> {
    const targets = new Map<string, number>()
    const now = nowMs()
    for (const [team, load] of this.#teams) {
      const target = targetOf(load, now)
      if (target > roundingTolerance) targets.set(team, target)
    }
    return targets
  }

  #load (team: string): TeamLoad {
    const known = this.#teams.get(team)
    if (known !== undefined) return known
    const load = { demand: new DecayingSum(halfLifeMs), waiting: 0, promised: 0, shortageAt: undefined }
    this.#teams.set(team, load)
    return load
  }
}

/** How many tokens the entry should have for a team. */
const targetOf = ({ demand, waiting }: TeamLoad, now: number): number => waiting + demand.at(now) * Math.LN2 / halfLifeMs * reserveMs

/** Per second. */
const rateOf = (sum: DecayingSum): number => sum.at(nowMs()) * Math.LN2 / halfLifeMs * 1000
