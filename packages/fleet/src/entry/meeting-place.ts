/**
 * The side process through which entries meet for one matter: the same for all by rendezvous hashing, without any agreement.
 *
 * One that does not answer is passed by for a while. Where entries differ for a moment, they meet at two, and no promise depends
 * on it.
 */
import { rendezvousScore, hashOf } from '@finchpitch/decisions'
import { minBy } from '../min-by.js'

export interface MeetingPlaceOptions {
  /** What they meet for; another matter has another place. */
  matter: string
  /** How long one that did not answer is passed by. */
  passedByMs: number
  /** The clock that this is counted on. */
  now: () => number
}

export class MeetingPlace {
  readonly #hash: number
  /** Hosts that did not answer, and until when they are passed by. */
  readonly #passedBy = new Map<string, number>()

  constructor (private readonly options: MeetingPlaceOptions) {
    this.#hash = hashOf(options.matter)
  }

  passBy (host: string): void {
    this.#passedBy.set(host, this.options.now() + this.options.passedByMs)
  }

  /** The nearest of `hosts` that is not passed by. */
  choose (hosts: readonly string[]): string | undefined {
    const now = this.options.now()
    for (const [host, until] of this.#passedBy) if (now > until) this.#passedBy.delete(host)
    return minBy(hosts.filter(host => !this.#passedBy.has(host)), host => rendezvousScore(this.#hash, hashOf(host)))
  }
}
