/**
 * Tokens of quotas that some entries gave away, for entries that need them.
 *
 * Whoever gives or asks meets here by hashing alone; a second bank for a moment costs nothing but a detour. Tokens come with
 * their age and lapse, those whose way here can't be bounded count as lapsed. A bank that restarts has none.
 */
import { TokenStock, ageOf, type TokenSlice } from '@finchpitch/decisions'
import type { FrameOf, TokenAge } from '@finchpitch/wire'
import { nowMs } from '../clock.js'

/** Entries ask again each quarter of a second while they need more. */
const askedMs = 600
/** Entries go on giving for a team that was short of tokens so lately. */
const neededMs = 10_000

interface TeamBank {
  stock: TokenStock
  /** What each entry last asked for, and when. */
  asked: Map<string, { tokens: number, at: number }>
  askedAt: number
}

export class QuotaBank {
  readonly #teams = new Map<string, TeamBank>()

  /** Takes what an entry gives and answers what it asks. */
  exchange (entry: string, { stamp, echo, gives, wants }: FrameOf<'quota'>, lifeMs: (team: string) => number | undefined): FrameOf<'quota_grant'> {
    const now = nowMs()
    if (echo !== undefined) {
      // It was sent after the answer that it echoes had come, so it can't have been under way for longer.
      const wayMs = Math.max(0, now - (echo.stamp + echo.heldMs))
      for (const [team, tokens, ageMs] of gives) this.#at(team).stock.add(tokens, now - ageMs - wayMs)
    }
    const grants: TokenAge[] = []
    for (const [team, tokens] of wants) {
      const life = lifeMs(team)
      if (life !== undefined) grants.push(...this.#grant(entry, team, tokens, now - life))
    }
    return { type: 'quota_grant', stamp, bankStamp: now, grants, needed: this.#needed(now) }
  }

  #grant (entry: string, team: string, tokens: number, since: number): TokenAge[] {
    const now = nowMs()
    const bank = this.#at(team)
    bank.askedAt = now
    bank.asked.set(entry, { tokens, at: now })
    let all = 0
    for (const [each, asked] of bank.asked) {
      if (now - asked.at > askedMs) bank.asked.delete(each)
      else all += asked.tokens
    }
    const part = Math.min(tokens, bank.stock.total(since) * tokens / Math.max(1, all))
    return bank.stock.takeUpTo(part, since).map((slice: TokenSlice): TokenAge => [team, slice.tokens, ageOf(slice, now)])
  }

  #needed (now: number): string[] {
    const needed: string[] = []
    for (const [team, { askedAt }] of this.#teams) if (now - askedAt < neededMs) needed.push(team)
    return needed
  }

  #at (team: string): TeamBank {
    const known = this.#teams.get(team)
    if (known !== undefined) return known
    const bank = { stock: new TokenStock(), asked: new Map(), askedAt: -Infinity }
    this.#teams.set(team, bank)
    return bank
  }
}
