/**
 * A TCP proxy on loopback that injects connection faults: delays, resets, silence in both directions, or lost responses.
 *
 * As with TCP itself, each direction of a connection delivers a prefix of what was sent, in order: data that follows delayed data waits
 * for it, and a connection that has lost data is reset before it would forward any more. A peer that does not read is noticed through
 * the proxy, which stops reading while the other side is full.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { OrderedSends } from '../ordered-sends.js'

export type ConnectionFault =
  | { type: 'none' }
  | { type: 'delay', ms: number }
  | { type: 'reset' }
  /** Connections stay open, but no data is forwarded. */
  | { type: 'silence' }
  /** Requests are forwarded, responses are not. */
  | { type: 'one_way' }

/**
 * Resets a connection, or destroys the socket without a reset if it was already ended: a socket that is reset after `end` never emits
 * `close`, and its process never exits (seen with Node 20).
 */
export const resetSocket = (socket: Socket): void => {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

export class FaultProxy {
  fault: ConnectionFault = { type: 'none' }
  readonly #pairs = new Set<[Socket, Socket]>()
  #server: Server | undefined

  /** Listens at `ip:port` and forwards connections to `targetIp:target`. */
  async start (ip: string, port: number, target: number, targetIp = ip): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, client => this.#connect(client, connect({ host: targetIp, port: target, allowHalfOpen: true })))
    this.#server = server
    server.listen(port, ip)
    await once(server, 'listening')
  }

  /** Resets all open connections. */
  resetAll (): void {
    for (const pair of this.#pairs) for (const socket of pair) resetSocket(socket)
  }

  async stop (): Promise<void> {
    this.resetAll()
    const server = this.#server
    if (server === undefined) return
    const closed = once(server, 'close')
    server.close()
    await closed
  }

  #connect (client: Socket, upstream: Socket): void {
    if (this.fault.type === 'reset') {
      resetSocket(client)
      upstream.destroy()
      return
    }
    const pair: [Socket, Socket] = [client, upstream]
    this.#pairs.add(pair)
    const directions = [this.#forward(client, upstream, false), this.#forward(upstream, client, true)]
    for (const [socket, other] of [[client, upstream], [upstream, client]] as const) {
      socket.on('error', () => resetSocket(other))
      socket.on('close', () => {
        this.#pairs.delete(pair)
        for (const sends of directions) sends.clear()
        other.destroy()
      })
    }
  }

  /** Forwards one direction of a connection. Returns its pending sends. */
  #forward (from: Socket, to: Socket, isResponse: boolean): OrderedSends {
    const sends = new OrderedSends()
    let hasLost = false
    const forward = (send: () => void): void => {
      const { fault } = this
      if (fault.type === 'silence' || (fault.type === 'one_way' && isResponse)) {
        hasLost = true
      } else if (hasLost) {
        for (const socket of [from, to]) resetSocket(socket)
      } else {
        sends.add(send, fault.type === 'delay' ? fault.ms : 0)
      }
    }
    const write = (chunk: Buffer): void => {
      if (to.write(chunk)) return
      from.pause()
      to.once('drain', () => from.resume())
    }
    from.on('data', (chunk: Buffer) => forward(() => write(chunk)))
    from.on('end', () => forward(() => to.end()))
    return sends
  }
}
