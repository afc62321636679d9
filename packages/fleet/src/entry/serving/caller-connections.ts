/**
 * Keep-alive connections of callers, and when to close them so that they are balanced again.
 *
 * The platform's load balancer assigns an entry process to each new connection and never moves an open one. While an
 * entry is down, its callers reconnect to the others and would stay there after it returns, so that one entry ends up
 * with nearly all of them. When an entry joins, the connections opened before that are therefore closed gracefully,
 * each with its next response (`Connection: close`).
 *
 * Otherwise connections are kept open: Node accepts one new connection per turn of the event loop, so a busy entry
 * that has to accept many of them falls behind.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { nowMs } from '../../clock.js'

/** The load balancer checks readiness every second, so it knows a joined entry to be ready by then. */
const readinessDelayMs = 1500
/** Closes are spread over this time, so that callers don't all reconnect at once. */
const closeSpreadMs = 2500

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

  constructor (server: Server) {
    server.on('connection', (socket: Socket) => {
      this.#open.set(socket, { at: nowMs(), spreadFraction: Math.random() })
    })
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
    if (connection === undefined || connection.at > this.#rebalanceAt) return false
    return nowMs() > this.#rebalanceAt + connection.spreadFraction * closeSpreadMs
  }
}
