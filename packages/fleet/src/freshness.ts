/**
 * Freshness proofs: the latest time at which a process certainly had the newest routing table.
 *
 * A revoked API key must stop working everywhere within a bound, even at an entry that is cut off from updates. An entry therefore
 * forwards a request with a key only while it can prove that its table was the newest a bounded time ago. The proof is the
 * start time of a store call that returned the newest state. The absence of updates proves nothing, and the transit time of an
 * answer is unknown, so a proof never counts from the end of the call.
 *
 * Proofs pass between processes without comparing clocks. A request carries a timestamp of the requester's clock; the answer returns
 * that timestamp and how much older than the request's arrival the answerer's proof is. The timestamp was taken before the request
 * arrived, so the timestamp minus that age is no later than the proof. Suspended processes, queues and slow links can only make a
 * proof older, never younger.
 */
import type { FrameOf } from '@finchpitch/wire'
import { boottimeMs } from './clock.js'
import { eraOf } from './store-revision.js'

export class Freshness {
  #provenAt = -Infinity
  #validFrom = -Infinity
  readonly #listeners = new Set<() => void>()

  constructor (private readonly now: () => number = boottimeMs) {}

  /** The latest time at which the table was proven to be the newest, on this process's boot-time clock. */
  get provenAt (): number {
    return this.#provenAt
  }

  /** Time since the last proof. */
  get ageMs (): number {
    return this.now() - this.#provenAt
  }

  /** Records that the local table was the newest at that time. */
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

  /** Calls the listener at each newer proof, until the returned function is called. */
  onProof (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Applies a peer's proof if its table is no newer than the local one, which has `revision`. Returns whether it did. */
  accept (proof: FrameOf<'fresh'>, revision: number): boolean {
    if (proof.ageMs === undefined || proof.revision > revision || proof.stamp > this.now()) return false
    // The table of a peer that has not seen a restore may be newer than the backup's, though its revision is lower.
    if (eraOf(proof.revision) !== eraOf(revision)) return false
    // `#validFrom` is not checked: a peer rejects its own proofs for the same time after a restore.
    this.#advanceProvenAt(proof.stamp - proof.ageMs)
    return true
  }

  /** The answer to a request that carried `stamp` and arrived at `receivedAt`. */
  answer (stamp: number, receivedAt: number, revision: number): FrameOf<'fresh'> {
    const hasProof = this.#provenAt > -Infinity
    return { type: 'fresh', stamp, revision, ...(hasProof ? { ageMs: Math.max(0, receivedAt - this.#provenAt) } : {}) }
  }
}
