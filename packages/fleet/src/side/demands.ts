/**
 * Demands and uses at one engine, as the entries tell them.
 */
import { Popularity } from '@finchpitch/decisions'
import { nowMs } from '../clock.js'
import type { Demand } from './placement.js'

/** An entry that still waits asks again well within this time. */
const demandMs = 1500

/** Demand moves on within seconds, so older uses say little about the next. */
const halfLifeMs = 10_000

/** An adapter just brought in is kept for the requests that asked for it, until the entry tells of their use. */
const freshMs = 500

/** Entries tell their uses several times a second; what one said before falling silent is then forgotten. */
const usesMs = 3000

interface Asked extends Omit<Demand, 'waitedMs'> {
  since: number
  /** When it was last asked for. */
  at: number
}

interface Uses {
  at: number
  /** Prompt tokens of its requests that the engine has not read yet. */
  unread: number
  running: Map<string, number>
}

export class Demands {
  readonly #asked = new Map<string, Asked>()
  readonly #popularity = new Map<string, Popularity>()
  readonly #uses = new Map<string, Uses>()
  readonly #fresh = new Map<string, number>()

  ask (demand: Omit<Demand, 'waitedMs'>): void {
    const now = nowMs()
    const before = this.#asked.get(demand.key)
    const priority = Math.min(demand.priority, before?.priority ?? Infinity)
    this.#asked.set(demand.key, { ...demand, priority, since: before?.since ?? now, at: now })
  }

  /** Something is asked for and neither met nor declined. */
  get any (): boolean {
    return this.#asked.size > 0
  }

  /** What is asked for and neither met nor declined. */
  keys (): Iterable<string> {
    return this.#asked.keys()
  }

  /** Ends a demand: it was met, or declined. */
  settle (key: string, met: boolean): void {
    if (!this.#asked.delete(key)) return
    if (met) this.#fresh.set(key, nowMs())
  }

  has (key: string): boolean {
    return this.#asked.has(key)
  }

  /** What is waited for before what only may be, the most urgent and then the longest list first. */
  current (): Demand[] {
    const now = nowMs()
    for (const [key, asked] of this.#asked) {
      if (now - asked.at > demandMs) this.#asked.delete(key)
    }
    return [...this.#asked.values()]
      .sort((a, b) => Number(b.waiting > 0) - Number(a.waiting > 0) || a.priority - b.priority || b.waiting - a.waiting || a.since - b.since)
      .map(asked => ({ ...asked, waitedMs: now - asked.since }))
  }

  /** Takes over what an entry tells of its uses; says whether one of the adapters fell idle there. */
  used (entry: string, uses: ReadonlyArray<readonly [key: string, started: number, running: number]>, unread = 0): boolean {
    const now = nowMs()
    const known = this.#uses.get(entry) ?? { at: now, unread, running: new Map<string, number>() }
    known.at = now
    known.unread = unread
    let idle = false
    for (const [key, started, running] of uses) {
      if (running === 0) idle = known.running.delete(key) || idle
      else known.running.set(key, running)
      const popularity = this.#popularity.get(key) ?? new Popularity(halfLifeMs)
      for (let each = 0; each < started; each++) popularity.add(now)
      this.#popularity.set(key, popularity)
      this.#fresh.delete(key)
    }
    this.#uses.set(entry, known)
    return idle
  }

  forget (entry: string): void {
    this.#uses.delete(entry)
  }

  /** Prompt tokens that requests of all entries have at the engine, not read yet. */
  get unread (): number {
    const now = nowMs()
    let sum = 0
    for (const { at, unread } of this.#uses.values()) if (now - at < usesMs) sum += unread
    return sum
  }

  popularity (key: string): number {
    return this.#popularity.get(key)?.at(nowMs()) ?? 0
  }

  /** Requests in progress, and one for an adapter that was brought in a moment ago. */
  uses (key: string): number {
    const now = nowMs()
    const fresh = now - (this.#fresh.get(key) ?? -Infinity) < freshMs ? 1 : 0
    let sum = fresh
    for (const { at, running } of this.#uses.values()) {
      if (now - at < usesMs) sum += running.get(key) ?? 0
    }
    return sum
  }
}
