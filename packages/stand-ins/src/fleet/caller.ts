/**
 * A caller of a fleet.
 */
import { request, type Agent, type IncomingHttpHeaders } from 'node:http'
import type { FleetSystem } from './fleet-system.js'

export interface Reply {
  status: number
  headers: IncomingHttpHeaders
  body: string
  /** It came to its end. */
  whole: boolean
}

export interface Ask {
  path: string
  id: string
  model?: string
  /** Time that the caller states it has left. */
  remainingMs?: number
  headers?: Record<string, string | string[]>
  agent?: Agent
  /** The place of the entry in the fleet's list. */
  entry?: number
  /** The caller closes its connection then. */
  leaveAfterMs?: number
  body?: string
}

/** Rejects where no answer begins. */
export const askFleet = (fleet: FleetSystem, { path, id, model, remainingMs = 3000, headers = {}, agent, entry = 0, leaveAfterMs, body = '{"ask":1}' }: Ask): Promise<Reply> => new Promise((resolve, reject) => {
  const all = { host: 'fleet.example', 'request-id': id, 'deadline-ms': String(remainingMs), ...(model === undefined ? {} : { model }), ...headers }
  const outgoing = request({ ...fleet.callerAddress(entry), method: 'POST', path, headers: all, agent }, answer => {
    let text = ''
    answer.setEncoding('utf8').on('data', (piece: string) => { text += piece })
    const end = (whole: boolean) => (): void => resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: text, whole })
    answer.on('end', end(true))
    answer.on('error', end(false))
  })
  outgoing.on('error', reject)
  outgoing.end(body)
  if (leaveAfterMs !== undefined) setTimeout(() => outgoing.destroy(), leaveAfterMs)
})
