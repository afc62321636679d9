/**
 * Enforces the quotas of teams at this entry.
 *
 * The callers of a team stay on few entries, and a team may suddenly send many times its usual load. With a fixed equal share
 * of the quota per entry, a team whose callers are all on one of 26 entries would get a 26th of it. So each entry earns an
 * equal share of every quota, divided by an upper bound of the number of entries, and gives the tokens that it doesn't need to
 * a side process that passes them to entries that do (`quota-exchange.ts`).
 *
 * Requests that lack tokens wait in a line in order of arrival, whatever their size, if their tokens are expected soon. While the team
 * is over its quota, a share of its requests is admitted on arrival instead. Others are rejected with the time at which tokens are
 * expected for them (`team-account.ts`).
 */
import { pause, type Log } from '@finchpitch/core'
import { totalTokens, type QuotaCaller, type TokenSlice } from '@finchpitch/decisions'
import { maxServiceNameLength } from '@finchpitch/wire'
import { boottimeMs } from '../../clock.js'
import type { Limits } from '../../ports.js'
import type { FleetTeam, Quota } from '../../team.js'
import type { EntryCounters } from '../counters.js'
import { TeamAccount, unknownCaller } from './team-account.js'

/** Bounds of the time after which a rejected caller is told to retry. One that comes sooner is not recognized as returning (`FirstAttemptEstimator`). */
const retryRange = { minMs: 160, maxMs: 5000 }
/** Largest random addition to that time, as a share of it, so that callers don't return together. */
const retrySpread = 0.1
/** A team is no longer short when no request has been rejected for this long. */
const shortageEndMs = 1000

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

export interface QuotasOptions {
  limits: () => Limits
  /** An upper bound of the number of entries. */
  entries: () => number
  /** When this process started, on the boot-time clock. */
  startedAt: number
  /** Requests at once whatever this entry is short of. Resolves when that is answered or times out. Returns whether it was answered. */
  exchangeNow: () => Promise<boolean>
  counters: EntryCounters
  log: Log
}

export class Quotas {
  readonly #accounts = new Map<string, TeamAccount>()
  /** Accounts whose line is being served. */
  readonly #serving = new Set<TeamAccount>()
  /** Teams that are short of tokens, with the time of the last request that was rejected or had to wait longer than an exchange. */
  readonly #short = new Map<string, number>()
  #hasTeams = false

  constructor (private readonly options: QuotasOptions) {}

  get accounts (): ReadonlyMap<string, TeamAccount> {
    return this.#accounts
  }

  /** Applies the teams of a new table. Accounts are created before the first request, so that they earn tokens for it. */
  setTeams (teams: readonly FleetTeam[]): void {
    const { limits, entries, startedAt } = this.options
    const teamQuotas = new Map(teams.flatMap(({ name, quota }) => quota === undefined ? [] : [[name, quota] as const]))
    for (const name of this.#accounts.keys()) if (!teamQuotas.has(name)) this.#accounts.delete(name)
    for (const [name, quota] of teamQuotas) {
      const known = this.#accounts.get(name)
      // Quotas of later tables are new, so nothing was earned before.
      if (known === undefined) this.#accounts.set(name, new TeamAccount(quota, limits, entries, this.#hasTeams ? undefined : startedAt))
      else known.setQuota(quota)
    }
    this.#hasTeams = true
  }

  /** Reserves what the request to `service` costs, or returns the milliseconds after which its caller should retry. */
  async reserve (team: FleetTeam, stated: string | undefined, caller = unknownCaller, service = ''): Promise<Reservation | number> {
    const account = this.#accounts.get(team.name)
    if (account === undefined || team.quota === undefined) return { team: team.name, slices: [], spent: false }
    const tokens = costOf(team.quota, stated)
    const returning = caller.firstTriedMs > 0
    const ofService = service.slice(0, maxServiceNameLength)
    account.recordDemand(tokens, returning, ofService)
    const slices = account.admitsByShare
      ? await this.#admit(account, team.name, tokens, caller, ofService)
      : account.take(tokens, caller) ?? await this.#wait(account, team.name, tokens, caller)
    if (returning) this.options.counters.quotaReturning.inc({ result: slices === undefined ? 'rejected' : 'served' })
    return slices === undefined ? this.#reject(account, team.name, tokens, caller) : { team: team.name, slices, spent: false }
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
    const fresh = account.takeAgain(totalTokens(reservation.slices))
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

  /** Called periodically. */
  logEndedShortages (): void {
    for (const [team, at] of this.#short) {
      const account = this.#accounts.get(team)
      if (account?.hasWaiting === true || boottimeMs() - at < shortageEndMs) continue
      this.#short.delete(team)
      this.options.log.info('quota.short', { team, short: false, tokensWaiting: 0, tokensBooked: Math.round(account?.tokensBooked ?? 0) })
    }
  }

  async #wait (account: TeamAccount, team: string, tokens: number, caller: QuotaCaller): Promise<TokenSlice[] | undefined> {
    return await new Promise(resolve => {
      if (!account.join(tokens, caller, resolve)) resolve(undefined)
      else this.#startServing(account, team)
    })
  }

  /** Decides at once whether the request gets tokens, and waits for those that are not at hand. */
  async #admit (account: TeamAccount, team: string, tokens: number, caller: QuotaCaller, service: string): Promise<TokenSlice[] | undefined> {
    if (!account.admits(service, caller)) return undefined
    return account.takeAdmitted(tokens, caller) ?? await new Promise(resolve => {
      account.joinAdmitted(tokens, caller, resolve)
      this.#startServing(account, team)
    })
  }

  #startServing (account: TeamAccount, team: string): void {
    if (!this.#serving.has(account)) void this.#serveLine(account, team)
  }

  /** Requests tokens until the line of the team is empty. */
  async #serveLine (account: TeamAccount, team: string): Promise<void> {
    this.#serving.add(account)
    while (account.hasWaiting) {
      if (account.isShort) await pause(account.nextUpdateMs)
      else if (!await this.options.exchangeNow()) account.noteShortage(false)
      account.updateLine()
      if (account.hasWaiting && account.isShort) this.#noteShort(account, team)
    }
    this.#serving.delete(account)
  }

  #reject (account: TeamAccount, team: string, tokens: number, caller: QuotaCaller): number {
    const { booked, readyInMs } = account.book(tokens, caller)
    if (booked) this.options.counters.quotaTokensBooked.inc(tokens)
    this.#noteShort(account, team)
    const spread = 1 + Math.random() * retrySpread
    return Math.min(retryRange.maxMs, Math.max(retryRange.minMs, readyInMs) * spread)
  }

  #noteShort (account: TeamAccount, team: string): void {
    if (!this.#short.has(team)) this.options.log.info('quota.short', { team, short: true, tokensWaiting: Math.round(account.tokensWaiting), tokensBooked: Math.round(account.tokensBooked) })
    this.#short.set(team, boottimeMs())
  }
}
