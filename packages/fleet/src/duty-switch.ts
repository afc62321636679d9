/**
 * Switches for duties that a process has only at times, such as watching the store.
 */
import { pause } from '@finchpitch/core'

/** The longest single pause while waiting; a wait without a known end is made of several. */
const maxPauseMs = 600_000

/** Whether a duty is currently this process's own or left to other processes. The task that carries it out waits here meanwhile. */
export class DutySwitch {
  #on = true
  #started = new AbortController()

  get on (): boolean {
    return this.#on
  }

  setActive (on: boolean): void {
    if (on === this.#on) return
    this.#on = on
    if (on) this.#started.abort()
    else this.#started = new AbortController()
  }

  /** Resolves once the duty is this process's own, or `signal` aborts. */
  async whenActive (signal: AbortSignal): Promise<void> {
    while (!this.#on && !signal.aborted) await pause(maxPauseMs, AbortSignal.any([signal, this.#started.signal]))
  }
}
