/**
 * Proofs that the routing table is the newest, from the store, when somebody needs one.
 *
 * A watch that waits proves nothing later than its start, so with watches alone a proof each 0.7 s takes a call each 0.7 s of
 * every reading entry. Here a short call is made only where a proof is asked for and the last one is older than `freshMs`.
 */
import { boottimeMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { FactSource } from '../ports.js'

/** A younger proof is good enough for whoever asks: half of the age at which entries ask, where keys must stop working in 5 s. */
const freshMs = 750
/** The store holds the answer no longer than that; it is the least that it takes for a wait. */
const waitMs = 1

export class TableProver {
  #running: Promise<void> | undefined

  /** `source`: of the routing table. */
  constructor (private readonly source: FactSource, private readonly facts: Facts, private readonly signal: AbortSignal) {}

  /** Asks the store unless there is a young proof; resolves with the answer or without one. */
  async prove (): Promise<void> {
    if (this.facts.freshness.ageMs <= freshMs) return
    this.#running ??= this.#ask()
    await this.#running
    this.#running = undefined
  }

  async #ask (): Promise<void> {
    const { facts } = this
    const { table: revision } = facts.complete
    // Before the first list there is nothing to go on from, and that list is a proof.
    if (revision === 0) return
    const began = boottimeMs()
    const page = await this.source.changes(revision, waitMs, this.signal)
    if (page.isErr()) return
    for (const fact of page.value.facts) facts.offer(fact, 'store')
    if ((page.value.unread ?? 0) === 0) facts.proveTable(began, page.value.revision)
  }
}
