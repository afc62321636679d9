/**
 * A backoff that a backend server requested: whether requests may be sent to it, and how many at once after the backoff.
 *
 * An overloaded server rejects requests and states how long it wants none. That is no failure of the server and says nothing
 * about the request, so it is kept apart from failures. If all waiting requests were sent to it when the backoff ends, it would ask
 * for another one. So it first gets a single request, and its concurrency limit ramps up once that request has been answered.
 */

/** Longer backoffs are capped at this; then one request finds out whether the server still asks for backoff. */
export const maxBackoffMs = 600_000

/** After the first answer, the concurrency limit ramps up from one request to all slots over this time. */
const rampMs = 1000

export class ServerBackoff {
  #activeUntil = -Infinity
  /** When the first request after the backoff was answered; `undefined` until then. */
  #answeredAt: number | undefined = -Infinity

  /** Backs off for `ms` from `now`; never ends an earlier backoff sooner. Returns true if none was in effect. */
  ask (ms: number, now: number): boolean {
    const started = !this.active(now)
    this.#activeUntil = Math.max(this.#activeUntil, now + Math.min(ms, maxBackoffMs))
    this.#answeredAt = undefined
    return started
  }

  /** Whether the backoff is in effect, so that no request may be sent. */
  active (now: number): boolean {
    return now < this.#activeUntil
  }

  leftMs (now: number): number {
    return Math.max(0, this.#activeUntil - now)
  }

  /** Records an answer that requested no backoff. */
  recordAnswer (now: number): void {
    if (!this.active(now)) this.#answeredAt ??= now
  }

  /** Whether the ramp-up is complete, so that the server has no limit any more. */
  rampedUp (now: number): boolean {
    return !this.active(now) && this.#answeredAt !== undefined && now - this.#answeredAt >= rampMs
  }

  /** The number of requests that the server may have in progress; `slots` is how many it processes at once. */
  concurrencyLimit (slots: number, now: number): number {
    if (this.active(now)) return 0
    if (this.rampedUp(now)) return Infinity
    const rampedMs = this.#answeredAt === undefined ? 0 : now - this.#answeredAt
    return 1 + Math.floor(slots * rampedMs / rampMs)
  }
}
