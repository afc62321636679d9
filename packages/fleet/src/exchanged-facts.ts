/**
 * Remembers the revisions of the facts that were exchanged with a peer last, so that none crosses a link twice in short order.
 *
 * What is remembered is bounded, since a side process has a link to each entry, and there are many more adapters than change at a time.
 * A fact that has been forgotten may be sent again, and the peer ignores it.
 */
import type { Fact } from './fact.js'

/** The number of facts after which the older half is forgotten. */
const generationSize = 2500

export class ExchangedFacts {
  #recent = new Map<string, number>()
  #older = new Map<string, number>()

  record ({ kind, key, revision }: Pick<Fact, 'kind' | 'key' | 'revision'>): void {
    this.#recent.set(idOf(kind, key), revision)
    if (this.#recent.size < generationSize) return
    this.#older = this.#recent
    this.#recent = new Map()
  }

  /** The revision that was exchanged last; 0 if it is not remembered. */
  revisionOf (kind: Fact['kind'], key: string): number {
    const id = idOf(kind, key)
    return this.#recent.get(id) ?? this.#older.get(id) ?? 0
  }
}

const idOf = (kind: Fact['kind'], key: string): string => `${kind} ${key}`
