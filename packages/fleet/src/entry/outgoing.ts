/**
 * A request as it goes to a backend server: what the caller sent, less what only the system may set, and what the
 * system sets.
 */
import type { IncomingMessage } from 'node:http'
import type { HeaderNames } from '../ports.js'
import type { Outgoing } from './attempt.js'
import { passedHeaders } from './delivery.js'

/** What the system sets. */
export interface Marks {
  /** Milliseconds left. */
  remaining: number
  server: string
  /** Set where an engine is asked. */
  engine: { rank: number, version: number | undefined } | undefined
  /** The team that it belongs to, where the table knows teams and a key came. */
  team: string | undefined
  /** The table knows teams, so that neither a caller's key nor a team that it named itself is passed on. */
  keyed: boolean
  /** Id of the last event that the caller has, where a stream goes on elsewhere. */
  resumeAt: string | undefined
}

export const outgoingOf = (request: IncomingMessage, body: Buffer, names: HeaderNames, marks: Marks): Outgoing => {
  const headers = passedHeaders(request.rawHeaders, notPassed(names, marks))
  headers.push(names.remainingMs, String(marks.remaining), names.expectedServer, marks.server)
  if (marks.engine !== undefined) {
    headers.push(names.priority, String(marks.engine.rank))
    if (marks.engine.version !== undefined) headers.push(names.expectedVersion, String(marks.engine.version))
  }
  if (marks.team !== undefined) headers.push(names.team, marks.team)
  if (marks.resumeAt !== undefined) headers.push(names.lastEventId, marks.resumeAt)
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
  if (body.length > 0 || length !== undefined || encoding !== undefined) headers.push('Content-Length', String(body.length))
  return { method: request.method ?? 'GET', path: request.url ?? '/', headers, body }
}

/** By what decides: whether the table knows teams, and whether a stream goes on. */
const knownSets = new Map<string, ReadonlySet<string>>()

/** Made once and not for each request. */
const notPassed = (names: HeaderNames, { resumeAt, keyed }: Marks): ReadonlySet<string> => {
  const id = `${keyed} ${resumeAt !== undefined}`
  const known = knownSets.get(id)
  if (known !== undefined) return known
  const set = new Set([...names.reserved, names.remainingMs, 'content-length', 'expect'])
  if (keyed) set.add(names.key).add(names.team)
  if (resumeAt !== undefined) set.add(names.lastEventId)
  knownSets.set(id, set)
  return set
}
