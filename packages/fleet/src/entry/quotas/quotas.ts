/**
 * Enforces the quotas of teams at this entry.
 *
 * The callers of a team stay on few entries, and a team may suddenly send many times its usual load. With a fixed equal share
 * of the quota per entry, a team whose callers are all on one of 26 entries would get a 26th of it. So each entry earns an
 * equal share of every quota, divided by an upper bound of the number of entries, and gives the tokens that it doesn't need to
 * a side process that passes them to entries that do (`quota-exchange.ts`).
 */
import { DecayingSum, totalTokens, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs } from '../../clock.js'
import { quotaBoundOf, type Limits } from '../../ports.js'
import type { FleetTeam, Quota } from '../../team.js'
import { EarnedTokens } from './earned-tokens.js'

/** Half-life of the average of the demand: it follows a surge within half a second, and single requests hardly count. */
const demandHalfLifeMs = 500
/** The reserve covers the demand of this time, and at least the entry's own share of the quota for it: two exchanges. */
const reserveMs = 500
/** It requests tokens when it has less than this share of the reserve. As a result, most exchanges request none. */
const lowWatermark = 0.5
/** The reserve covers this many requests of average size. Otherwise most requests of a team with a small share would wait for an exchange. */
const reserveRequests = 2
/** Of the tokens earned within their lifetime, at most this share is kept for these requests: the other entries need the remainder, which expires if kept. */
const maxReserveShare = 0.6
/** Weight of a request in the moving average of request sizes. */
const sizeWeight = 0.1
/** A smaller surplus isn't worth giving away: an average request costs about 700 tokens. */
const minGiven = 200
/** Requests that arrive meanwhile may take the tokens granted for a waiting request, which then requests tokens again. */
const maxTokenRequests = 3
/** Bounds of the time after which a rejected caller is told to retry. */
const retryRange = { minMs: 100, maxMs: 5000 }

/** Prompt tokens and maximum of output tokens together, as the request states them (`in,out`); `defaultTokens` if it states none. */
export const statedTokens = (stated: string | undefined, defaultTokens: number): number => {
  const [tokensIn, tokensOut] = (stated ?? '').split(',').map(Number)
  const sum = (tokensIn ?? NaN) + (tokensOut ?? NaN)
  return Number.isFinite(sum) && sum >= 0 ? sum : defaultTokens
}

/** What one request costs, in the unit of the quota. */
export const costOf = ({ unit, plainTokens }: Quota, stated: string | undefined): number =>
  unit === 'requests' ? 1 : statedTokens(stated, plainTokens)

/** Tokens reserved for one request. */
export interface Reservation {
  team: string
  slices: TokenSlice[]
  spent: boolean
}

export class TeamAccount {
  readonly #tokens: EarnedTokens
  readonly #demand = new DecayingSum(demandHalfLifeMs)
  readonly #granted = new DecayingSum(demandHalfLifeMs)
  /** Moving average of the request sizes at this entry. */
  #averageSize = 0

  constructor (quota: Quota, limits: () => Limits, entries: () => number) {
    this.#tokens = new EarnedTokens(quota, () => quotaBoundOf(limits()), entries)
  }

  /** Called when the table changes. */
  setQuota (quota: Quota): void {
    this.#tokens.setRate(quota)
  }

  /** Counts the tokens that a request costs as demand. */
  recordDemand (tokens: number): void {
    this.#demand.add(tokens, boottimeMs())
    this.#averageSize += (tokens - this.#averageSize) * sizeWeight
  }

  /** Takes exactly `tokens`; `undefined` if there are fewer. */
  take (tokens: number): TokenSlice[] | undefined {
    return this.#tokens.take(tokens)
  }

  /** Adds tokens that were granted, or that belong to a request that was not sent. */
  deposit (slices: readonly TokenSlice[]): void {
    this.#tokens.addAll(slices)
  }

  /** Adds tokens that other entries gave, and counts them for the estimate of when more are available. */
  granted (slices: readonly TokenSlice[]): void {
    this.deposit(slices)
    for (const { tokens } of slices) this.#granted.add(tokens, boottimeMs())
  }

  /** Whether reserved tokens have not expired. */
  isValid (slices: readonly TokenSlice[]): boolean {
    return slices.every(slice => slice.earnedAt >= this.#tokens.expiryCutoff)
  }

  /** How many tokens this entry is short of, for a waiting request of `waitingTokens` and for its reserve. */
  wants (waitingTokens = 0): number {
    this.#tokens.earn()
    const available = this.#tokens.total
    return available < Math.max(waitingTokens, this.#reserve * lowWatermark) ? waitingTokens + this.#reserve - available : 0
  }

  /**
   * Takes the tokens above the reserve, the oldest first. The reserve thus stays young, and no tokens expire at an entry
   * without demand.
   */
  takeSurplus (): TokenSlice[] {
    this.#tokens.earn()
    const surplus = this.#tokens.total - this.#reserve
    return surplus < minGiven ? [] : this.#tokens.takeUpTo(surplus)
  }

  /** Estimated time until this many tokens are available, from the recent grants. */
  readyInMs (tokens: number): number {
    const missing = tokens - this.#tokens.total
    const ms = missing / (this.#tokens.ownRate + rateOf(this.#granted)) * 1000
    return Math.min(retryRange.maxMs, Math.max(retryRange.minMs, ms))
  }

  /**
   * Tokens to keep for this entry. Without demand, this is a part of its own share: if it were nothing, the first request of
   * each team at each entry would have to wait for an exchange, and one side process would get 700 of those per second.
   */
  get #reserve (): number {
    const { ownRate, lifetimeMs } = this.#tokens
    const requests = Math.min(reserveRequests * this.#averageSize, ownRate * lifetimeMs / 1000 * maxReserveShare)
    return Math.max(rateOf(this.#demand) * reserveMs / 1000, ownRate * reserveMs / 1000, requests)
  }
}

/** Tokens per second. */
const rateOf = (sum: DecayingSum): number => sum.at(boottimeMs()) * Math.LN2 / demandHalfLifeMs * 1000

export interface QuotasOptions {
  limits: () => Limits
  /** An upper bound of the number of entries. */
  entries: () => number
  /** Requests tokens from other entries at once. Resolves when that is answered or times out. Returns whether it may be repeated. */
  requestTokens: (team: string, tokens: number) => Promise<boolean>
}

export class Quotas {
  readonly #accounts = new Map<string, TeamAccount>()

  constructor (private readonly options: QuotasOptions) {}

  get accounts (): ReadonlyMap<string, TeamAccount> {
    return this.#accounts
  }

  /** Applies the teams of a new table. Accounts are created before the first request, so that they earn tokens for it. */
  setTeams (teams: readonly FleetTeam[]): void {
    const { limits, entries } = this.options
    const teamQuotas = new Map(teams.flatMap(({ name, quota }) => quota === undefined ? [] : [[name, quota] as const]))
    for (const name of this.#accounts.keys()) if (!teamQuotas.has(name)) this.#accounts.delete(name)
    for (const [name, quota] of teamQuotas) {
      const known = this.#accounts.get(name)
      if (known === undefined) this.#accounts.set(name, new TeamAccount(quota, limits, entries))
      else known.setQuota(quota)
    }
  }

  /** Reserves what the request costs. If that isn't available, returns the estimated milliseconds until it is. */
  async reserve (team: FleetTeam, stated: string | undefined): Promise<Reservation | number> {
    const account = this.#accounts.get(team.name)
    if (account === undefined || team.quota === undefined) return { team: team.name, slices: [], spent: false }
    const tokens = costOf(team.quota, stated)
    account.recordDemand(tokens)
    const taken = account.take(tokens) ?? await this.#requestTokens(account, team.name, tokens)
    return taken === undefined ? account.readyInMs(tokens) : { team: team.name, slices: taken, spent: false }
  }

  /** Whether the reservation is for this team and its tokens have not expired. */
  isValid ({ team, slices }: Reservation, { name }: FleetTeam): boolean {
    return team === name && this.#accounts.get(team)?.isValid(slices) !== false
  }

  /** Spends the reservation just before the request is sent, with fresh tokens if it has expired. Returns whether there were enough. */
  spend (reservation: Reservation): boolean {
    const account = this.#accounts.get(reservation.team)
    if (reservation.spent || account === undefined || account.isValid(reservation.slices)) {
      reservation.spent = true
      return true
    }
    const fresh = account.take(totalTokens(reservation.slices))
    if (fresh === undefined) return false
    account.deposit(reservation.slices)
    reservation.slices = fresh
    reservation.spent = true
    return true
  }

  /** Returns the tokens of a request that was not sent. */
  release (reservation: Reservation): void {
    if (reservation.spent) return
    this.#accounts.get(reservation.team)?.deposit(reservation.slices)
    reservation.slices = []
  }

  async #requestTokens (account: TeamAccount, team: string, tokens: number): Promise<TokenSlice[] | undefined> {
    for (let attempt = 0; attempt < maxTokenRequests; attempt++) {
      const mayRepeat = await this.options.requestTokens(team, tokens)
      const taken = account.take(tokens)
      if (taken !== undefined || !mayRepeat) return taken
    }
    return undefined
  }
}
