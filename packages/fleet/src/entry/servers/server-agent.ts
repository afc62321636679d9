/**
 * Connection pool to a backend server, with short idle timeouts.
 *
 * A server closes idle connections and may do so just as a request is being sent; that request may have run, so it
 * can't be sent again. A connection is therefore reused only well within the keep-alive timeout that the server
 * states. Bytes that arrive on an idle connection belong to no request, so they close it.
 */
import { Agent, type AgentOptions, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Fraction of the stated keep-alive timeout that is used; the remainder covers network latency and late timers. */
const keepAliveShare = 0.8
/** The default where a server states no timeout, and the upper bound where it does: these servers drop idle connections after 1.5 s. */
const maxIdleMs = 800
/** A server's address is reassigned to another server after some seconds; no connection may stay idle that long. */
const socketTimeoutMs = 30_000

const idleTimeoutOf = (response: IncomingMessage | undefined): number => {
  const stated = /timeout=(\d+)/.exec(String(response?.headers['keep-alive'] ?? ''))?.[1]
  return stated === undefined ? maxIdleMs : Math.min(maxIdleMs, Number(stated) * 1000 * keepAliveShare)
}

/**
 * Options of `Socket`, which the agent passes on. By default a paused connection reads ahead until its buffer is full, so that a
 * response which its caller does not read keeps a further chunk of 64 kB.
 */
const unbuffered: object = { readableHighWaterMark: 0 }

interface PooledSocket extends Socket {
  _httpMessage?: ClientRequest & { res?: IncomingMessage }
}

const idleCleanups = new WeakMap<Duplex, () => void>()

class KeepAliveAgent extends Agent {
  constructor (options: AgentOptions) {
    super({ keepAlive: true, scheduling: 'lifo', timeout: socketTimeoutMs, ...unbuffered, ...options })
  }

  override keepSocketAlive (socket: PooledSocket): boolean {
    const idleMs = idleTimeoutOf(socket._httpMessage?.res)
    if (idleMs <= 0) return false
    const timer = setTimeout(() => socket.destroy(), idleMs)
    const onUnexpectedData = (): void => { socket.destroy() }
    socket.on('data', onUnexpectedData)
    socket.setKeepAlive(true, 1000)
    idleCleanups.set(socket, () => {
      clearTimeout(timer)
      socket.removeListener('data', onUnexpectedData)
    })
    return true
  }

  override reuseSocket (socket: PooledSocket, request: ClientRequest): void {
    super.reuseSocket(socket, request)
    idleCleanups.get(socket)?.()
    idleCleanups.delete(socket)
  }
}

export const createServerAgent = (maxSockets: number): Agent => new KeepAliveAgent({ maxSockets, maxFreeSockets: maxSockets })
