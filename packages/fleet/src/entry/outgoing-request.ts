/**
 * Builds the request sent to a backend server: the caller's headers without those reserved for the system, plus the
 * headers that the system sets.
 */
import type { IncomingMessage } from 'node:http'
import type { HeaderNames } from '../ports.js'
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

export const buildOutgoingRequest = (request: IncomingMessage, body: Buffer, names: HeaderNames, marks: OutgoingContext): OutgoingRequest => {
  const headers = forwardedHeaders(request.rawHeaders, removedHeaders(names, marks))
  headers.push(names.remainingMs, String(marks.remainingMs), names.expectedServer, marks.server)
  if (marks.engine !== undefined) {
    headers.push(names.priority, String(marks.engine.rank))
    if (marks.engine.version !== undefined) headers.push(names.expectedVersion, String(marks.engine.version))
  }
  if (marks.team !== undefined) headers.push(names.team, marks.team)
  if (marks.resumeAfter !== undefined) headers.push(names.lastEventId, marks.resumeAfter)
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
  if (body.length > 0 || length !== undefined || encoding !== undefined) headers.push('Content-Length', String(body.length))
  return { method: request.method ?? 'GET', path: request.url ?? '/', headers, body }
}

/** Cached by the two flags that determine the set: whether the table has teams, and whether a stream is resumed. */
const removedHeaderSets = new Map<string, ReadonlySet<string>>()

/** Names of the headers that are not forwarded; computed once per combination and not per request. */
const removedHeaders = (names: HeaderNames, { resumeAfter: resumeAt, keyed }: OutgoingContext): ReadonlySet<string> => {
  const id = `${keyed} ${resumeAt !== undefined}`
  const known = removedHeaderSets.get(id)
  if (known !== undefined) return known
  const set = new Set([...names.reserved, names.remainingMs, 'content-length', 'expect'])
  if (keyed) set.add(names.key).add(names.team)
  if (resumeAt !== undefined) set.add(names.lastEventId)
  removedHeaderSets.set(id, set)
  return set
}
