/**
 * Whether an entry has lost contact to all side processes for so long that the other entries may soon divide shared limits without it.
 *
 * They adopt a lower count at least 15 s after the entry has disappeared (`entry-count-bound.ts`). An entry that is cut off from all
 * other processes but still reaches servers would otherwise spend a share that has been divided among the others.
 */
import { nowMs } from '../../clock.js'

/** Shorter than the time after which the others adopt a lower count, by the time until both sides notice the loss. */
const lostAfterMs = 10_000

export class Contact {
  #lastAt: number | undefined

  /** Called periodically. `connected`: whether a side process is connected. */
  update (connected: boolean): void {
    if (connected) this.#lastAt = nowMs()
  }

  /** `false` for an entry that never had contact, as in a deployment without side processes. */
  get isLost (): boolean {
    return this.#lastAt !== undefined && nowMs() - this.#lastAt > lostAfterMs
  }
}
