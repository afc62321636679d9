/**
 * A stand-in for the weight store: a rate of loads a second, and few places at full speed.
 *
 * A load past the full-speed places takes as much longer as there are loads to a place.
 */
import { pause } from '@finchpitch/core'

export interface WeightStoreOptions {
  loadsPerSecond: number
  fullSpeedPlaces: number
  loadMs: number
}

export class WeightStore {
  /** Sources whose loads fail. */
  readonly broken = new Set<string>()
  loads = 0
  #open = 0
  #nextStart = 0

  constructor (private readonly options: WeightStoreOptions) {}

  /** Resolves once the weights are there; false where they can't be had. */
  async fetch (source: string): Promise<boolean> {
    const { loadsPerSecond, fullSpeedPlaces, loadMs } = this.options
    this.loads += 1
    const now = Date.now()
    const start = Math.max(now, this.#nextStart)
    this.#nextStart = start + 1000 / loadsPerSecond
    if (start > now) await pause(start - now)
    this.#open += 1
    const slowdown = Math.max(1, this.#open / fullSpeedPlaces)
    await pause(loadMs * slowdown)
    this.#open -= 1
    return !this.broken.has(source)
  }
}
