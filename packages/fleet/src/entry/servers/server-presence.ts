/**
 * Finds out whether a server is still there, as a response without a length also ends where its server does.
 *
 * That connections to its address are accepted does not show it: they are as well once the server has restarted, or another server has
 * been given the address. Each start has an id of its own, so the server is asked for its id. It is asked over a new connection, as an
 * answer on an open one may have been sent earlier.
 */
import { request } from 'node:http'
import { isFinalStatus, pause, splitAddress } from '@finchpitch/core'
import { nowMs } from '../../clock.js'
import type { BackendServer } from '../../server.js'

/** `gone`: nobody listens at its address, or another server answers there. `unknown`: there was no answer, or one without an id. */
export type ServerPresence = 'present' | 'gone' | 'unknown'

export interface PresenceCheck {
  presence: ServerPresence
  /** What the presence was told by. */
  detail: string
}

/** Sends one health check. */
export type HealthCheck = (address: string, path: string, timeoutMs: number) => Promise<HealthAnswer>
export type HealthAnswer = { type: 'answered', status: number, serverId: string | undefined } | { type: 'failed', code: string }

/** A lost packet delays a connection by a second, so another one is opened before. */
const answerTimeoutMs = 300
const retryPauseMs = 50
/** A reachable server answers within some ms. */
const checkTimeoutMs = 1000

const refusedCode = 'ECONNREFUSED'

export class ServerPresences {
  readonly #running = new Map<string, { current: Promise<PresenceCheck>, next: Promise<PresenceCheck> | undefined }>()

  constructor (private readonly healthCheck: HealthCheck) {}

  /** Checks by a question that is sent after the call. Those that call while one is under way share the next one. */
  check (server: BackendServer, healthPath: string | undefined): Promise<PresenceCheck> {
    const running = this.#running.get(server.id)
    if (running === undefined) return this.#start(server, healthPath)
    // A server that is gone does not come back under its id.
    running.next ??= running.current.then(result => result.presence === 'gone' ? result : this.#start(server, healthPath))
    return running.next
  }

  #start (server: BackendServer, healthPath: string | undefined): Promise<PresenceCheck> {
    const current = this.#ask(server, healthPath).finally(() => { this.#running.delete(server.id) })
    this.#running.set(server.id, { current, next: undefined })
    return current
  }

  async #ask ({ id, address }: BackendServer, healthPath: string | undefined): Promise<PresenceCheck> {
    if (healthPath === undefined) return { presence: 'unknown', detail: 'the service has no path for health checks' }
    const until = nowMs() + checkTimeoutMs
    for (;;) {
      const result = presenceOf(id, await this.healthCheck(address, healthPath, Math.min(answerTimeoutMs, until - nowMs())))
      if (result.presence !== 'unknown' || nowMs() + retryPauseMs >= until) return result
      await pause(retryPauseMs)
    }
  }
}

const presenceOf = (id: string, answer: HealthAnswer): PresenceCheck => {
  if (answer.type === 'failed') return { presence: answer.code === refusedCode ? 'gone' : 'unknown', detail: answer.code }
  if (!isFinalStatus(answer.status)) return { presence: 'unknown', detail: `status ${answer.status}, which no final response has` }
  if (answer.serverId === undefined) return { presence: 'unknown', detail: `status ${answer.status} without an id` }
  return { presence: answer.serverId === id ? 'present' : 'gone', detail: `answered by ${answer.serverId}` }
}

/** `idHeader`: the header by which servers state their id. */
export const sendHealthCheck = (idHeader: string): HealthCheck => (address, path, timeoutMs) => new Promise(resolve => {
  const asked = request({ ...splitAddress(address), path, agent: false })
  const finish = (answer: HealthAnswer): void => {
    clearTimeout(timer)
    asked.destroy()
    resolve(answer)
  }
  // Expired timers run before sockets are polled.
  const timer = setTimeout(() => setImmediate(() => finish({ type: 'failed', code: 'ETIMEDOUT' })), timeoutMs)
  asked.on('response', ({ statusCode = 0, headers }) => {
    const serverId = headers[idHeader]
    finish({ type: 'answered', status: statusCode, serverId: typeof serverId === 'string' ? serverId : undefined })
  })
  asked.on('error', (error: NodeJS.ErrnoException) => finish({ type: 'failed', code: error.code ?? error.message }))
  asked.end()
})
