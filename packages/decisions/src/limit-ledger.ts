/**
 * How many requests a second servers take, as they say it with their answers.
 *
 * Load pattern: a server in need names a figure, lowers and raises it, and names none once it is well. Its words cross each
 * other: answers of many requests come at many processes, and processes tell each other. A word was said at some moment between
 * the sending of its request and the coming of its answer. So a lower figure holds at once if it may be the newer word, and a
 * higher one, or none, only if it surely is: its request was sent after the lower one had come.
 */

/** What one answer said. */
export interface LimitWord {
  /** One life of one server. */
  server: string
  /** Requests a second from all entries together; `Infinity` where it named no limit. */
  perSecond: number
  /** When the request was sent, on the holder's steady clock, */
  sentAt: number
  /** and when its answer came. */
  heardAt: number
}

/** A limit of which nobody has heard for so long, or its end. */
const keepMs = 600_000
/** The servers of a large deployment, and as many of their former lives. */
const mostKept = 6000

export class LimitLedger {
  /** The one that was heard last is last. */
  readonly #words = new Map<string, LimitWord>()

  get size (): number {
    return this.#words.size
  }

  /** Requests a second that the server takes; `Infinity` where it is not known to have named a limit. */
  perSecond (server: string): number {
    return this.#words.get(server)?.perSecond ?? Infinity
  }

  /** Takes in a word. Says whether another figure holds now. */
  note (word: LimitWord): boolean {
    const known = this.#words.get(word.server)
    if (known === undefined) {
      if (word.perSecond === Infinity) return false
      this.#keep(word)
      return true
    }
    if (word.perSecond === known.perSecond) {
      this.#keep({ ...word, sentAt: Math.max(word.sentAt, known.sentAt), heardAt: Math.max(word.heardAt, known.heardAt) })
      return false
    }
    const holds = word.perSecond < known.perSecond ? word.heardAt > known.sentAt : word.sentAt >= known.heardAt
    if (holds) this.#keep(word)
    return holds
  }

  /** The limits that hold. */
  limits (): LimitWord[] {
    return [...this.#words.values()].filter(word => word.perSecond !== Infinity)
  }

  /** The server is gone for good. */
  forget (server: string): void {
    this.#words.delete(server)
  }

  expire (now: number): void {
    for (const [server, { heardAt }] of this.#words) if (now - heardAt > keepMs) this.#words.delete(server)
  }

  #keep (word: LimitWord): void {
    this.#words.delete(word.server)
    this.#words.set(word.server, word)
    for (const oldest of this.#words.keys()) {
      if (this.#words.size <= mostKept) return
      this.#words.delete(oldest)
    }
  }
}
