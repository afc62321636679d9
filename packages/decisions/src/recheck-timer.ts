/**
 * When a process may send a server one request beyond the limit that the server advertises, to learn whether the limit still holds.
 *
 * Load pattern: many processes hold requests back for a server that none of them has heard from. Each waits for a random time, so
 * that all together send few such requests per second. Apart from the first part, the silence, that time passes only while requests
 * are held back. If it passed without demand too, every process would be allowed one such request after some minutes, and all would
 * send it when demand returns.
 */

/** Requests held back at least this often count as continuous demand. */
const maxDemandGapMs = 1000

export class RecheckTimer {
  #silentUntil: number
  /** For how much longer requests have to be held back. */
  #demandMs: number
  /** When a request was last held back. */
  #heldBackAt = -Infinity

  constructor (now: number, silenceMs: number, demandMs: number) {
    this.#silentUntil = now + silenceMs
    this.#demandMs = demandMs
  }

  /** Called when a request is held back. */
  recordDemand (now: number): void {
    const from = Math.max(this.#heldBackAt, this.#silentUntil)
    this.#heldBackAt = now
    if (now > from) this.#demandMs -= Math.min(maxDemandGapMs, now - from)
  }

  isDue (now: number): boolean {
    return now >= this.#silentUntil && this.#demandMs <= 0
  }
}
