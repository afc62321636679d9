/**
 * Adaptive connect timeout for backend servers.
 *
 * An unreachable machine sends nothing at all, so the timeout is short. It scales with recent connect times, though: when this
 * process itself is overloaded, all connects are slow, and abandoning them would make it open more connections and slow down
 * further.
 */
import { MovingAverage } from '@finchpitch/decisions'

/** Lower bound: connects normally take a few milliseconds. */
const minMs = 200
/** Upper bound: with more, an unreachable server uses up most of the time that its caller allows. */
const maxMs = 1000
/** The timeout as a multiple of recent connect times. */
const marginFactor = 6

export class ConnectTimeout {
  readonly #connectTime = new MovingAverage(0)

  get ms (): number {
    return Math.min(maxMs, Math.max(minMs, this.#connectTime.value * marginFactor))
  }

  /** Records a connection that was established after `ms`. */
  recordConnect (ms: number): void {
    this.#connectTime.add(ms)
  }
}
