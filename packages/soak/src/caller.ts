/**
 * Sends the requests of the soak's callers and records the responses.
 */
import { request, type Agent } from 'node:http'
import type { FleetSystem } from '@finchpitch/stand-ins'
import type { SeededRandom } from './seeded-random.js'

export interface RequestResult {
  id: string
  path: string
  /** Index of the entry that the request was sent to. */
  entry: number
  /** When the request was sent and when its response ended, on the monotonic clock. */
  sentAt: number
  endedAt: number
  /** The id of the server that responded, from the response seal; empty if none did. */
  server: string
  status: number
  /** The Retry-After time of the response; 0 if it has none. */
  retryAfterMs: number
  body: string
  /** Whether the response was received completely. */
  whole: boolean
}

/** The deadline that callers send, as the time left in ms. */
export const defaultRemainingMs = 1500
export const paths = ['/once/x', '/again/x', '/stream/x', '/resume/x'] as const
const sealPrefix = 'seal-'

export interface OutgoingRequest {
  id: string
  path: string
  /** Index of the entry that receives the request. */
  entry: number
  remainingMs?: number
  headers: Record<string, string>
}

export const isEnginePath = (path: string): boolean => path.startsWith('/stream') || path.startsWith('/resume')

/** Returns the header that names a random adapter. */
export const randomModel = (random: SeededRandom): Record<string, string> => ({ model: `base/a${random.between(1, 10)}` })

/** Sends a request to a random entry, by default to a random path. Never rejects: a request without a response has status 0. */
export const sendRequest = (fleet: FleetSystem, random: SeededRandom, agents: readonly Agent[], id: string, path: string = random.pick(paths)): Promise<RequestResult> => {
  const entry = random.between(0, fleet.entries.length - 1)
  return send(fleet, agents, { id, path, entry, headers: isEnginePath(path) ? randomModel(random) : {} })
}

/** Never rejects: a request without a response has status 0. */
export const send = (fleet: FleetSystem, agents: readonly Agent[], { id, path, entry, remainingMs = defaultRemainingMs, headers: more }: OutgoingRequest): Promise<RequestResult> => new Promise(resolve => {
  const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': String(remainingMs), ...more }
  const sentAt = performance.now()
  let status = 0
  let retryAfterMs = 0
  let body = ''
  let server = ''
  const finish = (whole: boolean): void => resolve({ id, path, entry, sentAt, endedAt: performance.now(), server, status, retryAfterMs, body, whole })
  const outgoing = request({ ...fleet.callerAddress(entry), agent: agents[entry], method: 'POST', path, headers }, response => {
    status = response.statusCode ?? 0
    retryAfterMs = Number(response.headers['retry-after'] ?? 0) * 1000
    server = String(response.headers['response-seal'] ?? '').slice(sealPrefix.length)
    response.setEncoding('utf8').on('data', (chunk: string) => { body += chunk })
    response.on('end', () => finish(true))
    response.on('error', () => finish(false))
  })
  outgoing.setTimeout(defaultRemainingMs * 3, () => outgoing.destroy())
  outgoing.on('error', () => finish(false))
  outgoing.end('{}')
})
