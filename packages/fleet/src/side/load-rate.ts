/**
 * This engine's share of the weight store's rate.
 *
 * The store allows so many loads over all engines within a sliding window. Each side process keeps to its own
 * part of that number, so the sum holds without anyone counting it.
 */
import { nowMs } from '../clock.js'

/** What the store allows in a window beyond its rate. */
const allowance = 3

export interface LoadShare {
  loadsPerSecond: number
  overage: number
  windowMs: number
  /** Engines of the service, and this one's place among them. */
  engines: number
  place: number
}

/** Whole loads a window; those that don't divide go to the first engines. */
export const shareOf = ({ loadsPerSecond, overage, windowMs, engines, place }: LoadShare): number => {
  const all = Math.floor(loadsPerSecond * overage * windowMs / 1000) + allowance
  return Math.floor(all / engines) + (place < all % engines ? 1 : 0)
}

export class LoadRate {
  #starts: number[] = []

  may (share: LoadShare): boolean {
    const since = nowMs() - share.windowMs
    this.#starts = this.#starts.filter(at => at > since)
    return this.#starts.length < shareOf(share)
  }

  started (): void {
    this.#starts.push(nowMs())
  }
}
