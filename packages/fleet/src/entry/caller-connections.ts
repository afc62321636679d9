/**
 * Connections of callers, and when each should be taken up anew.
 *
 * The platform's balancer chooses an entry for each new connection and never moves an open one. While an entry is
 * away its callers land elsewhere and would stay there when it is back, so one entry ends up with nearly all of them.
 * A connection that has lived long enough is therefore ended politely, with its next answer.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { nowMs } from '../clock.js'

/**
 * How long a connection is kept. Some seconds bring the load back soon after an entry's return; taking up a
 * connection costs the caller two passages (6 ms here).
 */
const keepMs = 4000
/** Each connection's time is spread by this part, so that connections taken up together are not given up together. */
const spread = 0.5

export class CallerConnections {
  readonly #until = new WeakMap<Socket, number>()

  constructor (server: Server) {
    server.on('connection', (socket: Socket) => {
      this.#until.set(socket, nowMs() + keepMs * (1 - spread / 2 + Math.random() * spread))
    })
  }

  /** Whether the next answer on the connection should be its last. */
  isOld (socket: Socket): boolean {
    return nowMs() > (this.#until.get(socket) ?? Infinity)
  }
}
