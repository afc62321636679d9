/**
 * The soak's callers: what they ask, and what they were answered.
 */
import { request, type Agent } from 'node:http'
import type { FleetSystem } from '@finchpitch/stand-ins'
import type { Dice } from './random.js'

export interface Result {
  id: string
  path: string
  /** The place of the entry that was asked. */
  entry: number
  /** When it was sent and when its answer ended, on the steady clock. */
  sentAt: number
  endedAt: number
  /** The server that answered, by its seal; empty where none did. */
  server: string
  status: number
  body: string
  whole: boolean
}

/** Time that callers state they have left. */
const remainingMs = 1500
const paths = ['/once/x', '/again/x', '/stream/x', '/resume/x'] as const
const sealPrefix = 'seal-'

export const ask = (fleet: FleetSystem, dice: Dice, agents: readonly Agent[], id: string, path: string = dice.pick(paths)): Promise<Result> => new Promise(resolve => {
  const entry = dice.between(0, fleet.entries.length - 1)
  const engine = path.startsWith('/stream') || path.startsWith('/resume')
  const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': String(remainingMs), ...(engine ? { model: `base/a${dice.between(1, 10)}` } : {}) }
  const sentAt = performance.now()
  let status = 0
  let body = ''
  let server = ''
  const end = (whole: boolean): void => resolve({ id, path, entry, sentAt, endedAt: performance.now(), server, status, body, whole })
  const outgoing = request({ ...fleet.callerAddress(entry), agent: agents[entry], method: 'POST', path, headers }, answer => {
    status = answer.statusCode ?? 0
    server = String(answer.headers['response-seal'] ?? '').slice(sealPrefix.length)
    answer.setEncoding('utf8').on('data', (piece: string) => { body += piece })
    answer.on('end', () => end(true))
    answer.on('error', () => end(false))
  })
  outgoing.setTimeout(remainingMs * 3, () => outgoing.destroy())
  outgoing.on('error', () => end(false))
  outgoing.end('{}')
})
