/**
 * The schedule of callers that were rejected and told when to return.
 *
 * Load: more requests than capacity, for seconds. Only as many callers are promised capacity as a part of the starts can serve, one
 * after the other; each counts as a request ahead of its team's later ones until its time has come. All others are told when capacity
 * is expected after those that were told a time and return, but more than they can wait. Callers may return to another process, which knows by the same rule
 * whether one was promised capacity (`return-promise.ts`).
 */
import { beyondFactor, type ReturnWindow } from './return-promise.js'

/** The range of times told: a shorter one brings callers back before anything can change, a longer one is a guess. */
export const returnRange = { minMs: 100, maxMs: 5000 }
/** Random part of the time told, so that callers don't return together. */
const spread = 0.1
interface Booking {
  team: string
  dueAt: number
}

export interface ReturnRequest {
  team: string
  /** The expected wait of its request. */
  expectedMs: number
  /** Time between promises that can be kept. */
  everyMs: number
  /** Expected time between starts; by default as long. */
  startEveryMs?: number
  window: ReturnWindow
  /** Random number below 1. */
  draw: number
}

export interface ToldTime {
  ms: number
  /** Capacity is kept for its return. */
  promised: boolean
}

export class ReturnSchedule {
  #bookings: Booking[] = []
  /** When the last caller returns that was promised capacity. */
  #promisedUntil = -Infinity
  /** When capacity is expected for all callers that were told a time. */
  #toldUntil = -Infinity

  /** The time after which a caller is told to return. */
  tell ({ team, expectedMs, everyMs, startEveryMs = everyMs, window: { earliestMs, latestMs, longestMs }, draw }: ReturnRequest, now: number): ToldTime {
    const spreadFactor = 1 + spread * draw
    const expectedAt = Math.max(this.#toldUntil, now + expectedMs) + startEveryMs
    // A caller that does not return takes no start from those told later.
    if (latestMs !== -Infinity) this.#toldUntil = Math.min(now + returnRange.maxMs, expectedAt)
    const soonestMs = Math.max(returnRange.minMs, earliestMs, expectedMs, this.#promisedUntil + everyMs - now)
    if (soonestMs > latestMs) {
      const ms = Math.max(expectedAt - now, longestMs * beyondFactor)
      return { ms: Math.ceil(Math.min(returnRange.maxMs, ms * spreadFactor)), promised: false }
    }
    const ms = Math.floor(Math.min(latestMs, soonestMs * spreadFactor))
    this.#promisedUntil = now + soonestMs
    this.#bookings.push({ team, dueAt: now + ms })
    return { ms, promised: true }
  }

  /** Number of the team's callers that were promised capacity and whose time has not come. */
  pending (team: string, now: number): number {
    if (this.#bookings.length === 0) return 0
    if (this.#bookings.some(({ dueAt }) => dueAt <= now)) this.#bookings = this.#bookings.filter(({ dueAt }) => dueAt > now)
    return this.#bookings.reduce((count, each) => count + (each.team === team ? 1 : 0), 0)
  }
}
