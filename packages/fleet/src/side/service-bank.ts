/**
 * Pools spare capacity of busy plain services: what entries give, for entries that lack it.
 *
 * Divides by teams first, so that a team gets no more by sending more or from more entries: max-min fair, with equal weights. A
 * team's part is then divided among the entries that ask for it. Part of the stock is kept from a team that asks for much, for those
 * that ask for less: their next requests would find none otherwise.
 */
import { DecayingSum, ExpiringTokens, divideMaxMin, sliceAgeMs, type TokenSlice } from '@finchpitch/decisions'
import type { AgedServiceRequests, FrameOf } from '@finchpitch/wire'
import { boottimeMs } from '../clock.js'

/** How long a token may be spent after it was earned. */
const lifetimeMs = 500
/** Tokens are dated in steps of this length: the usual ones are a fifth of the lifetime. */
const sliceMs = 25
/** Lifetime of an unmet request for tokens. Entries repeat theirs every 50 ms while requests wait. */
const unmetTtlMs = 300
const grantedHalfLifeMs = 250
/** The demand of this time is kept for teams that ask for less: the stock is filled again within about as long. */
const keptMs = 100
/** A team asks for less than another one if its recent claims are below this share of the other's. */
const lessShare = 0.5
/** A service counts as busy for this long after an entry reported it. */
const busyTtlMs = 1000
/** A team that got at least this share of what it asked for isn't short: the rest may be a rounding error. */
const satisfiedShare = 0.99
/** A service without exchanges for this long is forgotten. */
const idleTtlMs = 10_000

type ServicesPart = NonNullable<FrameOf<'quota'>['services']>
type ServicesGrant = NonNullable<FrameOf<'quota_grant'>['services']>

/** A team's requests for tokens. */
class TeamClaims {
  readonly #unmet = new Map<string, { tokens: number, at: number }>()
  readonly #granted = new DecayingSum(grantedHalfLifeMs)

  record (entry: string, tokens: number, now: number): void {
    this.#unmet.set(entry, { tokens, at: now })
  }

  meet (entry: string, tokens: number, now: number): void {
    const unmet = this.#unmet.get(entry)
    if (unmet !== undefined) unmet.tokens -= tokens
    this.#granted.add(tokens, now)
  }

  /** Unmet tokens of all entries. */
  unmet (now: number): number {
    let sum = 0
    for (const [entry, { tokens, at }] of this.#unmet) {
      if (now - at > unmetTtlMs) this.#unmet.delete(entry)
      else sum += tokens
    }
    return sum
  }

  /** Tokens granted lately, per ms. */
  rate (now: number): number {
    return this.#granted.at(now) * Math.LN2 / grantedHalfLifeMs
  }

  /** What the team asked for lately. */
  size (now: number): number {
    return this.unmet(now) + this.#granted.at(now)
  }
}

class ServicePool {
  readonly #tokens = new ExpiringTokens(sliceMs)
  readonly #claims = new Map<string, TeamClaims>()
  busyAt = -Infinity
  usedAt = boottimeMs()

  add (tokens: number, earnedAt: number): void {
    this.#tokens.add(tokens, earnedAt)
  }

  /** Takes the tokens that an entry gets of those that it wants for these teams. `short`: teams that got less than it wants. */
  grant (entry: string, wants: ReadonlyArray<readonly [team: string, tokens: number]>, now: number): { slices: TokenSlice[], short: string[] } {
    for (const [team, tokens] of wants) this.#claimsOf(team).record(entry, tokens, now)
    const since = now - lifetimeMs
    const stock = this.#tokens.total(since)
    const parts = divideMaxMin(stock, this.#unmet(now))
    let granted = 0
    const short: string[] = []
    for (const [team, tokens] of wants) {
      const claims = this.#claimsOf(team)
      const free = Math.max(0, stock - granted - this.#keptFrom(claims, now))
      const part = Math.min(tokens, free, (parts.get(team) ?? 0) * tokens / Math.max(tokens, claims.unmet(now)))
      claims.meet(entry, part, now)
      granted += part
      if (part < tokens * satisfiedShare) short.push(team)
    }
    return { slices: this.#tokens.takeUpTo(granted, since), short }
  }

  #unmet (now: number): Map<string, number> {
    const unmet = new Map<string, number>()
    for (const [team, claims] of this.#claims) unmet.set(team, claims.unmet(now))
    return unmet
  }

  /** Tokens that are kept for the teams that ask for less than this one. A single request says nothing about how much a team asks for. */
  #keptFrom (claims: TeamClaims, now: number): number {
    const limit = (claims.size(now) - 1) * lessShare
    let kept = 0
    for (const other of this.#claims.values()) if (other.size(now) < limit) kept += other.rate(now) * keptMs
    return kept
  }

  #claimsOf (team: string): TeamClaims {
    const known = this.#claims.get(team)
    if (known !== undefined) return known
    const claims = new TeamClaims()
    this.#claims.set(team, claims)
    return claims
  }
}

export class ServiceBank {
  readonly #pools = new Map<string, ServicePool>()

  /**
   * Adds what an entry gives and answers its requests. `maxTransitMs`: how long the frame may have been in transit; `undefined` if
   * that can't be bounded, so that what it gives is lost.
   */
  exchange (entry: string, { gives, wants, busy }: ServicesPart, maxTransitMs: number | undefined): ServicesGrant {
    const now = boottimeMs()
    if (maxTransitMs !== undefined) for (const [service, tokens, ageMs] of gives) this.#pool(service, now).add(tokens, now - ageMs - maxTransitMs)
    for (const service of busy) this.#pool(service, now).busyAt = now
    const grants: AgedServiceRequests[] = []
    const short: ServicesGrant['short'] = []
    for (const [service, wanted] of wants) {
      const granted = this.#pool(service, now).grant(entry, wanted, now)
      for (const slice of granted.slices) grants.push([service, slice.tokens, sliceAgeMs(slice, now)])
      if (granted.short.length > 0) short.push([service, granted.short])
    }
    return { grants, short, busy: this.busy(now) }
  }

  /** Services that entries have lately reported as busy. */
  busy (now: number): string[] {
    const names: string[] = []
    for (const [service, { busyAt, usedAt }] of this.#pools) {
      if (now - usedAt > idleTtlMs) this.#pools.delete(service)
      else if (now - busyAt < busyTtlMs) names.push(service)
    }
    return names
  }

  get isEmpty (): boolean {
    return this.#pools.size === 0
  }

  #pool (service: string, now: number): ServicePool {
    const pool = this.#pools.get(service) ?? new ServicePool()
    this.#pools.set(service, pool)
    pool.usedAt = now
    return pool
  }
}
