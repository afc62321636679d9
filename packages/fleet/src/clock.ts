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
 * The two clocks can be compared if the monotonic clock advanced by no more than this while the wall clock was read. On a busy
 * machine the process may be paused for tens of milliseconds between two reads, which must not count as a jump of the wall clock.
 */
const maxReadMs = 1

/**
 * The monotonic clock plus the suspensions of the machine, which are detected from jumps of the wall clock.
 *
 * The runtime has no clock that includes suspensions; its uptime does, but may be that of the container's host. A wall clock that
 * was merely set forward also counts as a suspension: leases and tokens then expire early and are renewed within a few ms. A wall
 * clock that was set back has no effect; only a suspension that coincides with such a step can be missed.
 *
 * The wall clock is read between two reads of the monotonic clock and compared with the second, so a pause in between can only
 * make it appear to be behind. If there was a pause, a jump is included in this reading, but recorded only by the next reading
 * without a pause, which can tell how long the suspension was.
 */
class BootTimeClock {
  #monotonic = performance.now()
  /** How far the wall clock was ahead of the monotonic clock at the last reading without a pause. */
  #offsetMs = Infinity
  #recordedMs = 0
  #unrecordedMs = 0

  get now (): number {
    this.#sample()
    return this.#monotonic + this.#recordedMs + this.#unrecordedMs
  }

  get suspendedMs (): number {
    this.#sample()
    return this.#recordedMs + this.#unrecordedMs
  }

  #sample (): void {
    const startedAt = performance.now()
    const wallClock = Date.now()
    this.#monotonic = performance.now()
    const offsetMs = wallClock - this.#monotonic
    const aheadMs = offsetMs - this.#offsetMs
    this.#unrecordedMs = aheadMs > minJumpMs ? aheadMs : 0
    if (this.#monotonic - startedAt > maxReadMs) return
    this.#recordedMs += this.#unrecordedMs
    this.#unrecordedMs = 0
    this.#offsetMs = offsetMs
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
