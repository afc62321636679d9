/**
 * A timer that coalesces requests to run an action: each request has its own deadline, and the earliest one wins.
 */
import { nowMs } from './clock.js'

export class CoalescingTimer {
  #timer: NodeJS.Timeout | undefined
  #dueAt = Infinity

  constructor (private readonly action: () => void) {}

  /** Runs the action within `ms`, or earlier if a pending request is due earlier. */
  runWithin (ms: number): void {
    const dueAt = nowMs() + ms
    if (dueAt >= this.#dueAt) return
    this.stop()
    this.#dueAt = dueAt
    this.#timer = setTimeout(() => {
      this.stop()
      this.action()
    }, ms)
  }

  /** Cancels the pending run. */
  stop (): void {
    clearTimeout(this.#timer)
    this.#dueAt = Infinity
  }
}
