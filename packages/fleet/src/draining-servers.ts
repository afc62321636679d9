/**
 * Draining servers, as announced by the server itself or by the store. Draining is never reverted.
 *
 * The store may be unavailable while a server drains, and then lists the server as ready once it answers again; the server's record
 * may also expire and reappear. Draining applies to one incarnation of one server: it neither affects a later start under the same id nor
 * another server at the same address.
 */
import { nowMs } from './clock.js'
import { isEarlierIncarnation, type BackendServer } from './server.js'

/** One incarnation of a server: the time from one start to the next. */
export type ServerIncarnation = Pick<BackendServer, 'id' | 'bornAt'>

/** This long after a server was last listed, no message about it is in transit any more, not even an older copy of its record. */
const retentionMs = 60_000

interface DrainingServer {
  bornAt: number | undefined
  /** When it was last listed, or announced that it is draining, on the monotonic clock. */
  seenAt: number
}

export class DrainingServers {
  readonly #draining = new Map<string, DrainingServer>()

  /** Marks an incarnation as draining. Returns whether that is new. */
  note (incarnation: ServerIncarnation): boolean {
    const known = this.#draining.get(incarnation.id)
    if (known !== undefined && isEarlierIncarnation(incarnation.bornAt, known.bornAt)) return false
    if (this.has(incarnation)) return false
    this.#draining.set(incarnation.id, { bornAt: incarnation.bornAt, seenAt: nowMs() })
    return true
  }

  /** Whether this incarnation or a later one of the server is draining. An unknown start time matches every incarnation. */
  has ({ id, bornAt }: ServerIncarnation): boolean {
    const known = this.#draining.get(id)
    return known !== undefined && !isEarlierIncarnation(known.bornAt, bornAt)
  }

  /** Drops servers that have not been `listed` for the retention time. */
  expire (listed: ReadonlyMap<string, unknown>): void {
    const now = nowMs()
    for (const [id, server] of this.#draining) {
      if (listed.has(id)) server.seenAt = now
      else if (now - server.seenAt > retentionMs) this.#draining.delete(id)
    }
  }
}
