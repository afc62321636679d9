/**
 * Cancels a request when its caller disconnects or its deadline passes, and other work that many wait for.
 *
 * A minimal replacement for `AbortController`: an entry process creates one per request, and `AbortController` was
 * among the most expensive operations on the request path. An abort also creates an exception with a stack trace.
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

/** Resolves on cancellation, or after `ms`. */
export const cancelledWithin = (ms: number, cancellation: Cancellation): Promise<void> => new Promise(resolve => {
  if (cancellation.cancelled) return resolve()
  const timer = setTimeout(() => {
    unsubscribe()
    resolve()
  }, ms)
  const unsubscribe = cancellation.onCancel(() => {
    clearTimeout(timer)
    resolve()
  })
})

/** Resolves to `undefined` on cancellation if that comes first. */
export const unlessCancelled = <Value>(promise: Promise<Value>, cancellation: Cancellation): Promise<Value | undefined> => new Promise((resolve, reject) => {
  if (cancellation.cancelled) return resolve(undefined)
  const unsubscribe = cancellation.onCancel(() => resolve(undefined))
  promise.then(resolve, reject).finally(unsubscribe)
})
