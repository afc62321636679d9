/**
 * Pools spare rate-limit tokens of some entries for entries that are short of them: tokens of teams' quotas, and requests under
 * limits that servers advertise.
 *
 * Tokens for returning callers, which were rejected before, are granted first, over all entries. Tokens that entries set aside for
 * such callers are held for them for a short time.
 *
 * Entries choose the bank of a quota by rendezvous hashing, without coordination. If they disagree for a moment, tokens only
 * take longer to get where they are needed. Tokens carry their age and expire. Tokens whose transfer time can't be bounded are
 * taken as expired, and a bank starts empty after a restart.
 */
import { ExpiringTokens, sliceAgeMs, totalTokens, type TokenSlice } from '@finchpitch/decisions'
import type { FrameOf, AgedRequests, AgedTokens, ServiceTokenDemand, TokenDemand, TokensLeft } from '@finchpitch/wire'
import { boottimeMs } from '../clock.js'
import { RetryBank } from './retry-bank.js'
import { ServiceBank } from './service-bank.js'

/** Tokens set aside for returning callers are held for one to two times as long, in which callers return that were told the same time. */
const holdMs = 200
/** An entry's demand counts for this long. Entries report it four times per second while they lack tokens. */
const demandTtlMs = 1000
/** Lifetime of an unmet request for tokens. Entries repeat theirs every 250 ms while they need more. */
const unmetTtlMs = 600
/** Entries keep giving tokens of a team for this long after an entry last requested some. */
const needTtlMs = 10_000
/** A limit without exchanges for this long has ended or was replaced by another one. */
const limitTtlMs = 10_000
/** Tolerance for rounding errors when fractions add up to a whole request. */
const roundingTolerance = 1e-6

/** Tokens that an entry lacks: for waiting requests of returning callers, for those of others, and for its reserve. */
interface Shortfall { returning: number, waiting: number, reserve: number }

const noShortfall: Shortfall = { returning: 0, waiting: 0, reserve: 0 }

/** Tokens of one quota or one limit. */
class Pool {
  readonly tokens = new ExpiringTokens()
  /** Tokens set aside for returning callers: those of this period and of the one before. */
  #held = new ExpiringTokens()
  #heldBefore = new ExpiringTokens()
  #heldSince = -Infinity
  /** For each entry, what was not granted of its last request, and the time of that request. */
  readonly #unmet = new Map<string, Shortfall & { at: number }>()
  /** For each entry, its demand in tokens per second, and when it reported that. */
  readonly #demand = new Map<string, { perSecond: number, at: number }>()
  /** For each entry, the same by service. */
  readonly #serviceDemand = new Map<string, { perSecond: Map<string, number>, at: number }>()
  askedAt = -Infinity
  usedAt = boottimeMs()

  /** Holds tokens for returning callers. */
  hold (tokens: number, earnedAt: number): void {
    this.#releaseHeld(-Infinity)
    this.#held.add(tokens, earnedAt)
  }

  /** Takes up to `tokens` of those held for returning callers, earned after `since`. */
  takeHeld (tokens: number, since: number): TokenSlice[] {
    this.#releaseHeld(since)
    const taken = this.#heldBefore.takeUpTo(tokens, since)
    return [...taken, ...this.#held.takeUpTo(tokens - totalTokens(taken), since)]
  }

  /**
   * How many of the tokens that an entry requests it may get from those earned after `since`. Waiting requests are served in the
   * order in which their entries ran short, first those of returning callers: if each entry got a part, large requests would
   * wait for theirs at all entries at once. For reserves, the rest is divided in proportion to the unmet requests.
   */
  share (entry: string, wanted: Shortfall, since: number): number {
    const now = boottimeMs()
    this.askedAt = now
    const { ahead, all } = this.#unmetOfOthers(entry, now)
    const stock = this.tokens.total(since)
    const returning = between(0, wanted.returning, stock - ahead.returning)
    const waiting = between(0, wanted.waiting, stock - returning - all.returning - ahead.waiting)
    const spare = Math.max(0, stock - returning - waiting - all.returning - all.waiting)
    const reserve = wanted.reserve === 0 ? 0 : Math.min(wanted.reserve, spare * wanted.reserve / (wanted.reserve + all.reserve))
    return returning + waiting + reserve
  }

  /** An entry whose waiting requests are all served loses its place in the order. */
  noteUnmet (entry: string, wanted: Shortfall, granted: number): void {
    const returning = Math.max(0, wanted.returning - granted)
    const waiting = Math.max(0, wanted.waiting - Math.max(0, granted - wanted.returning))
    const reserve = Math.max(0, wanted.returning + wanted.waiting + wanted.reserve - granted - returning - waiting)
    if (returning + waiting === 0 || !isWaiting(this.#unmet.get(entry))) this.#unmet.delete(entry)
    this.#unmet.set(entry, { returning, waiting, reserve, at: boottimeMs() })
  }

  /** The entry has requested nothing more. */
  clearUnmet (entry: string): void {
    this.#unmet.delete(entry)
  }

  noteDemand (entry: string, perSecond: number): void {
    this.#demand.set(entry, { perSecond, at: boottimeMs() })
  }

  /** The demand at all entries that lately lacked tokens, in tokens per second. */
  get demand (): number {
    const now = boottimeMs()
    let sum = 0
    for (const [entry, { perSecond, at }] of this.#demand) {
      if (now - at > demandTtlMs) this.#demand.delete(entry)
      else sum += perSecond
    }
    return sum
  }

  /** Adds to what the entry reports in the same frame. */
  noteServiceDemand (entry: string, service: string, perSecond: number): void {
    const at = boottimeMs()
    const known = this.#serviceDemand.get(entry)
    if (known?.at === at) known.perSecond.set(service, perSecond)
    else this.#serviceDemand.set(entry, { perSecond: new Map([[service, perSecond]]), at })
  }

  /** The demand at all entries by service; empty if no entry was short of tokens lately. */
  get serviceDemand (): Map<string, number> {
    const now = boottimeMs()
    const sums = new Map<string, number>()
    for (const [entry, { perSecond, at }] of this.#serviceDemand) {
      if (now - at > demandTtlMs) this.#serviceDemand.delete(entry)
      else for (const [service, each] of perSecond) sums.set(service, (sums.get(service) ?? 0) + each)
    }
    return sums
  }

  /** Tokens that are left, without those that waiting requests lack. */
  left (since: number): number {
    const { all } = this.#unmetOfOthers(undefined, boottimeMs())
    return this.tokens.total(since) - all.returning - all.waiting
  }

  /** Callers that have not returned by now don't return, so the tokens held for them are for anybody. */
  #releaseHeld (since: number): void {
    const now = boottimeMs()
    if (now - this.#heldSince < holdMs) return
    this.tokens.addAll(this.#heldBefore.takeUpTo(Infinity, since))
    if (now - this.#heldSince >= 2 * holdMs) this.tokens.addAll(this.#held.takeUpTo(Infinity, since))
    ;[this.#held, this.#heldBefore] = [this.#heldBefore, this.#held]
    this.#heldSince = now
  }

  /** Whether some entry has waiting requests whose tokens were not granted. */
  isShort (now: number): boolean {
    for (const unmet of this.#unmet.values()) if (isWaiting(unmet) && now - unmet.at < unmetTtlMs) return true
    return false
  }

  /** What other entries lack: those that ran short before this one, and all of them. */
  #unmetOfOthers (entry: string | undefined, now: number): { ahead: Shortfall, all: Shortfall } {
    const all = { ...noShortfall }
    let ahead: Shortfall | undefined
    for (const [each, unmet] of this.#unmet) {
      if (each === entry) ahead = isWaiting(unmet) ? { ...all } : undefined
      else if (now - unmet.at > unmetTtlMs) this.#unmet.delete(each)
      else {
        all.returning += unmet.returning
        all.waiting += unmet.waiting
        all.reserve += unmet.reserve
      }
    }
    return { ahead: ahead ?? all, all }
  }
}

const isWaiting = (unmet: Shortfall | undefined): boolean => unmet !== undefined && unmet.returning + unmet.waiting > 0

const between = (min: number, max: number, value: number): number => Math.max(min, Math.min(max, value))

export class QuotaBank {
  readonly #teamPools = new Map<string, Pool>()
  readonly #limitPools = new Map<string, Pool>()
  readonly #services = new ServiceBank()
  readonly #retries = new RetryBank()

  /** Adds the tokens that an entry gives, and answers its requests with grants. */
  exchange (entry: string, { stamp, echo, gives, booked, wants, demand, serviceDemand, servers, services, retries }: FrameOf<'quota'>, lifetimeOf: (team: string) => number | undefined): FrameOf<'quota_grant'> {
    const now = boottimeMs()
    // The frame was sent after the echoed answer had arrived, so this bounds the time that it was in transit.
    const maxTransitMs = echo === undefined ? undefined : Math.max(0, now - (echo.stamp + echo.heldMs))
    if (maxTransitMs !== undefined) {
      for (const [team, tokens, ageMs] of gives) poolOf(this.#teamPools, team).tokens.add(tokens, now - ageMs - maxTransitMs)
      for (const [team, tokens, ageMs] of booked ?? []) poolOf(this.#teamPools, team).hold(tokens, now - ageMs - maxTransitMs)
      for (const [limit, requests, ageMs] of servers?.gives ?? []) poolOf(this.#limitPools, limit).tokens.add(requests, now - ageMs - maxTransitMs)
    }
    for (const [team, perSecond] of demand ?? []) poolOf(this.#teamPools, team).noteDemand(entry, perSecond)
    for (const [team, service, perSecond] of serviceDemand ?? []) poolOf(this.#teamPools, team).noteServiceDemand(entry, service, perSecond)
    const teams = new Set(wants.map(([team]) => team))
    for (const [team, pool] of this.#teamPools) if (!teams.has(team)) pool.clearUnmet(entry)
    const grants: AgedTokens[] = []
    for (const [team, tokens, returning = 0, waiting = 0] of wants) {
      const lifetimeMs = lifetimeOf(team)
      if (lifetimeMs === undefined) continue
      grants.push(...this.#grantTokens(entry, team, { returning, waiting, reserve: Math.max(0, tokens - returning - waiting) }, now - lifetimeMs))
    }
    const requests = servers?.wants.flatMap(([limit, count, lifetimeMs]) => this.#grantRequests(entry, limit, count, now - lifetimeMs))
    this.#removeIdleLimits(now)
    return { type: 'quota_grant', stamp, bankStamp: now, grants, needed: this.#teamsInNeed(now), ...this.#shortTeams(now, lifetimeOf), ...(requests === undefined ? {} : { servers: requests }), ...this.#servicesPart(entry, services, maxTransitMs), ...(retries === undefined ? {} : { retries: this.#retries.exchange(entry, retries, maxTransitMs) }) }
  }

  /** The part of an answer about busy plain services: entries that exchange nothing for them yet learn which are busy. */
  #servicesPart (entry: string, services: FrameOf<'quota'>['services'], maxTransitMs: number | undefined): Pick<FrameOf<'quota_grant'>, 'services'> {
    if (services === undefined && this.#services.isEmpty) return {}
    const part = this.#services.exchange(entry, services ?? { gives: [], wants: [], busy: [] }, maxTransitMs)
    return services === undefined && part.busy.length === 0 ? {} : { services: part }
  }

  #grantTokens (entry: string, team: string, wanted: Shortfall, since: number): AgedTokens[] {
    const pool = poolOf(this.#teamPools, team)
    const held = pool.takeHeld(wanted.returning, since)
    const rest = { ...wanted, returning: wanted.returning - totalTokens(held) }
    const part = pool.share(entry, rest, since)
    pool.noteUnmet(entry, rest, part)
    return [...held, ...pool.tokens.takeUpTo(part, since)].map(toAge(team))
  }

  /**
   * Grants whole requests only. With a limit of 1.3 requests a second divided among 26 entries, each would get a twentieth of a
   * request, which expires before it adds up to a whole one.
   */
  #grantRequests (entry: string, limit: string, count: number, since: number): AgedRequests[] {
    const pool = poolOf(this.#limitPools, limit)
    const wanted = { ...noShortfall, reserve: count }
    const share = Math.max(1, Math.floor(pool.share(entry, wanted, since)))
    const whole = Math.min(count, share, Math.floor(pool.tokens.total(since) + roundingTolerance))
    pool.noteUnmet(entry, wanted, whole)
    return pool.tokens.takeUpTo(whole, since).map(toAge(limit))
  }

  #teamsInNeed (now: number): string[] {
    const needed: string[] = []
    for (const [team, { askedAt }] of this.#teamPools) if (now - askedAt < needTtlMs) needed.push(team)
    return needed
  }

  /** Total demand of each team with requests that wait for tokens or that is over its quota, and what is left of its tokens. */
  #shortTeams (now: number, lifetimeOf: (team: string) => number | undefined): Pick<FrameOf<'quota_grant'>, 'demand' | 'serviceDemand' | 'left'> {
    const demand: TokenDemand[] = []
    const serviceDemand: ServiceTokenDemand[] = []
    const left: TokensLeft[] = []
    for (const [team, pool] of this.#teamPools) {
      const byService = pool.serviceDemand
      if (byService.size === 0 && !pool.isShort(now)) continue
      demand.push([team, pool.demand])
      for (const [service, perSecond] of byService) serviceDemand.push([team, service, perSecond])
      left.push([team, pool.left(now - (lifetimeOf(team) ?? 0))])
    }
    if (demand.length === 0) return {}
    return serviceDemand.length === 0 ? { demand } : { demand, serviceDemand, left }
  }

  #removeIdleLimits (now: number): void {
    for (const [limit, { usedAt }] of this.#limitPools) if (now - usedAt > limitTtlMs) this.#limitPools.delete(limit)
  }
}

const toAge = (name: string) => (slice: TokenSlice): [string, number, number] => [name, slice.tokens, sliceAgeMs(slice, boottimeMs())]

const poolOf = (pools: Map<string, Pool>, name: string): Pool => {
  const pool = pools.get(name) ?? new Pool()
  pools.set(name, pool)
  pool.usedAt = boottimeMs()
  return pool
}
