/**
 * One direction of a connection with delays that may change: as with TCP, nothing overtakes what was sent before it.
 */

interface DelayedSend {
  send: () => void
  /** On the monotonic clock. */
  dueAt: number
}

/** Runs sends in the order in which they were added, each no sooner than its delay. */
export class OrderedSends {
  readonly #queue: DelayedSend[] = []
  #timer: NodeJS.Timeout | undefined

  add (send: () => void, delayMs: number): void {
    this.#queue.push({ send, dueAt: performance.now() + delayMs })
    if (this.#queue.length === 1) this.#sendDue()
  }

  /** Drops the sends that are not due yet. */
  clear (): void {
    clearTimeout(this.#timer)
    this.#queue.length = 0
  }

  #sendDue (): void {
    for (let next = this.#queue[0]; next !== undefined; next = this.#queue[0]) {
      const waitMs = next.dueAt - performance.now()
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.#sendDue(), waitMs)
        return
      }
      next.send()
      // Removed only now, so that a send which adds another does not start a second run.
      this.#queue.shift()
    }
  }
}
