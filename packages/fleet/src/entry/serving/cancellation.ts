/**
 * Cancels a request when its caller disconnects or its deadline passes.
 *
 * A minimal replacement for `AbortController`: an entry process creates one per request, and `AbortController` was
 * among the most expensive operations on the request path.
 */
export class Cancellation {
  #cancelled = false
  readonly #listeners = new Set<() => void>()

  get cancelled (): boolean {
    return this.#cancelled
  }

  cancel (): void {
    if (this.#cancelled) return
    this.#cancelled = true
    for (const listener of [...this.#listeners]) listener()
    this.#listeners.clear()
  }

  /** Calls `listener` on cancellation. Returns a function that unsubscribes it. */
  onCancel (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }
}
