/**
 * Tokens that some entries gave away, for entries that need them: of teams' quotas, and of limits that servers name.
 *
 * Whoever gives or asks meets here by hashing alone; a second bank for a moment costs nothing but a detour. Tokens come with
 * their age and lapse, those whose way here can't be bounded count as lapsed. A bank that restarts has none.
 */
import { TokenStock, ageOf, type TokenSlice } from '@finchpitch/decisions'
import type { FrameOf, RequestAge, TokenAge } from '@finchpitch/wire'
import { elapsedMs } from '../clock.js'

/** Entries ask again each quarter of a second while they need more. */
const askedMs = 600
/** Entries go on giving for a team that was short of tokens so lately. */
const neededMs = 10_000
/** A limit of which nobody gives or asks anything for so long has ended, or is another one now. */
const limitKeptMs = 10_000
/** What a sum of parts may lack of a whole request by rounding. */
const rounding = 1e-6

/** What is there of one quota or one limit. */
class Pool {
  readonly stock = new TokenStock()
  /** What each entry last asked for and did not get, and when. */
  readonly #unmet = new Map<string, { tokens: number, at: number }>()
  askedAt = -Infinity
  usedAt = elapsedMs()

  /** An entry asks for `tokens`; gives what it may have of what was earned since `since`: others that lack some share it. */
  share (entry: string, tokens: number, since: number): number {
    const now = elapsedMs()
    this.askedAt = now
    return Math.min(tokens, this.stock.total(since) * tokens / (tokens + this.#unmetOfOthers(entry, now)))
  }

  noteUnmet (entry: string, tokens: number): void {
    this.#unmet.set(entry, { tokens, at: elapsedMs() })
  }

  #unmetOfOthers (entry: string, now: number): number {
    let sum = 0
    for (const [each, { tokens, at }] of this.#unmet) {
      if (now - at > askedMs) this.#unmet.delete(each)
      else if (each !== entry) sum += tokens
    }
    return sum
  }
}

export class QuotaBank {
  readonly #teams = new Map<string, Pool>()
  readonly #limits = new Map<string, Pool>()

  /** Takes what an entry gives and answers what it asks. */
  exchange (entry: string, { stamp, echo, gives, wants, servers }: FrameOf<'quota'>, lifeMs: (team: string) => number | undefined): FrameOf<'quota_grant'> {
    const now = elapsedMs()
    if (echo !== undefined) {
      // It was sent after the answer that it echoes had come, so it can't have been under way for longer.
      const wayMs = Math.max(0, now - (echo.stamp + echo.heldMs))
      for (const [team, tokens, ageMs] of gives) at(this.#teams, team).stock.add(tokens, now - ageMs - wayMs)
      for (const [limit, requests, ageMs] of servers?.gives ?? []) at(this.#limits, limit).stock.add(requests, now - ageMs - wayMs)
    }
    const grants: TokenAge[] = []
    for (const [team, tokens] of wants) {
      const life = lifeMs(team)
      if (life !== undefined) grants.push(...this.#grant(entry, team, tokens, now - life))
    }
    const requests = servers?.wants.flatMap(([limit, count, life]) => this.#grantWhole(entry, limit, count, now - life))
    this.#expire(now)
    return { type: 'quota_grant', stamp, bankStamp: now, grants, needed: this.#needed(now), ...(requests === undefined ? {} : { servers: requests }) }
  }

  #grant (entry: string, team: string, tokens: number, since: number): TokenAge[] {
    const pool = at(this.#teams, team)
    const part = pool.share(entry, tokens, since)
    pool.noteUnmet(entry, tokens - part)
    return pool.stock.takeUpTo(part, since).map(toAge(team))
  }

  /**
   * Whole requests only. At 1.3 a second 26 entries that each get their part of what is there have a twentieth of a request
   * each, which lapses before it is one.
   */
  #grantWhole (entry: string, limit: string, count: number, since: number): RequestAge[] {
    const pool = at(this.#limits, limit)
    const share = Math.max(1, Math.floor(pool.share(entry, count, since)))
    const whole = Math.min(count, share, Math.floor(pool.stock.total(since) + rounding))
    pool.noteUnmet(entry, count - whole)
    return pool.stock.takeUpTo(whole, since).map(toAge(limit))
  }

  #needed (now: number): string[] {
    const needed: string[] = []
    for (const [team, { askedAt }] of this.#teams) if (now - askedAt < neededMs) needed.push(team)
    return needed
  }

  #expire (now: number): void {
    for (const [limit, { usedAt }] of this.#limits) if (now - usedAt > limitKeptMs) this.#limits.delete(limit)
  }
}

const toAge = (name: string) => (slice: TokenSlice): [string, number, number] => [name, slice.tokens, ageOf(slice, elapsedMs())]

const at = (pools: Map<string, Pool>, name: string): Pool => {
  const pool = pools.get(name) ?? new Pool()
  pools.set(name, pool)
  pool.usedAt = elapsedMs()
  return pool
}
