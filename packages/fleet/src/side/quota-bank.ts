/**
 * Tokens of quotas that some entries gave away, for entries that need them.
 *
 * Whoever gives or asks meets here by hashing alone; a second bank for a moment costs nothing but a detour. Tokens come with
 * their age and lapse, those whose way here can't be bounded count as lapsed. A bank that restarts has none.
 */
import { TokenStock, ageOf, type TokenSlice } from '@finchpitch/decisions'
import type { FrameOf, TokenAge } from '@finchpitch/wire'
import { elapsedMs } from '../clock.js'

/** Entries ask again each quarter of a second while they need more. */
const askedMs = 600
/** Entries go on giving for a team that was short of tokens so lately. */
const neededMs = 10_000

interface TeamBank {
  stock: TokenStock
  /** What each entry last asked for and did not get, and when. */
  unmet: Map<string, { tokens: number, at: number }>
  askedAt: number
}

export class QuotaBank {
  readonly #teams = new Map<string, TeamBank>()

  /** Takes what an entry gives and answers what it asks. */
  exchange (entry: string, { stamp, echo, gives, wants }: FrameOf<'quota'>, lifeMs: (team: string) => number | undefined): FrameOf<'quota_grant'> {
    const now = elapsedMs()
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
    const now = elapsedMs()
    const bank = this.#at(team)
    bank.askedAt = now
    const part = Math.min(tokens, bank.stock.total(since) * tokens / (tokens + this.#unmetOfOthers(bank, entry)))
    bank.unmet.set(entry, { tokens: tokens - part, at: now })
    return bank.stock.takeUpTo(part, since).map((slice: TokenSlice): TokenAge => [team, slice.tokens, ageOf(slice, now)])
  }

  /** What they asked of late and did not get: they share with this entry what there is. */
  #unmetOfOthers ({ unmet }: TeamBank, entry: string): number {
    const now = elapsedMs()
    let sum = 0
    for (const [each, { tokens, at }] of unmet) {
      if (now - at > askedMs) unmet.delete(each)
      else if (each !== entry) sum += tokens
    }
    return sum
  }

  #needed (now: number): string[] {
    const needed: string[] = []
    for (const [team, { askedAt }] of this.#teams) if (now - askedAt < neededMs) needed.push(team)
    return needed
  }

  #at (team: string): TeamBank {
    const known = this.#teams.get(team)
    if (known !== undefined) return known
    const bank = { stock: new TokenStock(), unmet: new Map(), askedAt: -Infinity }
    this.#teams.set(team, bank)
    return bank
  }
}
