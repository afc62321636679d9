/**
 * Pools retries of a service that some entries don't need, for entries that lack some.
 *
 * Load: the attempts of one entry fail, or one has just started, while the budget of the others is left unused. Entries give only what
 * others lack, so each learns here how much that is.
 */
import { ExpiringTokens, sliceAgeMs, type TokenSlice } from '@finchpitch/decisions'
import type { AgedServiceRequests, FrameOf } from '@finchpitch/wire'
import { boottimeMs } from '../clock.js'

/** Lifetime of an unmet request for tokens. Entries repeat theirs every 250 ms. */
const unmetTtlMs = 600
/** A service without exchanges for this long is forgotten. */
const idleTtlMs = 10_000

type RetriesPart = NonNullable<FrameOf<'quota'>['retries']>
type RetriesGrant = NonNullable<FrameOf<'quota_grant'>['retries']>

class RetryPool {
  readonly stock = new ExpiringTokens()
  readonly #unmet = new Map<string, { tokens: number, at: number }>()
  usedAt = boottimeMs()

  /** Takes what an entry gets of the tokens that it wants: one retry, or its part of the stock if that is more. */
  grant (entry: string, wanted: number, since: number, now: number): TokenSlice[] {
    const stock = this.stock.total(since)
    const fairPart = wanted === 0 ? 0 : stock * wanted / (wanted + this.#unmetOfOthers(entry, now))
    const part = Math.min(wanted, stock, Math.max(fairPart, 1))
    this.#unmet.set(entry, { tokens: wanted - part, at: now })
    return this.stock.takeUpTo(part, since)
  }

  /** Tokens that other entries lack beyond the stock. */
  lacking (entry: string, since: number, now: number): number {
    return Math.max(0, this.#unmetOfOthers(entry, now) - this.stock.total(since))
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

export class RetryBank {
  readonly #pools = new Map<string, RetryPool>()

  /**
   * Adds what an entry gives and answers its requests. `maxTransitMs`: how long the frame may have been in transit; `undefined` if
   * that can't be bounded, so that what it gives is lost.
   */
  exchange (entry: string, { gives, wants }: RetriesPart, maxTransitMs: number | undefined): RetriesGrant {
    const now = boottimeMs()
    this.#removeIdle(now)
    if (maxTransitMs !== undefined) for (const [service, tokens, ageMs] of gives) this.#pool(service, now).stock.add(tokens, now - ageMs - maxTransitMs)
    const grants: AgedServiceRequests[] = []
    const lacking: RetriesGrant['lacking'] = []
    for (const [service, wanted, lifetimeMs] of wants) {
      const pool = this.#pool(service, now)
      for (const slice of pool.grant(entry, wanted, now - lifetimeMs, now)) grants.push([service, slice.tokens, sliceAgeMs(slice, now)])
      lacking.push([service, pool.lacking(entry, now - lifetimeMs, now)])
    }
    return { grants, lacking }
  }

  #pool (service: string, now: number): RetryPool {
    const pool = this.#pools.get(service) ?? new RetryPool()
    this.#pools.set(service, pool)
    pool.usedAt = now
    return pool
  }

  #removeIdle (now: number): void {
    for (const [service, { usedAt }] of this.#pools) if (now - usedAt > idleTtlMs) this.#pools.delete(service)
  }
}
