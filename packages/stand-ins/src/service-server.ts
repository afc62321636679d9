/**
 * HTTP server for a `MemoryService`.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { HttpStandIn, readBytes } from './http-stand-in.js'
import type { MemoryService } from './memory-service.js'

export class ServiceServer extends HttpStandIn {
  constructor (readonly service: MemoryService) {
    super()
  }

  protected override async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBytes(request)
    const call = { method: request.method ?? 'GET', path: request.url ?? '/', headers: {}, body }
    const answer = await this.service.call({ call, fence: 0, signal: new AbortController().signal })
    if (answer.isErr()) {
      response.destroy()
      return
    }
    response.writeHead(answer.value.status, answer.value.headers)
    for await (const chunk of answer.value.body) response.write(chunk)
    response.end()
  }
}
