/**
 * What each team may still ask at this entry.
 *
 * Load pattern: a team's callers stay on few entries, and one team sends many times its usual. Equal shares would leave such
 * a team one part in 26 of its quota. So each entry earns an equal share of every quota, by the most entries that may exist,
 * and what it does not need goes to a side process that hands it to entries that do (`quota-exchange.ts`).
 */
import { DecayingSum, totalTokens, type TokenSlice } from '@finchpitch/decisions'
import { boottimeMs } from '../clock.js'
import { quotaBoundOf, type Limits } from '../ports.js'
import type { FleetTeam, Quota } from '../team.js'
import { EarnedTokens } from './earned-tokens.js'

/** Over which demand is averaged: a flood is met within half a second, and single requests make no demand. */
const demandHalfLifeMs = 500
/** So much of its demand, and of its own share, an entry keeps at hand: two exchanges. */
const keptMs = 500
/** With less than this part of it at hand, it asks for more; so most exchanges ask for nothing. */
const askShare = 0.5
/** So many requests of the usual size are kept at hand, or most requests of a team with a small share would wait for an exchange, */
const keptRequests = 2
/** but no more than this part of what its own share can hold: the rest is for others, and lapses if it stays. */
const ownShare = 0.6
/** The part by which a request moves the usual size. */
const sizeWeight = 0.1
/** Fewer tokens aren't worth giving away: a request of the usual size has some 700. */
const leastGiven = 200
/** Requests that come meanwhile may take what was brought for one that waits, which then asks again. */
const mostBrings = 3
/** When a refused caller should come back, whatever the sums say. */
const retrySpan = { leastMs: 100, mostMs: 5000 }

/** Tokens of the request's stated prompt and answer together, `plain` where it states none. */
export const tokensOf = (stated: string | undefined, plain: number): number => {
  const [tokensIn, tokensOut] = (stated ?? '').split(',').map(Number)
  const sum = (tokensIn ?? NaN) + (tokensOut ?? NaN)
  return Number.isFinite(sum) && sum >= 0 ? sum : plain
}

/** What one request counts. */
export const costOf = ({ unit, plainTokens }: Quota, stated: string | undefined): number =>
  unit === 'requests' ? 1 : tokensOf(stated, plainTokens)

/** Tokens set aside for one request. */
export interface Reservation {
  team: string
  slices: TokenSlice[]
  spent: boolean
}

export class TeamAccount {
  readonly #tokens: EarnedTokens
  readonly #demand = new DecayingSum(demandHalfLifeMs)
  readonly #granted = new DecayingSum(demandHalfLifeMs)
  /** Of requests here, aged. */
  #usualSize = 0

  constructor (quota: Quota, limits: () => Limits, entries: () => number) {
    this.#tokens = new EarnedTokens(quota, () => quotaBoundOf(limits()), entries)
  }

  /** A new table has another quota. */
  setQuota (quota: Quota): void {
    this.#tokens.setRate(quota)
  }

  /** A request asks for so many. */
  demand (tokens: number): void {
    this.#demand.add(tokens, boottimeMs())
    this.#usualSize += (tokens - this.#usualSize) * sizeWeight
  }

  take (tokens: number): TokenSlice[] | undefined {
    return this.#tokens.take(tokens)
  }

  give (slices: readonly TokenSlice[]): void {
    this.#tokens.give(slices)
  }

  granted (slices: readonly TokenSlice[]): void {
    this.give(slices)
    for (const { tokens } of slices) this.#granted.add(tokens, boottimeMs())
  }

  /** Whether what was set aside may still be spent. */
  lasts (slices: readonly TokenSlice[]): boolean {
    return slices.every(slice => slice.earnedAt >= this.#tokens.since)
  }

  /** How many it lacks for what is asked here, and for a request of `more` tokens. */
  wants (more = 0): number {
    this.#tokens.earn()
    const has = this.#tokens.total
    return has < Math.max(more, this.#keeps * askShare) ? more + this.#keeps - has : 0
  }

  /** What it does not need, the oldest first: what is kept stays young, and nothing lapses at an entry without demand. */
  takeSurplus (): TokenSlice[] {
    this.#tokens.earn()
    const surplus = this.#tokens.total - this.#keeps
    return surplus < leastGiven ? [] : this.#tokens.takeUpTo(surplus)
  }

  /** Until so many may be there, by what came of late. */
  readyInMs (tokens: number): number {
    const lacking = tokens - this.#tokens.total
    const ms = lacking / (this.#tokens.ownRate + rateOf(this.#granted)) * 1000
    return Math.min(retrySpan.mostMs, Math.max(retrySpan.leastMs, ms))
  }

  /**
   * Where nothing was asked for, some of its own share too: with none, the first request of each team at each entry would
   * have to wait for an exchange, 700 a second of them at one side process.
   */
  get #keeps (): number {
    const { ownRate: own, lifeMs } = this.#tokens
    const requests = Math.min(keptRequests * this.#usualSize, own * lifeMs / 1000 * ownShare)
    return Math.max(rateOf(this.#demand) * keptMs / 1000, own * keptMs / 1000, requests)
  }
}

/** Tokens a second. */
const rateOf = (sum: DecayingSum): number => sum.at(boottimeMs()) * Math.LN2 / demandHalfLifeMs * 1000

export interface QuotasOptions {
  limits: () => Limits
  /** The most entries that may exist. */
  entries: () => number
  /** Asks others for tokens at once; resolves when they answered, or after a moment. Says whether it is of use to ask again. */
  bring: (team: string, tokens: number) => Promise<boolean>
}

export class Quotas {
  readonly #accounts = new Map<string, TeamAccount>()

  constructor (private readonly options: QuotasOptions) {}

  get accounts (): ReadonlyMap<string, TeamAccount> {
    return this.#accounts
  }

  /** Follows the table: accounts begin at once, as they earn before their first request. */
  follow (teams: readonly FleetTeam[]): void {
    const { limits, entries } = this.options
    const limited = new Map(teams.flatMap(({ name, quota }) => quota === undefined ? [] : [[name, quota] as const]))
    for (const name of this.#accounts.keys()) if (!limited.has(name)) this.#accounts.delete(name)
    for (const [name, quota] of limited) {
      const known = this.#accounts.get(name)
      if (known === undefined) this.#accounts.set(name, new TeamAccount(quota, limits, entries))
      else known.setQuota(quota)
    }
  }

  /** Sets aside what the request counts. Gives the milliseconds until that may be there where it isn't. */
  async reserve (team: FleetTeam, stated: string | undefined): Promise<Reservation | number> {
    const account = this.#accounts.get(team.name)
    if (account === undefined || team.quota === undefined) return { team: team.name, slices: [], spent: false }
    const tokens = costOf(team.quota, stated)
    account.demand(tokens)
    const taken = account.take(tokens) ?? await this.#bring(account, team.name, tokens)
    return taken === undefined ? account.readyInMs(tokens) : { team: team.name, slices: taken, spent: false }
  }

  /** Whether what was set aside is for this team and may still be spent. */
  lasts ({ team, slices }: Reservation, { name }: FleetTeam): boolean {
    return team === name && this.#accounts.get(team)?.lasts(slices) !== false
  }

  /** The request is being sent. Says whether its tokens, or others in their place, may be spent now. */
  spend (reservation: Reservation): boolean {
    const account = this.#accounts.get(reservation.team)
    if (reservation.spent || account === undefined || account.lasts(reservation.slices)) {
      reservation.spent = true
      return true
    }
    const fresh = account.take(totalTokens(reservation.slices))
    if (fresh === undefined) return false
    account.give(reservation.slices)
    reservation.slices = fresh
    reservation.spent = true
    return true
  }

  /** The request was not sent. */
  release (reservation: Reservation): void {
    if (reservation.spent) return
    this.#accounts.get(reservation.team)?.give(reservation.slices)
    reservation.slices = []
  }

  async #bring (account: TeamAccount, team: string, tokens: number): Promise<TokenSlice[] | undefined> {
    for (let each = 0; each < mostBrings; each++) {
      const more = await this.options.bring(team, tokens)
      const taken = account.take(tokens)
      if (taken !== undefined || !more) return taken
    }
    return undefined
  }
}
