/**
 * The plain service's stand-in over HTTP.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBytes, serve, type HttpStandIn } from './http-stand-in.js'
import type { MemoryService } from './memory-service.js'

export class ServiceServer {
  #server: HttpStandIn | undefined

  constructor (readonly service: MemoryService) {}

  async start (): Promise<string> {
    this.#server = await serve((request, response) => this.#handle(request, response))
    return this.#server.origin
  }

  async stop (): Promise<void> {
    await this.#server?.stop()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBytes(request)
    const call = { method: request.method ?? 'GET', path: request.url ?? '/', headers: {}, body }
    const answer = await this.service.call({ call, fence: 0, signal: new AbortController().signal })
    if (answer.isErr()) {
      response.destroy()
      return
    }
    response.writeHead(answer.value.status, answer.value.headers)
    for await (const piece of answer.value.body) response.write(piece)
    response.end()
  }
}
