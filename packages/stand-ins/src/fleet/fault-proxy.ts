/**
 * A proxy on loopback that harms connections: delays, resets, silences or cuts them one way.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { once } from 'node:events'

export type Harm =
  | { type: 'none' }
  | { type: 'delay', ms: number }
  | { type: 'reset' }
  /** Connections stay open and nothing passes. */
  | { type: 'silence' }
  /** Requests pass, answers don't. */
  | { type: 'one_way' }

/**
 * Resets a connection, or closes it where its end is on its way: a socket that is reset then never closes, and its process never
 * ends (seen with Node 20).
 */
export const resetSocket = (socket: Socket): void => {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

export class FaultProxy {
  harm: Harm = { type: 'none' }
  readonly #pairs = new Set<[Socket, Socket]>()
  #server: Server | undefined

  /** Listens at `ip:port` for what listens at `targetIp:target`. */
  async start (ip: string, port: number, target: number, targetIp = ip): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, near => this.#join(near, connect({ host: targetIp, port: target, allowHalfOpen: true })))
    this.#server = server
    server.listen(port, ip)
    await once(server, 'listening')
  }

  /** Resets what is open. */
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

  #join (near: Socket, far: Socket): void {
    if (this.harm.type === 'reset') {
      resetSocket(near)
      far.destroy()
      return
    }
    const pair: [Socket, Socket] = [near, far]
    this.#pairs.add(pair)
    this.#pass(near, far, false)
    this.#pass(far, near, true)
    for (const [socket, other] of [[near, far], [far, near]] as const) {
      socket.on('error', () => resetSocket(other))
      socket.on('close', () => {
        this.#pairs.delete(pair)
        other.destroy()
      })
    }
  }

  #pass (from: Socket, to: Socket, answers: boolean): void {
    from.on('data', (piece: Buffer) => this.#harmed(() => to.write(piece), answers))
    from.on('end', () => this.#harmed(() => to.end(), answers))
  }

  #harmed (send: () => void, answers: boolean): void {
    const { harm } = this
    if (harm.type === 'silence' || (harm.type === 'one_way' && answers)) return
    if (harm.type === 'delay') setTimeout(send, harm.ms)
    else send()
  }
}
