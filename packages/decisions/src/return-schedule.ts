/**
 * The schedule of callers that were rejected and told when to return.
 *
 * Load: more requests than capacity, for seconds. Each caller that was told to return counts as a request ahead of its team's later
 * ones until its time has come, so that callers are told successive times instead of the same one. A caller that returned as told
 * is recognized by the time since its first attempt, as it may return to another process.
 */

/** The range of times told: a shorter one brings callers back before anything can change, a longer one is a guess. */
export const returnRange = { minMs: 100, maxMs: 5000 }
/** Random part of the time told, so that callers don't return together. */
const spread = 0.1
/** Precision of the record of what callers were told. */
const periodMs = 250

interface Booking {
  team: string
  dueAt: number
}

/** What callers were told that were rejected within `periodMs` from `startsAt`. */
interface ToldPeriod {
  startsAt: number
  earliestDueAt: number
}

export class ReturnSchedule {
  #bookings: Booking[] = []
  readonly #told: ToldPeriod[] = []

  /**
   * The time after which a caller is told to return, from its expected wait. `draw`: random number below 1. `keptMs`: callers wait no
   * longer than this, whatever they are told; a longer time can't be kept and is not booked.
   */
  tell (team: string, expectedMs: number, now: number, { draw, keptMs }: { draw: number, keptMs: number }): number {
    const ms = Math.ceil(Math.min(returnRange.maxMs, Math.max(returnRange.minMs, expectedMs) * (1 + spread * draw)))
    this.#recordTold(now + ms, now)
    if (ms <= keptMs) this.#bookings.push({ team, dueAt: now + ms })
    return ms
  }

  /** Number of the team's callers that were told to return and whose time has not come. */
  pending (team: string, now: number): number {
    if (this.#bookings.length === 0) return 0
    if (this.#bookings.some(({ dueAt }) => dueAt <= now)) this.#bookings = this.#bookings.filter(({ dueAt }) => dueAt > now)
    return this.#bookings.reduce((count, each) => count + (each.team === team ? 1 : 0), 0)
  }

  /**
   * Whether a caller that first tried `agoMs` ago waited as told: for at least the shortest time told since then. Callers that wait
   * for a part of the time told, or not at all, are not recognized.
   */
  waitedAsTold (agoMs: number, now: number): boolean {
    return this.#told.some(({ startsAt, earliestDueAt }) => startsAt + periodMs > now - agoMs && earliestDueAt <= now)
  }

  #recordTold (dueAt: number, now: number): void {
    while (now - (this.#told[0]?.startsAt ?? now) > returnRange.maxMs + periodMs) this.#told.shift()
    const last = this.#told.at(-1)
    if (last !== undefined && now < last.startsAt + periodMs) last.earliestDueAt = Math.min(last.earliestDueAt, dueAt)
    else this.#told.push({ startsAt: now, earliestDueAt: dueAt })
  }
}
