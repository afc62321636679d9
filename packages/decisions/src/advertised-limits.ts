/**
 * Records the request rate that each server accepts, as it states it in its responses.
 *
 * An overloaded server states a limit, lowers and raises it, and drops it once it has recovered. Its statements arrive out of order:
 * many processes receive responses from it and pass on what they read. All that is known of a statement is that it was made between
 * the sending of the request and the arrival of the response. A lower limit is therefore applied at once if it may be the more
 * recent one, and a higher one, or none, only if it certainly is: if its request was sent after the response with the lower one had
 * arrived.
 */

/** The limit that one response stated. */
export interface AdvertisedLimit {
  /** One incarnation of a server; a restarted server counts as another one. */
  server: string
  /** Requests per second from all entry processes together; `Infinity` for no limit. */
  perSecond: number
  /** When the request was sent, on the monotonic clock of this process. */
  sentAt: number
  /** When the response arrived, on the same clock. */
  heardAt: number
}

/** A limit, or the statement that there is none, expires when it has not been stated again for this long. */
const retentionMs = 600_000
/** Covers the servers of a large deployment, and as many former incarnations. */
const maxServers = 6000

export class AdvertisedLimits {
  /** In the order of their last statements, the least recent first. */
  readonly #limits = new Map<string, AdvertisedLimit>()

  get size (): number {
    return this.#limits.size
  }

  /** Requests per second that the server accepts; `Infinity` if no limit is known. */
  perSecond (server: string): number {
    return this.#limits.get(server)?.perSecond ?? Infinity
  }

  /** Records a statement. Returns true if that changed the limit in effect. */
  note (limit: AdvertisedLimit): boolean {
    const known = this.#limits.get(limit.server)
    if (known === undefined) {
      if (limit.perSecond === Infinity) return false
      this.#store(limit)
      return true
    }
    if (limit.perSecond === known.perSecond) {
      this.#store({ ...limit, sentAt: Math.max(limit.sentAt, known.sentAt), heardAt: Math.max(limit.heardAt, known.heardAt) })
      return false
    }
    const holds = limit.perSecond < known.perSecond ? limit.heardAt > known.sentAt : limit.sentAt >= known.heardAt
    if (holds) this.#store(limit)
    return holds
  }

  /** Whether a statement repeats the limit in effect and arrived at least `minNewerMs` after the last one. Call it before `note`. */
  confirms ({ server, perSecond, heardAt }: AdvertisedLimit, minNewerMs: number): boolean {
    const known = this.#limits.get(server)
    return known?.perSecond === perSecond && heardAt - known.heardAt >= minNewerMs
  }

  /** The limits in effect. */
  limits (): AdvertisedLimit[] {
    return [...this.#limits.values()].filter(limit => limit.perSecond !== Infinity)
  }

  /** Removes a server that will not come back. */
  remove (server: string): void {
    this.#limits.delete(server)
  }

  expire (now: number): void {
    for (const [server, { heardAt }] of this.#limits) if (now - heardAt > retentionMs) this.#limits.delete(server)
  }

  #store (limit: AdvertisedLimit): void {
    this.#limits.delete(limit.server)
    this.#limits.set(limit.server, limit)
    for (const oldest of this.#limits.keys()) {
      if (this.#limits.size <= maxServers) return
      this.#limits.delete(oldest)
    }
  }
}
