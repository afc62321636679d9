/**
 * The availability of the store, shared by the tasks of one process that watch it.
 *
 * When a call of one task fails, calls of the others may hang on the same outage, so they are aborted and repeated. The same
 * happens at the first answer after an outage, since calls that began before the store recovered may never be answered.
 */
import type { Fact } from './fact.js'

/** Records which tasks the store answers, and signals when all of them should repeat their calls. */
export class StoreHealth {
  #recheck = new AbortController()
  readonly #failing = new Set<Fact['kind']>()
  readonly #answered = new Set<Fact['kind']>()

  /** Aborts when a task's call failed, or was the first to be answered after an outage. */
  get recheckSignal (): AbortSignal {
    return this.#recheck.signal
  }

  /** How often the store's history was found gone, by compaction or a restore. A task that last listed at an earlier count lists again. */
  historyLosses = 0

  /** Records that a task found the history gone. Other watches, even renewed ones, may then hang without an error. */
  noteHistoryLoss (): void {
    this.historyLosses += 1
    this.recheck()
  }

  /** Whether the last call of any task failed. */
  get failing (): boolean {
    return this.#failing.size > 0
  }

  /** Whether the last call of any task was answered. */
  get answered (): boolean {
    return this.#answered.size > 0
  }

  /** Records whether the last call of a task was answered. */
  note (kind: Fact['kind'], answered: boolean): void {
    const recovered = answered && this.failing && !this.answered
    this.forget(kind)
    const kinds = answered ? this.#answered : this.#failing
    kinds.add(kind)
    if (recovered) this.recheck()
  }

  /** Drops the state of a task that no longer watches. */
  forget (kind: Fact['kind']): void {
    this.#answered.delete(kind)
    this.#failing.delete(kind)
  }

  /** Makes all tasks repeat their calls: those in flight, and those that back off after a failure. */
  recheck (): void {
    this.#recheck.abort()
    this.#recheck = new AbortController()
  }
}
