/**
 * Sends requests to the entries of a test fleet, as a caller does.
 */
import { request, type Agent, type IncomingHttpHeaders } from 'node:http'
import type { FleetSystem } from './fleet-system.js'

export interface FleetResponse {
  status: number
  headers: IncomingHttpHeaders
  body: string
  /** Whether the response was received completely. */
  whole: boolean
}

export interface FleetRequest {
  path: string
  id: string
  model?: string
  /** The deadline that the caller sends, as the time left in ms. */
  remainingMs?: number
  headers?: Record<string, string | string[]>
  agent?: Agent
  /** Index of the entry in the fleet's `entries`. */
  entry?: number
  /** The caller closes its connection after this time. */
  disconnectAfterMs?: number
  body?: string
}

/** Sends a request. Rejects if the connection ends before a response begins. */
export const sendToFleet = (fleet: FleetSystem, { path, id, model, remainingMs = 3000, headers = {}, agent, entry = 0, disconnectAfterMs, body = '{"ask":1}' }: FleetRequest): Promise<FleetResponse> => new Promise((resolve, reject) => {
  const allHeaders = { host: 'fleet.example', 'request-id': id, 'deadline-ms': String(remainingMs), ...(model === undefined ? {} : { model }), ...headers }
  const outgoing = request({ ...fleet.callerAddress(entry), method: 'POST', path, headers: allHeaders, agent }, response => {
    let text = ''
    response.setEncoding('utf8').on('data', (chunk: string) => { text += chunk })
    const finish = (whole: boolean) => (): void => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text, whole })
    response.on('end', finish(true))
    response.on('error', finish(false))
  })
  outgoing.on('error', reject)
  outgoing.end(body)
  if (disconnectAfterMs !== undefined) setTimeout(() => outgoing.destroy(), disconnectAfterMs)
})
