/**
 * An in-memory stand-in for the weight store. It limits the rate at which loads start, and slows loads down under concurrency.
 *
 * A limited number of concurrent loads run at full speed and take `loadMs` each. Beyond that number, a load takes longer by the ratio of
 * the concurrent loads to it.
 */
import { pause } from '@finchpitch/core'

export interface WeightStoreOptions {
  loadsPerSecond: number
  maxFullSpeedLoads: number
  loadMs: number
}

export class WeightStore {
  /** Sources whose loads fail. */
  readonly broken = new Set<string>()
  loads = 0
  #concurrentLoads = 0
  #nextStartAt = 0

  constructor (private readonly options: WeightStoreOptions) {}

  /** Loads weights. Resolves to false if `source` is marked as broken. */
  async fetch (source: string): Promise<boolean> {
    const { loadsPerSecond, maxFullSpeedLoads, loadMs } = this.options
    this.loads += 1
    const now = Date.now()
    const start = Math.max(now, this.#nextStartAt)
    this.#nextStartAt = start + 1000 / loadsPerSecond
    if (start > now) await pause(start - now)
    this.#concurrentLoads += 1
    const slowdown = Math.max(1, this.#concurrentLoads / maxFullSpeedLoads)
    await pause(loadMs * slowdown)
    this.#concurrentLoads -= 1
    return !this.broken.has(source)
  }
}
