/**
 * Records what a failed attempt says about its server: feeds outlier ejection, writes the log, and updates the state that later
 * selections use.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from '../../clock.js'
import type { BackendServer } from '../../server.js'
import type { RefusalCause } from '../serving/attempt.js'
import type { Balancer } from './balancer.js'
import type { EntryCounters } from '../counters.js'

export interface Refusal {
  request: string
  server: BackendServer
  status: number
  cause: RefusalCause
  /** Adapter or model key of the request. */
  key: string | undefined
  tries: number
  /** The `Retry-After` that the server sent, in seconds. */
  retryAfter: string | undefined
}

export class ServerFaults {
  constructor (private readonly balancer: Balancer, private readonly counters: EntryCounters, private readonly log: Log) {}

  /** The server ran the request, or may have, and failed. */
  recordFailure (server: BackendServer, request: string, detail: string): void {
    this.log.info('server.failed', { request, server: server.id, detail })
    if (this.balancer.state(server).outlier.recordFailure(nowMs())) this.#recordEjection('server.ejected', server, request, detail)
  }

  /** No connection to the server could be established. */
  recordUnreachable (server: BackendServer, request: string, detail: string): void {
    if (this.balancer.state(server).outlier.eject(nowMs())) this.#recordEjection('server.unreachable', server, request, detail)
  }

  /** The server refused the request. Returns whether this request should avoid the server from now on. */
  recordRefusal ({ request, server, status, cause, key, tries, retryAfter }: Refusal): boolean {
    this.log.info('request.not_run', { request, server: server.id, status, cause, key, tries, retryAfter })
    return this.#refusalHandlers[cause](server, key)
  }

  readonly #refusalHandlers: Record<RefusalCause, (server: BackendServer, key: string | undefined) => boolean> = {
    another_server: server => {
      this.balancer.state(server).outlier.eject(nowMs())
      return true
    },
    // The engine itself is healthy and may be asked to load the adapter again.
    not_held: (server, key) => {
      if (key !== undefined) this.balancer.recordNotHeld(server, key)
      return key === undefined
    },
    full: server => {
      this.balancer.state(server).recordRefusal()
      return true
    }
  }

  #recordEjection (event: string, server: BackendServer, request: string, detail: string): void {
    const { ejectedUntil } = this.balancer.state(server).outlier
    this.counters.ejections.inc()
    this.log.warn(event, { server: server.id, request, detail, ms: Math.round(ejectedUntil - nowMs()) })
  }
}
