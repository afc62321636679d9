/**
 * A timer for what is gathered: each cause says within how long it has to be done, and the soonest decides.
 */
import { nowMs } from './clock.js'

export class SoonTimer {
  #timer: NodeJS.Timeout | undefined
  #dueAt = Infinity

  constructor (private readonly act: () => void) {}

  /** Acts within `ms`, or sooner where that was asked for before. */
  within (ms: number): void {
    const dueAt = nowMs() + ms
    if (dueAt >= this.#dueAt) return
    this.stop()
    this.#dueAt = dueAt
    this.#timer = setTimeout(() => {
      this.stop()
      this.act()
    }, ms)
  }

  stop (): void {
    clearTimeout(this.#timer)
    this.#dueAt = Infinity
  }
}
