/**
 * Keep-alive connections of callers, and when to close them so that they are balanced again.
 *
 * The platform's load balancer assigns an entry process to each new connection and never moves an open one. While an
 * entry is down, its callers reconnect to the others and would stay there after it returns, so that one entry ends up
 * with nearly all of them. When an entry joins, the connections opened before that are therefore closed gracefully,
 * each with its next response (`Connection: close`).
 *
 * Callers get only a part of the connections that the process may have open, and those beyond are refused at once. If idle callers
 * had all of them, no request could be sent to a server, and neither peers nor readiness checks would find the process.
 *
 * Otherwise connections are kept open: Node accepts one new connection per turn of the event loop, so a busy entry
 * that has to accept many of them falls behind.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Log } from '@finchpitch/core'
import { nowMs } from '../../clock.js'

/** The load balancer checks readiness every second, so it knows a joined entry to be ready by then. */
const readinessDelayMs = 1500
/** Closes are spread over this time, so that callers don't all reconnect at once. */
const closeSpreadMs = 2500
/** The other half is for connections to servers, of which each request needs one, to peers and to the store. */
const callerShare = 0.5
/** Beyond this share of the callers' connections, each is closed with its response, so that idle ones don't keep other callers out. */
const keptShare = 0.75
const refusalLogIntervalMs = 1000

interface OpenConnection {
  at: number
  /** Random position within the spread, from 0 to 1. */
  spreadFraction: number
}

export class CallerConnections {
  readonly #open = new WeakMap<Socket, OpenConnection>()
  /** The last known number of entries; 0 until one is known. */
  #entries = 0
  /** Connections opened before this are closed. */
  #rebalanceAt = -Infinity
  #count = 0
  #refused = 0
  #refusalLoggedAt = -Infinity

  constructor (private readonly server: Server, private readonly log: Log) {
    server.on('connection', (socket: Socket) => {
      this.#open.set(socket, { at: nowMs(), spreadFraction: Math.random() })
      this.#count += 1
      socket.once('close', () => { this.#count -= 1 })
    })
    server.on('drop', () => this.#recordRefusal())
  }

  get count (): number {
    return this.#count
  }

  /** Connections refused so far. */
  get refused (): number {
    return this.#refused
  }

  /** `maxSockets`: how many connections of all kinds the process may have open; `undefined` if that is not known. */
  setMaxSockets (maxSockets = Infinity): void {
    this.server.maxConnections = Math.max(1, Math.floor(maxSockets * callerShare))
  }

  get entries (): number {
    return this.#entries
  }

  /** `undefined` while no side process reports a count; the last one stays in use. */
  setEntryCount (entries: number | undefined): void {
    if (entries === undefined) return
    if (this.#entries > 0 && entries > this.#entries) this.#rebalanceAt = nowMs() + readinessDelayMs
    this.#entries = entries
  }

  /** Whether the next response on the connection should be its last. */
  shouldClose (socket: Socket): boolean {
    const connection = this.#open.get(socket)
    if (connection === undefined) return false
    if (this.#count > this.server.maxConnections * keptShare) return true
    if (connection.at > this.#rebalanceAt) return false
    return nowMs() > this.#rebalanceAt + connection.spreadFraction * closeSpreadMs
  }

  #recordRefusal (): void {
    this.#refused += 1
    const now = nowMs()
    if (now - this.#refusalLoggedAt < refusalLogIntervalMs) return
    this.#refusalLoggedAt = now
    this.log.warn('callers.refused', { open: this.#count, max: this.server.maxConnections, refused: this.#refused })
  }
}
