/**
 * Serves the requests of a caller's connection one at a time, in the order in which they arrived.
 *
 * A caller may send requests without waiting for the responses before (pipelining). An earlier response may be the last of its
 * connection: one without a length ends with it, one that is aborted closes it, and one may announce that it closes. Had the requests
 * behind it been passed on by then, they would run and their callers would not be answered. So a request has its turn once the responses
 * before it have been written whole and the connection is still open; otherwise it is dropped, and can safely be sent again.
 *
 * The connection is read on meanwhile, so that a caller that leaves is noticed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Node reads no more than this of a body that nobody reads. */
const maxUnreadBytes = 65_536

/** `hasTurn`: false if the connection has closed. */
type Resume = (hasTurn: boolean) => void

/** Requests that were dropped as their connection had closed. */
export interface DroppedRequests {
  count: number
  /** Whether the response before them had been written whole. */
  earlierAnswered: boolean
}

interface Connection {
  /** The response in progress. */
  current: ServerResponse | undefined
  readonly waiting: Resume[]
  /** It closes with the response in progress. */
  isEnding: boolean
}

/** Looked up in the list, as the parsed headers would take as much memory again. */
const headerOf = ({ rawHeaders }: IncomingMessage, name: string): string | undefined => {
  const index = rawHeaders.findIndex((text, index) => index % 2 === 0 && text.length === name.length && text.toLowerCase() === name)
  return index < 0 ? undefined : rawHeaders[index + 1]
}

/** How much of the request's body Node may read before anybody else does. */
const unreadBytesOf = (request: IncomingMessage): number =>
  Math.min(maxUnreadBytes, headerOf(request, 'transfer-encoding') === undefined ? Number(headerOf(request, 'content-length') ?? 0) : Infinity)

export class ConnectionTurns {
  readonly #connections = new Map<Socket, Connection>()
  #dropped = 0

  constructor (private readonly onDrop: (dropped: DroppedRequests) => void = () => {}) {}

  /** Requests dropped so far. */
  get dropped (): number {
    return this.#dropped
  }

  /** Resolves to whether the request may be served, once it is its turn; `undefined` if that is at once. */
  next (request: IncomingMessage, response: ServerResponse): Promise<boolean> | undefined {
    const { socket } = request
    // The rest of a batch, whose connection has closed within this turn of the event loop.
    if (socket.destroyed) {
      this.#dropped += 1
      return Promise.resolve(false)
    }
    const connection = this.#connectionOf(socket)
    if (connection.current === undefined && socket.writable) return this.#begin(socket, connection, response)
    return this.#wait(socket, connection, response)
  }

  /** How much of the request's body may be read before its turn. */
  unreadBytes (request: IncomingMessage): number {
    return this.#connections.get(request.socket)?.current === undefined ? 0 : unreadBytesOf(request)
  }

  /** Whether no request waits behind the one in progress. */
  isNewest (socket: Socket): boolean {
    return (this.#connections.get(socket)?.waiting.length ?? 0) === 0
  }

  /** Whether a request that has been read whole is in progress. */
  isRunning (socket: Socket): boolean {
    return this.#connections.get(socket)?.current?.req.complete === true
  }

  /** Whether the head of the response in progress has been written. */
  hasBegunResponse (socket: Socket): boolean {
    return this.#connections.get(socket)?.current?.headersSent === true
  }

  /** Whether the connection closes with the response in progress, whatever waits behind it. */
  isEnding (socket: Socket): boolean {
    return this.#connections.get(socket)?.isEnding === true
  }

  /** Closes the connection with the response in progress. */
  endAfterCurrent (socket: Socket): void {
    this.#connectionOf(socket).isEnding = true
  }

  /**
   * Lets the server close only connections as idle on which nothing is left to be written. To Node, a connection is idle once its response
   * has been ended, and `Server.close` closes those that are.
   */
  keepUnwritten (server: Server): void {
    const closeIdleConnections = server.closeIdleConnections.bind(server)
    server.closeIdleConnections = () => {
      const unwritten = [...this.#connections.values()].flatMap(({ current }) => current?.finished === true ? current : [])
      for (const response of unwritten) response.finished = false
      closeIdleConnections()
      for (const response of unwritten) response.finished = true
    }
  }

  #begin (socket: Socket, connection: Connection, response: ServerResponse): undefined {
    connection.current = response
    response.once('finish', () => this.#advance(socket, connection))
  }

  async #wait (socket: Socket, connection: Connection, response: ServerResponse): Promise<boolean> {
    return await new Promise<boolean>(resolve => {
      connection.waiting.push(hasTurn => {
        if (hasTurn) this.#begin(socket, connection, response)
        resolve(hasTurn)
      })
    })
  }

  /** The response in progress has been written. After one that was announced as the last, Node has ended the connection. */
  #advance (socket: Socket, connection: Connection): void {
    connection.current = undefined
    if (!socket.writable) return
    if (connection.isEnding) socket.destroySoon()
    else connection.waiting.shift()?.(true)
  }

  #end (socket: Socket): void {
    const connection = this.#connections.get(socket)
    this.#connections.delete(socket)
    if (connection === undefined) return
    const count = connection.waiting.length
    if (count === 0) return
    this.#dropped += count
    this.onDrop({ count, earlierAnswered: connection.current === undefined })
    for (const resume of connection.waiting.splice(0)) resume(false)
  }

  #connectionOf (socket: Socket): Connection {
    let connection = this.#connections.get(socket)
    if (connection === undefined) {
      connection = { current: undefined, waiting: [], isEnding: false }
      this.#connections.set(socket, connection)
      socket.once('close', () => this.#end(socket))
    }
    return connection
  }
}
