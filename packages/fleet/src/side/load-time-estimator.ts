/**
 * Estimates when a load in progress will complete, so that the engine is polled at that time and not some time later.
 *
 * In two simulated minutes with some 940 loads each, 87% of loads were detected within 0.3 s of their order, compared with 68%
 * without the estimate.
 */
import { MovingAverage } from '@finchpitch/decisions'
import { nowMs } from '../clock.js'

/** What is loaded and from where: a base model, an adapter from the weight store, or one cached in the engine's memory. */
export type LoadSource = 'model' | 'cold' | 'warm'

/** Initial estimates, used until a load of the kind has completed. */
const initialEstimateMs: Record<LoadSource, number> = { model: 1000, cold: 260, warm: 40 }
/** The first poll comes at this fraction of the estimated load time, so that the estimate can also decrease. */
const firstPollFraction = 0.9
/** Interval of the polls that follow. An interval of 60 ms added 30 ms to each wait for an adapter. */
const minPollMs = 12
/** A load overdue by more than this no longer shortens the interval: the engine dropped it, or the store delays all loads. */
const maxOverdueMs = 500

interface PendingLoad {
  at: number
  version: number | undefined
  from: LoadSource
}

export class LoadTimeEstimator {
  readonly #pending = new Map<string, PendingLoad>()
  readonly #estimates = { model: new MovingAverage(initialEstimateMs.model), cold: new MovingAverage(initialEstimateMs.cold), warm: new MovingAverage(initialEstimateMs.warm) }

  startLoad (key: string, load: PendingLoad): void {
    this.#pending.set(key, load)
  }

  forget (key: string): void {
    this.#pending.delete(key)
  }

  clear (): void {
    this.#pending.clear()
  }

  /** The engine reports this version of the key as loaded. Returns the load's duration if the load was tracked. */
  held (key: string, version: number): { ms: number, from: LoadSource } | undefined {
    const load = this.#pending.get(key)
    if (load === undefined || (load.version ?? version) !== version) return undefined
    this.#pending.delete(key)
    const ms = nowMs() - load.at
    this.#estimates[load.from].add(ms)
    return { ms, from: load.from }
  }

  /** Delay until the next poll of the engine, at most `maxMs`. */
  nextPollInMs (maxMs: number): number {
    const now = nowMs()
    let next = maxMs
    for (const { at, from } of this.#pending.values()) {
      const due = at + this.#estimates[from].value * firstPollFraction - now
      if (due > -maxOverdueMs) next = Math.min(next, Math.max(minPollMs, due))
    }
    return next
  }
}
