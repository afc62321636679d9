/**
 * Binds servers to ports that another process may still hold, such as the previous process of the same instance while it stops.
 */
import { once } from 'node:events'
import type { Server } from 'node:net'
import { pause } from './abort.js'

const retryIntervalMs = 100

/** Failures that pass: the port is in use, or the address is not configured yet. */
const passingCodes = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])

export interface BindOptions {
  host: string
  port: number
  /** How long to try again after the first failure. */
  retryMs: number
  /** Called after the first failure, if it is one that passes. */
  onRetry?: (error: Error) => void
  signal?: AbortSignal
}

/** The port could not be bound. */
export class BindError extends Error {
  constructor (readonly host: string, readonly port: number, cause: Error) {
    super(`can't listen on ${host}:${port}: ${cause.message}`, { cause })
  }
}

/** Resolves once the server listens. Rejects with a `BindError` if it can't within `retryMs`, or once `signal` aborts. */
export const bind = async (server: Server, { host, port, retryMs, onRetry, signal }: BindOptions): Promise<void> => {
  const startedAt = performance.now()
  for (let attempt = 1; ; attempt++) {
    try {
      server.listen(port, host)
      await once(server, 'listening')
      return
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException
      if (!passingCodes.has(code ?? '') || performance.now() - startedAt >= retryMs || signal?.aborted === true) throw new BindError(host, port, error as Error)
      if (attempt === 1) onRetry?.(error as Error)
      await pause(retryIntervalMs, signal)
    }
  }
}
