/**
 * Keeps a task of a process running: nothing else does its work, so a process without it would go on and fail its callers.
 */
import { backoff, pause, type Log } from '@finchpitch/core'

const restartBackoff = { firstMs: 100, limitMs: 2000 }
/** A task that has run for this long starts again without the delay of earlier failures. */
const recoveredMs = 60_000

/** Starts a task again that fails, until it ends in order or `signal` aborts. */
export const supervise = async (name: string, task: () => Promise<void>, signal: AbortSignal, log: Log): Promise<void> => {
  for (let failures = 0; !signal.aborted; failures++) {
    const startedAt = performance.now()
    try {
      return await task()
    } catch (error) {
      if (performance.now() - startedAt > recoveredMs) failures = 0
      log.error('task.failed', { task: name, failures: failures + 1, detail: (error as Error).stack })
      await pause(backoff(failures, Math.random, restartBackoff), signal)
    }
  }
}
