/**
 * Connections to backend servers: kept for the next request, never for long.
 *
 * A server closes what rests and may do so while a request is on its way; such a request may have run and can't be
 * sent again. So a connection is used again only well within the time that the server gave. Bytes that come on a
 * resting connection belong to no request and end it.
 */
import { Agent, type AgentOptions, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** The part of the stated rest that is used; the remainder covers the way there and a clock that is late. */
const usedShare = 0.8
/** Used where a server states no rest, and the most where it states a longer one: these servers drop after 1.5 s. */
const mostRestMs = 800
/** A server's address is given to another after some seconds; nothing may rest that long. */
const socketTimeoutMs = 30_000

const statedRestMs = (answer: IncomingMessage | undefined): number => {
  const stated = /timeout=(\d+)/.exec(String(answer?.headers['keep-alive'] ?? ''))?.[1]
  return stated === undefined ? mostRestMs : Math.min(mostRestMs, Number(stated) * 1000 * usedShare)
}

interface KeptSocket extends Socket {
  _httpMessage?: ClientRequest & { res?: IncomingMessage }
}

const resting = new WeakMap<Duplex, () => void>()

class RestingAgent extends Agent {
  constructor (options: AgentOptions) {
    super({ keepAlive: true, scheduling: 'lifo', timeout: socketTimeoutMs, ...options })
  }

  override keepSocketAlive (socket: KeptSocket): boolean {
    const restMs = statedRestMs(socket._httpMessage?.res)
    if (restMs <= 0) return false
    const timer = setTimeout(() => socket.destroy(), restMs)
    const surplus = (): void => { socket.destroy() }
    socket.on('data', surplus)
    socket.setKeepAlive(true, 1000)
    resting.set(socket, () => {
      clearTimeout(timer)
      socket.removeListener('data', surplus)
    })
    return true
  }

  override reuseSocket (socket: KeptSocket, request: ClientRequest): void {
    super.reuseSocket(socket, request)
    resting.get(socket)?.()
    resting.delete(socket)
  }
}

export const serverAgent = (maxSockets: number): Agent => new RestingAgent({ maxSockets, maxFreeSockets: maxSockets })
