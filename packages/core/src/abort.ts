/**
 * Abort handlers, delays and time-outs. Delays and time-outs use the runtime's timers, so tests can replace the clock.
 */

/**
 * Calls `act` once when `signal` aborts, or at once if it already has: the runtime never calls a listener that is added after the
 * abort. Returns a function that removes the handler.
 */
export const onAbort = (signal: AbortSignal, act: () => void): (() => void) => {
  if (signal.aborted) {
    act()
    return () => {}
  }
  signal.addEventListener('abort', act, { once: true })
  return () => signal.removeEventListener('abort', act)
}

/** Resolves after `ms`, or at once when `signal` aborts. */
export const pause = (ms: number, signal?: AbortSignal): Promise<void> => new Promise(resolve => {
  if (signal?.aborted === true) return resolve()
  const done = (): void => {
    clearTimeout(timer)
    signal?.removeEventListener('abort', done)
    resolve()
  }
  const timer = setTimeout(done, ms)
  signal?.addEventListener('abort', done)
})

/** A signal that aborts after `ms` or when `parent` aborts. `clear` releases its timer and its listener. */
export interface Deadline {
  signal: AbortSignal
  clear: () => void
}

export const deadlineIn = (ms: number, parent?: AbortSignal): Deadline => {
  const controller = new AbortController()
  const abort = (): void => controller.abort()
  const timer = setTimeout(abort, ms)
  if (parent?.aborted === true) abort()
  parent?.addEventListener('abort', abort)
  const clear = (): void => {
    clearTimeout(timer)
    parent?.removeEventListener('abort', abort)
  }
  return { signal: controller.signal, clear }
}

/** Resolves to the promise's value, or to `fallback` if it hasn't settled after `ms`. */
export const withTimeout = async <T, F>(ms: number, promise: Promise<T>, fallback: F): Promise<T | F> => {
  let timer: NodeJS.Timeout | undefined
  const timedOut = new Promise<F>(resolve => { timer = setTimeout(resolve, ms, fallback) })
  try {
    return await Promise.race([promise, timedOut])
  } finally {
    clearTimeout(timer)
  }
}
