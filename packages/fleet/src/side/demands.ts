/**
 * Adapters and models that entries ask one engine to load (demands), and the requests that they run on it (uses), as the
 * entries report them.
 */
import { Popularity, SlotWait } from '@finchpitch/decisions'
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

/** What one entry demands: `waiting` of its requests wait for the key; with 0 it withdraws its demand. */
export interface EntryDemand {
  key: string
  version?: number | undefined
  waiting: number
  /** Rank of the most urgent of these requests. */
  priority: number
  /** The entry knows that the engine has no room, so the demand waits for a slot instead of being declined. */
  keep?: boolean | undefined
}

interface PendingDemand {
  key: string
  version: number | undefined
  since: number
  /** What each entry demanded last, and when. */
  byEntry: Map<string, EntryDemand & { at: number }>
}

/** What the uses reported by an entry changed. */
export interface UsesChange {
  /** The last request on a key has ended, over all entries. */
  idle: boolean
  /** A key came into use at this entry. */
  used: boolean
}

interface EntryUses {
  /** Time of the last report. */
  at: number
  /** Prompt tokens of the entry's requests that the engine has not prefilled yet. */
  unread: number
  running: Map<string, number>
}

export class Demands {
  readonly #pending = new Map<string, PendingDemand>()
  readonly #popularity = new Map<string, Popularity>()
  /** Uses by entry, the earliest report first. */
  readonly #uses = new Map<string, EntryUses>()
  /** Uses of entries whose last report has expired. They count again with the next report, which names only what has changed. */
  readonly #expiredUses = new Map<string, EntryUses>()
  /** Requests in progress by key, and unread prompt tokens, of all entries in `#uses`. */
  readonly #running = new Map<string, number>()
  #unread = 0
  readonly #loadedAt = new Map<string, number>()
  readonly #slotWait = new SlotWait(nowMs())

  ask (entry: string, demand: EntryDemand): void {
    const { key, version, waiting } = demand
    const now = nowMs()
    const pending = this.#pending.get(key) ?? { key, version, since: now, byEntry: new Map<string, EntryDemand & { at: number }>() }
    if (waiting > 0) pending.byEntry.set(entry, { ...demand, at: now })
    else pending.byEntry.delete(entry)
    pending.version = version ?? pending.version
    if (pending.byEntry.size > 0) this.#pending.set(key, pending)
    else this.#pending.delete(key)
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
   * Demands in the order in which to meet them: by the rank of the most urgent waiting request, then by the number of waiting
   * requests at all entries, then by age. Drops demands that were not repeated in time.
   */
  prioritized (): Demand[] {
    const now = nowMs()
    this.#dropExpired(now)
    return [...this.#pending.values()]
      .map(pending => combine(pending, now))
      .sort((a, b) => a.priority - b.priority || b.waiting - a.waiting || b.waitedMs - a.waitedMs)
  }

  #dropExpired (now: number): void {
    for (const [key, { byEntry }] of this.#pending) {
      for (const [entry, { at }] of byEntry) if (now - at > demandTtlMs) byEntry.delete(entry)
      if (byEntry.size === 0) this.#pending.delete(key)
    }
  }

  /** Expected time until one more demand gets a slot, with `queued` ahead of it. */
  slotMs (queued: number): number {
    return this.#slotWait.expectedMs(queued, nowMs())
  }

  /** Records the uses that an entry reports. */
  recordUses (entry: string, uses: ReadonlyArray<readonly [key: string, started: number, running: number]>, unread = 0): UsesChange {
    const now = nowMs()
    this.#expireUses(now)
    const entryUses = this.#takeUses(entry) ?? { at: now, unread: 0, running: new Map<string, number>() }
    this.#unread += unread - entryUses.unread
    entryUses.at = now
    entryUses.unread = unread
    this.#uses.set(entry, entryUses)
    const change = { idle: false, used: false }
    for (const [key, started, running] of uses) {
      this.#loadedAt.delete(key)
      this.#addRunning(key, running - (entryUses.running.get(key) ?? 0))
      if (running > 0) {
        change.used ||= !entryUses.running.has(key)
        entryUses.running.set(key, running)
      } else if (entryUses.running.delete(key) && this.uses(key) === 0) {
        change.idle = true
        this.#slotWait.recordRelease(now)
      }
      const popularity = this.#popularity.get(key) ?? new Popularity(demandHalfLifeMs)
      for (let each = 0; each < started; each++) popularity.add(now)
      this.#popularity.set(key, popularity)
    }
    return change
  }

  forgetEntry (entry: string): void {
    const entryUses = this.#uses.get(entry)
    if (entryUses !== undefined) this.#count(entryUses, -1)
    this.#uses.delete(entry)
    this.#expiredUses.delete(entry)
  }

  /** Prompt tokens of all entries' requests that the engine has not prefilled yet. */
  get unread (): number {
    this.#expireUses(nowMs())
    return this.#unread
  }

  popularity (key: string): number {
    return this.#popularity.get(key)?.at(nowMs()) ?? 0
  }

  /** Number of requests in progress, plus one for a key that was loaded a moment ago. */
  uses (key: string): number {
    const now = nowMs()
    this.#expireUses(now)
    const justLoaded = now - (this.#loadedAt.get(key) ?? -Infinity) < justLoadedMs ? 1 : 0
    return justLoaded + (this.#running.get(key) ?? 0)
  }

  /** Removes the entry's uses from the map, so that they can be added again as those of the latest report; they count from then on. */
  #takeUses (entry: string): EntryUses | undefined {
    const current = this.#uses.get(entry)
    if (current !== undefined) {
      this.#uses.delete(entry)
      return current
    }
    const expired = this.#expiredUses.get(entry)
    if (expired === undefined) return undefined
    this.#expiredUses.delete(entry)
    this.#count(expired, 1)
    return expired
  }

  #expireUses (now: number): void {
    for (const [entry, entryUses] of this.#uses) {
      if (now - entryUses.at < usesTtlMs) return
      this.#count(entryUses, -1)
      this.#uses.delete(entry)
      this.#expiredUses.set(entry, entryUses)
    }
  }

  /** Adds the entry's uses to the sums (`sign` 1), or subtracts them (-1). */
  #count ({ unread, running }: EntryUses, sign: 1 | -1): void {
    this.#unread += sign * unread
    for (const [key, count] of running) this.#addRunning(key, sign * count)
  }

  #addRunning (key: string, difference: number): void {
    const count = (this.#running.get(key) ?? 0) + difference
    if (count > 0) this.#running.set(key, count)
    else this.#running.delete(key)
  }
}

/** The demands of all entries for one key, taken together. */
const combine = ({ key, version, since, byEntry }: PendingDemand, now: number): Demand => {
  const demands = [...byEntry.values()]
  return {
    key,
    ...(version === undefined ? {} : { version }),
    waiting: demands.reduce((sum, { waiting }) => sum + waiting, 0),
    priority: Math.min(...demands.map(({ priority }) => priority)),
    keep: demands.some(({ keep }) => keep === true),
    waitedMs: now - since
  }
}
