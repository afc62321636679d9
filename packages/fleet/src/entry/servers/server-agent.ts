/**
 * Connection pool to a backend server, with short idle timeouts.
 *
 * A server closes idle connections and may do so just as a request is being sent; that request may have run, so it
 * can't be sent again. A connection is therefore reused only well within the keep-alive timeout that the server
 * states. Bytes that arrive on an idle connection belong to no request, so they close it.
 *
 * A faulty server may send a second copy of a response, which arrives where the next response on the connection is due. The request id
 * tells it from the response to another request, but not from the response to a later attempt of the same one. A connection therefore
 * does not carry an id that it has carried lately, whether in an attempt of the same request or in a request of another caller.
 */
import { Agent, type AgentOptions, type ClientRequest, type IncomingMessage, type RequestOptions } from 'node:http'
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

/** A late copy of a response arrives where one of the next responses is due, so older ids need not be remembered. */
const maxRememberedIds = 32

interface PooledSocket extends Socket {
  _httpMessage?: ClientRequest & { res?: IncomingMessage }
}

/** The lists of an agent by name of their origin. Node declares them as read-only, but offers no other way to choose a connection. */
type SocketLists = Record<string, Socket[]>

/** Options of a request, with the id by which its response is recognized. */
export interface IdentifiedRequestOptions extends RequestOptions {
  requestId?: string
}

declare module 'http' {
  interface Agent {
    /** Not documented, but stable: other agents override it too. Assigns a connection to the request, or queues it for one. */
    addRequest (request: ClientRequest, options: IdentifiedRequestOptions): void
  }
}

const idleCleanups = new WeakMap<Duplex, () => void>()

class KeepAliveAgent extends Agent {
  readonly #idOf = new WeakMap<ClientRequest, string>()
  /** Ids of the last requests that each connection has carried. */
  readonly #carriedIds = new WeakMap<Duplex, Set<string>>()

  constructor (options: AgentOptions) {
    super({ keepAlive: true, scheduling: 'lifo', timeout: socketTimeoutMs, ...unbuffered, ...options })
    // Before the listener of Node, which gives the connection to the first request in the queue.
    this.prependListener('free', (socket: Duplex, options: RequestOptions) => this.#arrangeQueue(socket, options))
  }

  override addRequest (request: ClientRequest, options: IdentifiedRequestOptions): void {
    const { requestId } = options
    if (requestId === undefined) return super.addRequest(request, options)
    this.#idOf.set(request, requestId)
    request.once('socket', socket => this.#recordCarried(socket, requestId))
    const name = this.getName(options)
    const free = this.#freeSockets[name] ?? []
    const usable = free.findLastIndex(socket => !this.#hasCarried(socket, requestId))
    if (usable >= 0) {
      // Node takes the last one.
      free.push(...free.splice(usable, 1))
      return super.addRequest(request, options)
    }
    this.#addWithoutReuse(request, options, name, free)
  }

  /**
   * Assigns a new connection, by passing the free ones off as in use. If there are too many connections, one of those is closed, and Node
   * opens the new one in its place.
   */
  #addWithoutReuse (request: ClientRequest, options: IdentifiedRequestOptions, name: string, free: Socket[]): void {
    const inUse = (this.sockets as SocketLists)[name] ??= []
    const replaced = free.length + inUse.length >= this.maxSockets ? free.shift() : undefined
    if (replaced !== undefined) inUse.push(replaced)
    const keptAt = inUse.length
    inUse.push(...free)
    delete this.#freeSockets[name]
    super.addRequest(request, options)
    inUse.splice(keptAt, free.length)
    if (free.length > 0) this.#freeSockets[name] = free
    replaced?.destroy()
  }

  /** Moves a request that the connection may carry to the front of the queue. Closes the connection if there is none. */
  #arrangeQueue (socket: Duplex, options: RequestOptions): void {
    const queue = this.requests[this.getName(options)] as ClientRequest[] | undefined
    if (queue === undefined || queue.length === 0) return
    const next = queue.findIndex(request => !this.#hasCarried(socket, this.#idOf.get(request)))
    if (next < 0) socket.destroy()
    else queue.unshift(...queue.splice(next, 1))
  }

  #hasCarried (socket: Duplex, requestId: string | undefined): boolean {
    return requestId !== undefined && this.#carriedIds.get(socket)?.has(requestId) === true
  }

  #recordCarried (socket: Duplex, requestId: string): void {
    const ids = this.#carriedIds.get(socket) ?? new Set()
    this.#carriedIds.set(socket, ids.add(requestId))
    const [oldest] = ids
    if (ids.size > maxRememberedIds && oldest !== undefined) ids.delete(oldest)
  }

  get #freeSockets (): SocketLists {
    return this.freeSockets as SocketLists
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
