/**
 * How long a connection to a backend server may take to come up.
 *
 * A machine that is dark says nothing, so the limit is short. It follows what connections take here, though: where
 * this process is itself behind, all of them are slow, and giving them up would have it open more of them, and so
 * fall further behind.
 */
import { Estimate } from '@finchpitch/decisions'

/** Connections come up in a few milliseconds. */
const leastMs = 200
/** Longer, and a dark server takes up most of what its caller has. */
const mostMs = 1000
/** So many times what connections took lately. */
const margin = 6

export class ConnectLimit {
  readonly #took = new Estimate(0)

  get ms (): number {
    return Math.min(mostMs, Math.max(leastMs, this.#took.value * margin))
  }

  /** A connection came up, after `ms`. */
  cameUp (ms: number): void {
    this.#took.add(ms)
  }
}
