/**
 * A request's cancellation: its caller has left, or its time is up.
 *
 * Does for one process what the runtime's abort signal does for everything, at a small part of its cost: an entry
 * makes one for each request, and that signal was among the dearest things on the request's path.
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

  /** Calls `listener` when it is cancelled; gives what takes that back. */
  onCancel (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }
}
