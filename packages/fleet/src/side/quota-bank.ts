/**
 * Pools spare rate-limit tokens of some entries for entries that are short of them: tokens of teams' quotas, and requests under
 * limits that servers advertise.
 *
 * Entries choose the bank of a quota by rendezvous hashing, without coordination. If they disagree for a moment, tokens only
 * take longer to get where they are needed. Tokens carry their age and expire. Tokens whose transfer time can't be bounded are
 * taken as expired, and a bank starts empty after a restart.
 */
import { ExpiringTokens, sliceAgeMs, type TokenSlice } from '@finchpitch/decisions'
import type { FrameOf, AgedRequests, AgedTokens } from '@finchpitch/wire'
import { boottimeMs } from '../clock.js'

/** Lifetime of an unmet request for tokens. Entries repeat theirs every 250 ms while they need more. */
const unmetTtlMs = 600
/** Entries keep giving tokens of a team for this long after an entry last requested some. */
const needTtlMs = 10_000
/** A limit without exchanges for this long has ended or was replaced by another one. */
const limitTtlMs = 10_000
/** Tolerance for rounding errors when fractions add up to a whole request. */
const roundingTolerance = 1e-6

/** Tokens of one quota or one limit. */
class Pool {
  readonly tokens = new ExpiringTokens()
  /** For each entry, the tokens of its last request that were not granted, and the time of that request. */
  readonly #unmet = new Map<string, { tokens: number, at: number }>()
  askedAt = -Infinity
  usedAt = boottimeMs()

  /**
   * How many of the `tokens` that an entry requests it may get from those earned after `since`. The stock is divided in
   * proportion to the unmet requests of all entries.
   */
  share (entry: string, tokens: number, since: number): number {
    const now = boottimeMs()
    this.askedAt = now
    return Math.min(tokens, this.tokens.total(since) * tokens / (tokens + this.#unmetOfOthers(entry, now)))
  }

  noteUnmet (entry: string, tokens: number): void {
    this.#unmet.set(entry, { tokens, at: boottimeMs() })
  }

  #unmetOfOthers (entry: string, now: number): number {
    let sum = 0
    for (const [each, { tokens, at }] of this.#unmet) {
      if (now - at > unmetTtlMs) this.#unmet.delete(each)
      else if (each !== entry) sum += tokens
    }
    return sum
  }
}

export class QuotaBank {
  readonly #teamPools = new Map<string, Pool>()
  readonly #limitPools = new Map<string, Pool>()

  /** Adds the tokens that an entry gives, and answers its requests with grants. */
  exchange (entry: string, { stamp, echo, gives, wants, servers }: FrameOf<'quota'>, lifetimeOf: (team: string) => number | undefined): FrameOf<'quota_grant'> {
    const now = boottimeMs()
    if (echo !== undefined) {
      // The frame was sent after the echoed answer had arrived, so this bounds the time that it was in transit.
      const maxTransitMs = Math.max(0, now - (echo.stamp + echo.heldMs))
      for (const [team, tokens, ageMs] of gives) poolOf(this.#teamPools, team).tokens.add(tokens, now - ageMs - maxTransitMs)
      for (const [limit, requests, ageMs] of servers?.gives ?? []) poolOf(this.#limitPools, limit).tokens.add(requests, now - ageMs - maxTransitMs)
    }
    const grants: AgedTokens[] = []
    for (const [team, tokens] of wants) {
      const lifetimeMs = lifetimeOf(team)
      if (lifetimeMs !== undefined) grants.push(...this.#grantTokens(entry, team, tokens, now - lifetimeMs))
    }
    const requests = servers?.wants.flatMap(([limit, count, lifetimeMs]) => this.#grantRequests(entry, limit, count, now - lifetimeMs))
    this.#removeIdleLimits(now)
    return { type: 'quota_grant', stamp, bankStamp: now, grants, needed: this.#teamsInNeed(now), ...(requests === undefined ? {} : { servers: requests }) }
  }

  #grantTokens (entry: string, team: string, tokens: number, since: number): AgedTokens[] {
    const pool = poolOf(this.#teamPools, team)
    const part = pool.share(entry, tokens, since)
    pool.noteUnmet(entry, tokens - part)
    return pool.tokens.takeUpTo(part, since).map(toAge(team))
  }

  /**
   * Grants whole requests only. With a limit of 1.3 requests a second divided among 26 entries, each would get a twentieth of a
   * request, which expires before it adds up to a whole one.
   */
  #grantRequests (entry: string, limit: string, count: number, since: number): AgedRequests[] {
    const pool = poolOf(this.#limitPools, limit)
    const share = Math.max(1, Math.floor(pool.share(entry, count, since)))
    const whole = Math.min(count, share, Math.floor(pool.tokens.total(since) + roundingTolerance))
    pool.noteUnmet(entry, count - whole)
    return pool.tokens.takeUpTo(whole, since).map(toAge(limit))
  }

  #teamsInNeed (now: number): string[] {
    const needed: string[] = []
    for (const [team, { askedAt }] of this.#teamPools) if (now - askedAt < needTtlMs) needed.push(team)
    return needed
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
