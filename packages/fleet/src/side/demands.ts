/**
 * Adapters and models that entries ask one engine to load (demands), and the requests that they run on it (uses), as the
 * entries report them.
 */
import { Popularity } from '@finchpitch/decisions'
import { nowMs } from '../clock.js'
import type { Demand } from './placement.js'

/** Entries that still wait repeat their demand well within this time. */
const demandTtlMs = 1500

/** Demand shifts within seconds, so older uses predict little about the next ones. */
const demandHalfLifeMs = 10_000

/** Protects an adapter from eviction after its load, until the entry that demanded it reports its use. */
const justLoadedMs = 500

/** Entries report uses several times a second. The last report of an entry that falls silent expires after this time. */
const usesTtlMs = 3000

interface PendingDemand extends Omit<Demand, 'waitedMs'> {
  since: number
  /** Time of the latest request for it. */
  at: number
}

interface EntryUses {
  at: number
  /** Prompt tokens of the entry's requests that the engine has not prefilled yet. */
  unread: number
  running: Map<string, number>
}

export class Demands {
  readonly #pending = new Map<string, PendingDemand>()
  readonly #popularity = new Map<string, Popularity>()
  readonly #uses = new Map<string, EntryUses>()
  readonly #loadedAt = new Map<string, number>()

  ask (demand: Omit<Demand, 'waitedMs'>): void {
    const now = nowMs()
    const before = this.#pending.get(demand.key)
    const priority = Math.min(demand.priority, before?.priority ?? Infinity)
    this.#pending.set(demand.key, { ...demand, priority, since: before?.since ?? now, at: now })
  }

  /** Whether any demand is neither met nor declined. */
  get hasPending (): boolean {
    return this.#pending.size > 0
  }

  /** Keys of demands that are neither met nor declined. */
  keys (): Iterable<string> {
    return this.#pending.keys()
  }

  /** Ends a demand that was met or declined. */
  resolve (key: string, met: boolean): void {
    if (!this.#pending.delete(key)) return
    if (met) this.#loadedAt.set(key, nowMs())
  }

  has (key: string): boolean {
    return this.#pending.has(key)
  }

  /**
   * Demands in the order in which to meet them: those with waiting requests first, then by priority, number of waiting requests
   * and age. Drops demands that were not repeated in time.
   */
  prioritized (): Demand[] {
    const now = nowMs()
    for (const [key, pending] of this.#pending) {
      if (now - pending.at > demandTtlMs) this.#pending.delete(key)
    }
    return [...this.#pending.values()]
      .sort((a, b) => Number(b.waiting > 0) - Number(a.waiting > 0) || a.priority - b.priority || b.waiting - a.waiting || a.since - b.since)
      .map(pending => ({ ...pending, waitedMs: now - pending.since }))
  }

  /** Records the uses that an entry reports. Returns whether one of the keys became idle at that entry. */
  recordUses (entry: string, uses: ReadonlyArray<readonly [key: string, started: number, running: number]>, unread = 0): boolean {
    const now = nowMs()
    const entryUses = this.#uses.get(entry) ?? { at: now, unread, running: new Map<string, number>() }
    entryUses.at = now
    entryUses.unread = unread
    let idle = false
    for (const [key, started, running] of uses) {
      if (running === 0) idle = entryUses.running.delete(key) || idle
      else entryUses.running.set(key, running)
      const popularity = this.#popularity.get(key) ?? new Popularity(demandHalfLifeMs)
      for (let each = 0; each < started; each++) popularity.add(now)
      this.#popularity.set(key, popularity)
      this.#loadedAt.delete(key)
    }
    this.#uses.set(entry, entryUses)
    return idle
  }

  forgetEntry (entry: string): void {
    this.#uses.delete(entry)
  }

  /** Prompt tokens of all entries' requests that the engine has not prefilled yet. */
  get unread (): number {
    const now = nowMs()
    let sum = 0
    for (const { at, unread } of this.#uses.values()) if (now - at < usesTtlMs) sum += unread
    return sum
  }

  popularity (key: string): number {
    return this.#popularity.get(key)?.at(nowMs()) ?? 0
  }

  /** Number of requests in progress, plus one for a key that was loaded a moment ago. */
  uses (key: string): number {
    const now = nowMs()
    const justLoaded = now - (this.#loadedAt.get(key) ?? -Infinity) < justLoadedMs ? 1 : 0
    let sum = justLoaded
    for (const { at, running } of this.#uses.values()) {
      if (now - at < usesTtlMs) sum += running.get(key) ?? 0
    }
    return sum
  }
}
