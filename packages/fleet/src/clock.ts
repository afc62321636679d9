/**
 * Time as this package measures it, in milliseconds, on one of two clocks.
 *
 * The steady clock is for waits, paces and orders of events. It stands still while the machine is suspended, so what is worked
 * out from it may be too young by the length of the sleep. What must never pass as younger than it is (proofs, leases, tokens
 * that lapse) is dated by the elapsed clock.
 */
import { setImmediate } from 'node:timers/promises'

export const nowMs = (): number => performance.now()

/**
 * A time of day that runs this far ahead of the steady clock between two looks has jumped; less is how it is kept right (half
 * a millisecond a second at most) and rounding.
 */
const leastJumpMs = 20

/**
 * The steady clock with the sleeps of its machine, which the time of day tells.
 *
 * The runtime gives no clock that counts them, and its uptime, which does, may be that of a host. A time of day that was only
 * set ahead counts as a sleep too: that ends leases and tokens early, and they are had anew within some ms. One that is set
 * back counts as nothing; only a sleep in the moment of such a step can be missed.
 */
class ElapsedClock {
  #steady = performance.now()
  #timeOfDay = Date.now()
  #sleptMs = 0

  get now (): number {
    this.#look()
    return this.#steady + this.#sleptMs
  }

  get sleptMs (): number {
    this.#look()
    return this.#sleptMs
  }

  #look (): void {
    const steady = performance.now()
    const timeOfDay = Date.now()
    const aheadMs = (timeOfDay - this.#timeOfDay) - (steady - this.#steady)
    if (aheadMs > leastJumpMs) this.#sleptMs += aheadMs
    this.#steady = steady
    this.#timeOfDay = timeOfDay
  }
}

const clock = new ElapsedClock()

/**
 * Resolves once what the sockets brought so far was read. Timers run before that, so after a stall of this process an answer may
 * well be there that a timer takes for missing.
 */
export const socketsRead = async (): Promise<void> => await setImmediate()

/** The elapsed clock. */
export const elapsedMs = (): number => clock.now

/** How long the machine has slept since the start of this process. */
export const sleptMs = (): number => clock.sleptMs
