/**
 * When an adapter on its way is likely to be there, so that the engine is looked at then and not some time after.
 */
import { Estimate } from '@finchpitch/decisions'
import { nowMs } from '../clock.js'

/** Before any load was seen: from the weight store, and from the engine's own memory. */
const startMs = { cold: 260, warm: 40 }
/** The first look is this part of the usual time after the order, so that the estimate can fall. */
const firstLookShare = 0.9
/** Between looks from then on. */
const closeLookMs = 12

interface Load {
  at: number
  version: number | undefined
  /** The engine has a copy at hand. */
  warm: boolean
}

export class LoadTimes {
  readonly #loading = new Map<string, Load>()
  readonly #usual = { cold: new Estimate(startMs.cold), warm: new Estimate(startMs.warm) }

  started (key: string, load: Load): void {
    this.#loading.set(key, load)
  }

  forget (key: string): void {
    this.#loading.delete(key)
  }

  /** The engine holds the key in this version: how long its load took, if it is one that was awaited. */
  held (key: string, version: number): { ms: number, warm: boolean } | undefined {
    const load = this.#loading.get(key)
    if (load === undefined || (load.version ?? version) !== version) return undefined
    this.#loading.delete(key)
    const ms = nowMs() - load.at
    this.#usual[load.warm ? 'warm' : 'cold'].add(ms)
    return { ms, warm: load.warm }
  }

  /** Until the next look at the engine, `mostMs` at most. */
  lookInMs (mostMs: number): number {
    const now = nowMs()
    let next = mostMs
    for (const { at, warm } of this.#loading.values()) {
      const due = at + this.#usual[warm ? 'warm' : 'cold'].value * firstLookShare - now
      next = Math.min(next, Math.max(closeLookMs, due))
    }
    return next
  }
}
