/**
 * The two clocks of this package, both in milliseconds.
 *
 * The monotonic clock is for delays, rates and the order of events. It stops while the machine is suspended, so an age computed
 * from it may be too small by the length of the suspension. Whatever must never appear younger than it is (freshness proofs,
 * leases, expiring tokens) is dated by the boot-time clock, which includes suspensions.
 */
import { setImmediate } from 'node:timers/promises'

/** The monotonic clock. */
export const nowMs = (): number => performance.now()

/**
 * The wall clock has jumped if it gained at least this much on the monotonic clock between two reads. Smaller differences come
 * from rounding and from clock discipline, which slews by at most 0.5 ms per second.
 */
const minJumpMs = 20

/**
 * The monotonic clock plus the suspensions of the machine, which are detected from jumps of the wall clock.
 *
 * The runtime has no clock that includes suspensions; its uptime does, but may be that of the container's host. A wall clock that
 * was merely set forward also counts as a suspension: leases and tokens then expire early and are renewed within a few ms. A wall
 * clock that was set back has no effect; only a suspension that coincides with such a step can be missed.
 */
class BootTimeClock {
  #monotonic = performance.now()
  #wallClock = Date.now()
  #suspendedMs = 0

  get now (): number {
    this.#sample()
    return this.#monotonic + this.#suspendedMs
  }

  get suspendedMs (): number {
    this.#sample()
    return this.#suspendedMs
  }

  #sample (): void {
    const monotonic = performance.now()
    const wallClock = Date.now()
    const aheadMs = (wallClock - this.#wallClock) - (monotonic - this.#monotonic)
    if (aheadMs > minJumpMs) this.#suspendedMs += aheadMs
    this.#monotonic = monotonic
    this.#wallClock = wallClock
  }
}

const clock = new BootTimeClock()

/**
 * Resolves once the data that has arrived on sockets so far has been read. Timers run before socket reads, so after the process
 * stalled, a timer may treat an answer as missing that has already arrived.
 */
export const afterSocketReads = async (): Promise<void> => await setImmediate()

/** The boot-time clock: monotonic, and includes the time for which the machine was suspended. */
export const boottimeMs = (): number => clock.now

/** How long the machine has been suspended since this process started. */
export const suspendedMs = (): number => clock.suspendedMs
