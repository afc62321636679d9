/**
 * Turns: what is a process's to do only now and then.
 */
import { pause } from '@finchpitch/core'

/** A rest without a known end is looked at again after so long. */
const longestRestMs = 600_000

/** Whether something is this process's to do now, or is left to others; what is done in turns waits here for its own. */
export class Turn {
  #on = true
  #begin = new AbortController()

  get on (): boolean {
    return this.#on
  }

  set (on: boolean): void {
    if (on === this.#on) return
    this.#on = on
    if (on) this.#begin.abort()
    else this.#begin = new AbortController()
  }

  /** Resolves once it is on, or `signal` aborts. */
  async begun (signal: AbortSignal): Promise<void> {
    while (!this.#on && !signal.aborted) await pause(longestRestMs, AbortSignal.any([signal, this.#begin.signal]))
  }
}
