/**
 * Binds servers to ports that another process may still hold, such as the previous process of the same instance while it stops.
 */
import { once } from 'node:events'
import type { Server } from 'node:net'
import { pause } from './abort.js'

const retryIntervalMs = 100
const reportIntervalMs = 10_000

/** Failures that pass: the port is in use, the address is not configured or known yet, or the machine is short of something. */
const passingCodes = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'ENOTFOUND', 'EAI_AGAIN', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM'])

export interface BindOptions {
  host: string
  port: number
  /** Asked after each failure that passes: whether to try again. Without it, the first failure is final. */
  triesAgain?: () => boolean
  /** Called after the first failure that passes, and now and then afterwards, with the time since the first attempt. */
  onRetry?: (error: Error, ms: number) => void
}

/** The port could not be bound. */
export class BindError extends Error {
  constructor (readonly host: string, readonly port: number, cause: Error) {
    super(`can't listen on ${host}:${port}: ${cause.message}`, { cause })
  }
}

/** Resolves once the server listens. Rejects with a `BindError` after a failure that does not pass, or once it is not to try again. */
export const bind = async (server: Server, { host, port, triesAgain, onRetry }: BindOptions): Promise<void> => {
  const startedAt = performance.now()
  let reportedAt = -Infinity
  for (;;) {
    try {
      server.listen(port, host)
      await once(server, 'listening')
      return
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException
      if (!passingCodes.has(code ?? '') || triesAgain?.() !== true) throw new BindError(host, port, error as Error)
      const now = performance.now()
      if (now - reportedAt >= reportIntervalMs) {
        reportedAt = now
        onRetry?.(error as Error, Math.round(now - startedAt))
      }
      await pause(retryIntervalMs)
    }
  }
}
