/**
 * Chooses the side process that coordinates all entries for one purpose. By rendezvous hashing, all entries choose the same one
 * without communicating.
 *
 * A host that doesn't answer is skipped for a while. Entries may then disagree for a moment and use two hosts, so correctness
 * must not depend on there being only one.
 */
import { rendezvousScore, hashOf } from '@finchpitch/decisions'
import { minBy } from '../../min-by.js'

export interface RendezvousSelectorOptions {
  /** Seed of the hash, so that different purposes are spread over different hosts. */
  purpose: string
  /** How long a host that didn't answer is skipped. */
  skipMs: number
  /** The clock on which this is measured. */
  now: () => number
}

export class RendezvousSelector {
  readonly #hash: number
  /** Hosts that didn't answer, and until when they are skipped. */
  readonly #skippedUntil = new Map<string, number>()
  /** By host, since a selector chooses several times per second among the same hosts. */
  readonly #scores = new Map<string, number>()

  constructor (private readonly options: RendezvousSelectorOptions) {
    this.#hash = hashOf(options.purpose)
  }

  skip (host: string): void {
    this.#skippedUntil.set(host, this.options.now() + this.options.skipMs)
  }

  /** Of the `hosts` that aren't skipped, the first in rendezvous order. */
  choose (hosts: readonly string[]): string | undefined {
    const now = this.options.now()
    for (const [host, until] of this.#skippedUntil) if (now > until) this.#skippedUntil.delete(host)
    if (this.#scores.size > 2 * hosts.length) this.#scores.clear()
    return minBy(hosts.filter(host => !this.#skippedUntil.has(host)), host => this.#scoreOf(host))
  }

  #scoreOf (host: string): number {
    const known = this.#scores.get(host)
    if (known !== undefined) return known
    const score = rendezvousScore(this.#hash, hashOf(host))
    this.#scores.set(host, score)
    return score
  }
}
