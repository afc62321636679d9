/**
 * Builds the request sent to a backend server: the caller's headers without those reserved for the system, plus the
 * headers that the system sets.
 */
import type { IncomingMessage } from 'node:http'
import type { HeaderNames } from '../../ports.js'
import type { OutgoingRequest } from './attempt.js'
import { forwardedHeaders } from './caller-response.js'

/** The values of the headers that the system sets. */
export interface OutgoingContext {
  /** Milliseconds until the deadline. */
  remainingMs: number
  /** Id of the server that is meant. */
  server: string
  /** Set for requests to engines. */
  engine: { rank: number, version: number | undefined } | undefined
  /** The team that the request belongs to, where the table has teams and the request a key. */
  team: string | undefined
  /** The table has teams, so neither the caller's key nor a team header that it set itself is forwarded. */
  keyed: boolean
  /** Id of the last event that the caller has received, where a stream is resumed at another server. */
  resumeAfter: string | undefined
}

export const buildOutgoingRequest = (request: IncomingMessage, body: Buffer, names: HeaderNames, context: OutgoingContext): OutgoingRequest => {
  const headers = forwardedHeaders(request.rawHeaders, removedHeaders(names, context))
  headers.push(names.remainingMs, String(context.remainingMs), names.expectedServer, context.server)
  if (context.engine !== undefined) {
    headers.push(names.priority, String(context.engine.rank))
    if (context.engine.version !== undefined) headers.push(names.expectedVersion, String(context.engine.version))
  }
  if (context.team !== undefined) headers.push(names.team, context.team)
  if (context.resumeAfter !== undefined) headers.push(names.lastEventId, context.resumeAfter)
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
  if (body.length > 0 || length !== undefined || encoding !== undefined) headers.push('Content-Length', String(body.length))
  return { method: request.method ?? 'GET', path: request.url ?? '/', headers, body }
}

/** Cached by the two flags that determine the set: whether the table has teams, and whether a stream is resumed. */
const removedHeaderSets = new Map<string, ReadonlySet<string>>()

/** Names of the headers that are not forwarded; computed once per combination and not per request. */
const removedHeaders = (names: HeaderNames, { resumeAfter, keyed }: OutgoingContext): ReadonlySet<string> => {
  const id = `${keyed} ${resumeAfter !== undefined}`
  const known = removedHeaderSets.get(id)
  if (known !== undefined) return known
  const set = new Set([...names.reserved, names.remainingMs, 'content-length', 'expect'])
  if (keyed) set.add(names.key).add(names.team)
  if (resumeAfter !== undefined) set.add(names.lastEventId)
  removedHeaderSets.set(id, set)
  return set
}
