/**
 * A local copy of one engine's state, built from the incremental updates that the engine's side process sends.
 *
 * An entry keeps one per engine. A side process keeps one per engine of another failure domain whose updates it relays to the
 * entries of its own domain.
 */
import type { EngineUpdateFrame } from '@finchpitch/wire'
import { nowMs } from './clock.js'
import { WarmCopies } from './warm-copies.js'

/**
 * The update that confirms an early load notice arrives well within this time. An adapter that was loaded and unloaded again in
 * between never appears in an update, so an unconfirmed notice expires.
 */
const noticeTimeoutMs = 1000

/** The state before the first update. */
const initialFields = { server: undefined, bornAt: undefined, leaving: false, reachable: false, lost: false, waiting: 0, running: 0, unread: 0, room: undefined, slotMs: 0, prefillMs: undefined, tokenMs: undefined, entries: 0, strangers: 0 }

/** The loaded models and adapters by key, each with its version. */
export type LoadedVersions = ReadonlyMap<string, number>

export class EngineMirror {
  /** Time of the last update, on the monotonic clock. */
  at = -Infinity
  /** Everything the engine is known to have loaded: by its updates and by early notices. */
  held: LoadedVersions = new Map()
  /** What the engine has loaded according to its updates alone. */
  #reported: LoadedVersions = new Map()
  /** Early load notices that no update has confirmed yet. */
  readonly #notices = new Map<string, { version: number, at: number }>()
  /** Adapters that are being loaded. */
  coming: readonly string[] = []
  /** Adapters that the engine has unloaded but probably still caches. */
  readonly warm = new WarmCopies()
  /** Whether its side process reaches the engine. */
  reachable = false
  /** The engine's id, if known. */
  server: string | undefined
  /** Start time of the engine, in Unix ms. */
  bornAt: number | undefined
  /** Whether the engine announced that it is draining. */
  leaving = false
  /** Requests queued at the engine. */
  waiting = 0
  /** Requests that the engine is processing. */
  running = 0
  /** Prompt tokens sent by all entries that the engine has not prefilled yet. */
  unread = 0
  /** Adapters that the engine could load now; `undefined` until its side process has reported it. */
  room: number | undefined
  /** Expected time in ms until one more demand gets a slot, while there is no room. */
  slotMs = 0
  /** Its pace as measured by all entries: ms per 1000 prompt tokens and per output token; `undefined` if unknown. */
  prefillMs: number | undefined
  tokenMs: number | undefined
  /** Entries in the engine's failure domain that are connected to its side process. */
  entries = 0
  /** Entries in other failure domains that subscribe to its updates directly, without a relay. */
  strangers = 0
  /** Whether the relay that forwards the updates has lost its connection to the engine's side process. */
  lost = false
  /** Number of changes to `held` or `coming`. */
  changes = 0

  /** Whether any update has been received. */
  get hasUpdates (): boolean {
    return this.at > -Infinity
  }

  /** Applies an update. A full update resets the fields that it omits; an incremental one leaves them as they are. */
  apply (frame: EngineUpdateFrame): void {
    this.at = nowMs()
    const before = frame.whole === true ? initialFields : this
    const server = frame.server === undefined ? before.server : frame.server ?? undefined
    const bornAt = frame.bornAt === undefined ? before.bornAt : frame.bornAt ?? undefined
    if (server !== this.server || bornAt !== this.bornAt) this.#reset()
    this.bornAt = bornAt
    this.#updateHeld(frame)
    for (const [key, version] of frame.warm ?? []) this.warm.add(key, version)
    this.server = server
    this.leaving = frame.leaving ?? before.leaving
    this.reachable = frame.reachable ?? before.reachable
    this.lost = frame.lost ?? before.lost
    this.waiting = frame.waiting ?? before.waiting
    this.running = frame.running ?? before.running
    this.unread = frame.unread ?? before.unread
    this.room = frame.room ?? before.room
    this.slotMs = frame.slotMs ?? before.slotMs
    this.prefillMs = frame.prefillMs === undefined ? before.prefillMs : frame.prefillMs ?? undefined
    this.tokenMs = frame.tokenMs === undefined ? before.tokenMs : frame.tokenMs ?? undefined
    this.entries = frame.entries ?? before.entries
    this.strangers = frame.strangers ?? before.strangers
  }

  /** The engine was replaced or restarted: its warm copies are gone, and earlier load notices are void. */
  #reset (): void {
    this.warm.clear()
    this.#notices.clear()
  }

  /** Handles an early notice, sent ahead of the next update, that the engine has loaded the adapter. */
  recordLoaded (key: string, version: number): void {
    this.#notices.set(key, { version, at: nowMs() })
    this.held = new Map(this.held).set(key, version)
    this.changes += 1
  }

  #updateHeld ({ whole, came, went, coming }: EngineUpdateFrame): void {
    if (coming !== undefined) this.coming = coming
    else if (whole === true) this.coming = []
    const changed = whole === true || came !== undefined || went !== undefined
    if (changed) this.#reported = this.#applyDelta(whole === true ? [] : this.#reported, came, went)
    const dropped = this.#dropNotices()
    if (changed || coming !== undefined || dropped) this.changes += 1
    if (!changed && !dropped) return
    const held = new Map(this.#reported)
    for (const [key, { version }] of this.#notices) held.set(key, version)
    this.held = held
  }

  #applyDelta (before: Iterable<[string, number]>, came: Record<string, number> = {}, went: string[] = []): LoadedVersions {
    const reported = new Map(before)
    for (const key of went) {
      const version = reported.get(key)
      if (version !== undefined) this.warm.add(key, version)
      reported.delete(key)
      this.#notices.delete(key)
    }
    for (const [key, version] of Object.entries(came)) reported.set(key, version)
    return reported
  }

  /** Drops early notices that have been confirmed or have expired. Returns whether there were any. */
  #dropNotices (): boolean {
    const before = this.#notices.size
    for (const [key, { at }] of this.#notices) if (this.at - at > noticeTimeoutMs || this.#reported.has(key)) this.#notices.delete(key)
    return this.#notices.size < before
  }
}
