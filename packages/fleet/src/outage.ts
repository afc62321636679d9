/**
 * What the tasks that watch the store for one process tell each other of it.
 */
import type { Fact } from './fact.js'

/** A call that failed puts the other watches in doubt, and so does the first that is answered after that: theirs may be older. */
export class Outage {
  #doubt = new AbortController()
  readonly #failing = new Set<Fact['kind']>()
  readonly #answered = new Set<Fact['kind']>()

  /** Aborts when a task's call failed, or was the first to be answered again. */
  get signal (): AbortSignal {
    return this.#doubt.signal
  }

  /** How often the store's history was found gone; who has listed since an earlier count lists again. */
  compactions = 0

  /** One task found the history gone. A watch that was renewed in between may hang on it and say nothing. */
  compacted (): void {
    this.compactions += 1
    this.noticed()
  }

  /** The store did not answer the last call of one of the tasks. */
  get failing (): boolean {
    return this.#failing.size > 0
  }

  /** The store answered one of them since they began to watch. */
  get answered (): boolean {
    return this.#answered.size > 0
  }

  /** How the store answered the last call of one of the tasks. */
  note (kind: Fact['kind'], answered: boolean): void {
    const returned = answered && this.failing && !this.answered
    this.forget(kind)
    const kinds = answered ? this.#answered : this.#failing
    kinds.add(kind)
    if (returned) this.noticed()
  }

  /** One of the tasks no longer watches. */
  forget (kind: Fact['kind']): void {
    this.#answered.delete(kind)
    this.#failing.delete(kind)
  }

  /** Has all calls that are under way, and all that rest after a failure, made anew. */
  noticed (): void {
    this.#doubt.abort()
    this.#doubt = new AbortController()
  }
}
