/**
 * What the stand-ins' HTTP servers share.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

export interface HttpStandIn {
  origin: string
  stop: () => Promise<void>
}

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

export const serve = async (handle: Handler): Promise<HttpStandIn> => {
  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy())
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const stop = async (): Promise<void> => {
    const closed = new Promise<void>(resolve => server.close(() => resolve()))
    server.closeAllConnections()
    await closed
  }
  return { origin: `http://127.0.0.1:${port}`, stop }
}

export const readBytes = async (request: IncomingMessage): Promise<Buffer> => {
  const pieces: Buffer[] = []
  for await (const piece of request) pieces.push(piece as Buffer)
  return Buffer.concat(pieces)
}

export const readJson = async (request: IncomingMessage): Promise<unknown> => {
  const bytes = await readBytes(request)
  return bytes.length === 0 ? {} : JSON.parse(bytes.toString())
}

export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void => {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(body))
}
