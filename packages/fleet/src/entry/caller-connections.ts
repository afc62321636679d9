/**
 * Connections of callers, and when they should be taken up anew.
 *
 * The platform's balancer chooses an entry for each new connection and never moves an open one. While an entry is
 * away its callers land elsewhere and would stay there when it is back, so one entry ends up with nearly all of them.
 * So once an entry has come, the connections from before are ended politely, each with its next answer.
 *
 * In between they are kept: the runtime takes up one new connection in each turn of its event loop, so a busy entry
 * that has to take up many falls behind with them.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { nowMs } from '../clock.js'

/** The balancer asks each second whether an entry is ready, and one that has come is so by then. */
const settleMs = 1500
/** Connections are ended over this time, so that their callers don't all come back at once. */
const spreadMs = 2500

interface Opened {
  at: number
  /** Its place in the time over which connections are ended, from 0 to 1. */
  place: number
}

export class CallerConnections {
  readonly #opened = new WeakMap<Socket, Opened>()
  /** How many entries there are, as last noted; 0 where nothing is known. */
  #entries = 0
  /** Connections from before this are ended. */
  #renewAt = -Infinity

  constructor (server: Server) {
    server.on('connection', (socket: Socket) => {
      this.#opened.set(socket, { at: nowMs(), place: Math.random() })
    })
  }

  get entries (): number {
    return this.#entries
  }

  noteEntries (entries: number): void {
    if (this.#entries > 0 && entries > this.#entries) this.#renewAt = nowMs() + settleMs
    this.#entries = entries
  }

  /** Whether the next answer on the connection should be its last. */
  isOld (socket: Socket): boolean {
    const opened = this.#opened.get(socket)
    if (opened === undefined || opened.at > this.#renewAt) return false
    return nowMs() > this.#renewAt + opened.place * spreadMs
  }
}
