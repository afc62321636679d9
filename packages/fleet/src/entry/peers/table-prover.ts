/**
 * Gets proofs from the store that the routing table is current, on demand.
 *
 * A waiting watch call proves only that the table was current when the call began. With watches alone, one proof each 0.7 s
 * would therefore take one call each 0.7 s from every entry that watches the store. Instead, a short call is made only when a
 * proof is requested and the last one is older than `recentMs`.
 */
import { boottimeMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { FactSource } from '../../ports.js'

/** A proof no older than this is recent enough: half the age at which entries request a new one if keys must stop working within 5 s. */
const recentMs = 750
/** How long the store may hold the call if nothing has changed: the shortest wait that it accepts. */
const waitMs = 1

export class TableProver {
  #pending: Promise<void> | undefined

  /** `source`: the source of the routing table. */
  constructor (private readonly source: FactSource, private readonly facts: Facts, private readonly signal: AbortSignal) {}

  /** Calls the store unless there is a recent proof. Resolves when the call ends, whether or not it gave a proof. */
  async ensureProof (): Promise<void> {
    if (this.facts.freshness.ageMs <= recentMs) return
    this.#pending ??= this.#callStore()
    await this.#pending
    this.#pending = undefined
  }

  async #callStore (): Promise<void> {
    const { facts } = this
    const { table: revision } = facts.complete
    // Before the first list there is no revision to ask for changes from, and the list itself is a proof.
    if (revision === 0) return
    const startedAt = boottimeMs()
    const page = await this.source.changes(revision, waitMs, this.signal)
    if (page.isErr()) return
    for (const fact of page.value.facts) facts.offer(fact, 'store')
    if ((page.value.unread ?? 0) === 0) facts.proveTable(startedAt, page.value.revision)
  }
}
