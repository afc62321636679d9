/**
 * Servers that leave, by their own word or by the store's, which neither takes back.
 *
 * The store can be away while a server leaves, and lists it as ready until it answers again; its entry may also lapse and come
 * back. What counts is one life of one server: the word is void for a later start under the same id, and says nothing of another
 * server at the same address.
 */
import { nowMs } from './clock.js'
import { isFormer, type BackendServer } from './server.js'

/** One life of a server. */
export type ServerLife = Pick<BackendServer, 'id' | 'bornAt'>

/** So long after a server was last listed nothing of it is under way any more, not even an older copy of its entry. */
const keptMs = 60_000

interface Leaver {
  bornAt: number | undefined
  /** When it was last listed, or said so itself, on the steady clock. */
  seenAt: number
}

export class Leavers {
  readonly #leavers = new Map<string, Leaver>()

  /** This life leaves; says whether that was not known. */
  note (life: ServerLife): boolean {
    const known = this.#leavers.get(life.id)
    if (known !== undefined && isFormer(life.bornAt, known.bornAt)) return false
    if (this.has(life)) return false
    this.#leavers.set(life.id, { bornAt: life.bornAt, seenAt: nowMs() })
    return true
  }

  has ({ id, bornAt }: ServerLife): boolean {
    const known = this.#leavers.get(id)
    return known !== undefined && !isFormer(known.bornAt, bornAt)
  }

  /** Forgets those that have not been `listed` for long. */
  expire (listed: ReadonlyMap<string, unknown>): void {
    const now = nowMs()
    for (const [id, leaver] of this.#leavers) {
      if (listed.has(id)) leaver.seenAt = now
      else if (now - leaver.seenAt > keptMs) this.#leavers.delete(id)
    }
  }
}
