/**
 * Limits an engine's loads from the weight store to its share of the store's rate limit.
 *
 * The weight store limits the loads of all engines together within a sliding window. Each side process keeps to its own part
 * of that limit, so the total holds without a shared counter. Only loads of base models are limited, not those of adapters.
 */
import { nowMs } from '../clock.js'

/** Loads in a window that the weight store allows in addition to its rate. */
const allowance = 3

export interface LoadRateShare {
  loadsPerSecond: number
  overage: number
  windowMs: number
  /** Number of engines of the service, and the index of this one among them. */
  engineCount: number
  engineIndex: number
}

/** This engine's loads per window, a whole number. The remainder of the division goes to the first engines. */
export const loadsPerWindow = ({ loadsPerSecond, overage, windowMs, engineCount, engineIndex }: LoadRateShare): number => {
  const total = Math.floor(loadsPerSecond * overage * windowMs / 1000) + allowance
  return Math.floor(total / engineCount) + (engineIndex < total % engineCount ? 1 : 0)
}

export class LoadRateLimiter {
  #startTimes: number[] = []

  allows (share: LoadRateShare): boolean {
    const since = nowMs() - share.windowMs
    this.#startTimes = this.#startTimes.filter(at => at > since)
    return this.#startTimes.length < loadsPerWindow(share)
  }

  recordLoad (): void {
    this.#startTimes.push(nowMs())
  }
}
