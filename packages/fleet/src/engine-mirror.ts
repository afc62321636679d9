/**
 * What one process was told of one engine, put together from the differences that its side process sends.
 *
 * An entry keeps one for each engine; a side process keeps one for each engine of another failure domain whose news it
 * passes on to the entries near it.
 */
import type { HoldingFrame } from '@finchpitch/wire'
import { nowMs } from './clock.js'
import { WarmCopies } from './warm-copies.js'

/** News of what came follow well within this time. Where a key came and went in between, they say nothing of it. */
const arrivedMs = 1000

/** Before anything is told. */
const unknownFields = { server: undefined, bornAt: undefined, leaving: false, reachable: false, lost: false, waiting: 0, running: 0, unread: 0, entries: 0, strangers: 0 }

/** Keys held, each with its version. */
export type HeldKeys = ReadonlyMap<string, number>

export class EngineMirror {
  /** When it was last told, on the steady clock. */
  at = -Infinity
  /** All that it holds, as far as is known. */
  held: HeldKeys = new Map()
  /** What it holds by its news alone. */
  #told: HeldKeys = new Map()
  /** What it holds by a word sent ahead of the news. */
  readonly #arrived = new Map<string, { version: number, at: number }>()
  coming: readonly string[] = []
  readonly warm = new WarmCopies()
  reachable = false
  /** The engine's id where it is known. */
  server: string | undefined
  /** Unix ms of its start. */
  bornAt: number | undefined
  /** It says itself that it leaves. */
  leaving = false
  waiting = 0
  running = 0
  /** Prompt tokens of all entries that the engine has not read yet. */
  unread = 0
  /** Entries of the engine's failure domain, and entries elsewhere that are told directly. */
  entries = 0
  strangers = 0
  fence = 0
  /** Its side process is lost to the one that passes its news on. */
  lost = false
  /** Counts changes of what is held or coming. */
  changes = 0

  get told (): boolean {
    return this.at > -Infinity
  }

  take (frame: HoldingFrame): void {
    this.at = nowMs()
    const before = frame.whole === true ? unknownFields : this
    const server = frame.server === undefined ? before.server : frame.server ?? undefined
    const bornAt = frame.bornAt === undefined ? before.bornAt : frame.bornAt ?? undefined
    if (server !== this.server || bornAt !== this.bornAt) this.#begin()
    this.bornAt = bornAt
    this.#hold(frame)
    for (const [key, version] of frame.warm ?? []) this.warm.keep(key, version)
    this.server = server
    this.leaving = frame.leaving ?? before.leaving
    this.reachable = frame.reachable ?? before.reachable
    this.lost = frame.lost ?? before.lost
    this.waiting = frame.waiting ?? before.waiting
    this.running = frame.running ?? before.running
    this.unread = frame.unread ?? before.unread
    this.entries = frame.entries ?? before.entries
    this.strangers = frame.strangers ?? before.strangers
    this.fence = Math.max(this.fence, frame.fence ?? 0)
  }

  /** It is another engine, or has started again: it has nothing at hand, and words of before count no more. */
  #begin (): void {
    this.warm.clear()
    this.#arrived.clear()
  }

  /** The engine holds the key, by a word sent ahead of its news. */
  arrived (key: string, version: number): void {
    this.#arrived.set(key, { version, at: nowMs() })
    this.held = new Map(this.held).set(key, version)
    this.changes += 1
  }

  #hold ({ whole, came, went, coming }: HoldingFrame): void {
    if (coming !== undefined) this.coming = coming
    else if (whole === true) this.coming = []
    const differs = whole === true || came !== undefined || went !== undefined
    if (differs) this.#told = this.#toldAfter(whole === true ? [] : this.#told, came, went)
    const lapsed = this.#dropArrived()
    if (differs || coming !== undefined || lapsed) this.changes += 1
    if (!differs && !lapsed) return
    const held = new Map(this.#told)
    for (const [key, { version }] of this.#arrived) held.set(key, version)
    this.held = held
  }

  #toldAfter (before: Iterable<[string, number]>, came: Record<string, number> = {}, went: string[] = []): HeldKeys {
    const told = new Map(before)
    for (const key of went) {
      const version = told.get(key)
      if (version !== undefined) this.warm.keep(key, version)
      told.delete(key)
      this.#arrived.delete(key)
    }
    for (const [key, version] of Object.entries(came)) told.set(key, version)
    return told
  }

  /** Forgets words that the news should have confirmed by now; says whether there were any. */
  #dropArrived (): boolean {
    const before = this.#arrived.size
    for (const [key, { at }] of this.#arrived) if (this.at - at > arrivedMs || this.#told.has(key)) this.#arrived.delete(key)
    return this.#arrived.size < before
  }
}
