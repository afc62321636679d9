/**
 * Freshness: up to when a process surely knew of every change of the routing table.
 *
 * A key that was taken away has to stop working everywhere within a bound, also at an entry that hears nothing. So an entry
 * sends a request with a key only while it can prove that its table was the newest a known time ago. A proof is the moment
 * at which a call to the store began that was answered with the newest state; silence proves nothing, and how long an
 * answer was under way is not known, so a proof never counts from the call's end.
 *
 * A proof passes between processes without comparing clocks: who wants one sends a stamp of its own clock; who has one
 * answers with the stamp and how much older than the stamp's coming its proof is. The stamp was made before it came, so the
 * stamp less that difference is no later than the proof. Freezes, queues and slow links make it older, never younger.
 */
import type { FrameOf } from '@finchpitch/wire'
import { elapsedMs } from './clock.js'
import { eraOf } from './store-revision.js'

export class Freshness {
  #provenAt = -Infinity
  #validFrom = -Infinity
  readonly #listeners = new Set<() => void>()

  constructor (private readonly now: () => number = elapsedMs) {}

  /** When the table was surely the newest, on this process's elapsed clock. */
  get provenAt (): number {
    return this.#provenAt
  }

  get ageMs (): number {
    return this.now() - this.#provenAt
  }

  /** The table held here was the newest at that moment. */
  prove (at: number): void {
    if (at >= this.#validFrom) this.#advanceProvenAt(at)
  }

  #advanceProvenAt (at: number): void {
    if (at <= this.#provenAt) return
    this.#provenAt = at
    for (const listener of this.#listeners) listener()
  }

  /** Makes `prove` reject proofs dated earlier than `ms` from now: a restored store may lack changes until they are written again. */
  rejectProofsFor (ms: number): void {
    this.#validFrom = this.now() + ms
  }

  /** Called at each newer proof, until the function given back is called. */
  onProof (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Takes over a peer's proof, of a table no newer than the one held here, which has `revision`; says whether it could. */
  accept (proof: FrameOf<'fresh'>, revision: number): boolean {
    if (proof.ageMs === undefined || proof.revision > revision || proof.stamp > this.now()) return false
    // The table of a peer that has not seen a restore may be newer than the backup's, though its revision is lower.
    if (eraOf(proof.revision) !== eraOf(revision)) return false
    // `#validFrom` is not checked: a peer rejects its own proofs for the same time after a restore.
    this.#advanceProvenAt(proof.stamp - proof.ageMs)
    return true
  }

  /** The answer to a stamp that came at `cameAt`. */
  answer (stamp: number, cameAt: number, revision: number): FrameOf<'fresh'> {
    const proven = this.#provenAt > -Infinity
    return { type: 'fresh', stamp, revision, ...(proven ? { ageMs: Math.max(0, cameAt - this.#provenAt) } : {}) }
  }
}
