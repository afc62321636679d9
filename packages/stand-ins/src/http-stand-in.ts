/**
 * Base class and helpers for the HTTP servers of the stand-ins.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** An HTTP server whose subclass handles the requests. A handler that rejects destroys the response. */
export abstract class HttpStandIn {
  #server: Server | undefined
  readonly #sockets = new Set<Socket>()

  /** Starts listening and returns the server's origin. If `port` is 0, the operating system picks a free port. */
  async start (host = '127.0.0.1', port = 0): Promise<string> {
    const server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy())
    })
    this.#server = server
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    server.listen(port, host)
    await once(server, 'listening')
    return this.origin
  }

  /**
   * Starts to listen anew at the same address, as a new process does before the connections of one that was killed have ended at their
   * other side. Returns a function that ends these in order.
   */
  async startAnew (): Promise<() => void> {
    const former = [...this.#sockets]
    const { address, port } = this.#server?.address() as AddressInfo
    this.#server?.close()
    await this.start(address, port)
    return () => { for (const socket of former) socket.end() }
  }

  /** Available while the server listens. */
  get origin (): string {
    const address = this.#server?.address()
    if (address === null || address === undefined || typeof address === 'string') throw new Error('the server does not listen')
    return `http://${address.address}:${address.port}`
  }

  async stop (): Promise<void> {
    const server = this.#server
    if (server === undefined) return
    const closed = new Promise<void>(resolve => server.close(() => resolve()))
    server.closeAllConnections()
    await closed
  }

  protected abstract handle (request: IncomingMessage, response: ServerResponse): Promise<void>
}

export const readBytes = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

export const readJson = async (request: IncomingMessage): Promise<unknown> => {
  const bytes = await readBytes(request)
  return bytes.length === 0 ? {} : JSON.parse(bytes.toString())
}

export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void => {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(body))
}
