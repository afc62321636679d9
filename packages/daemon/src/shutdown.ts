/**
 * The last step of a graceful shutdown: waits for the parts of the process to close.
 *
 * By then the requests have ended or the time for draining is up, so nothing is lost if the process exits while a part is still open.
 */
import { withTimeout, type Log } from '@finchpitch/core'

/** Parts close within milliseconds unless they wait for a peer that doesn't answer. */
const closeTimeoutMs = 2000

/** Resolves once all parts have closed, or after a time-out, with a log line that names those still open. */
export const awaitClosed = async (parts: Record<string, Promise<unknown>>, log: Log): Promise<void> => {
  const open = new Set(Object.keys(parts))
  const closed = Object.entries(parts).map(async ([name, part]) => {
    await part
    open.delete(name)
  })
  const inTime = await withTimeout(closeTimeoutMs, Promise.all(closed).then(() => true), false)
  if (!inTime) log.warn('shutdown.incomplete', { open: [...open], waitedMs: closeTimeoutMs })
}
