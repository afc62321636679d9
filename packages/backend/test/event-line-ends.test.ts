/* Guards against events that are held back until the next one, as the end of their last line is read apart from them. */
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { HttpEngine, type GenerationRequest } from '@finchpitch/backend'
import { expect } from 'chai'

describe('an event of an engine', () => {
  let server: Server
  let engine: HttpEngine

  const start = async (parts: readonly string[]): Promise<void> => {
    server = createServer((request, response) => {
      request.resume()
      response.writeHead(200, { 'content-type': 'text/event-stream', 'x-engine-boot': 'b' })
      void (async () => {
        for (const part of parts) {
          response.write(part)
          await new Promise(resolve => setTimeout(resolve, 20))
        }
      })()
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    engine = new HttpEngine(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  afterEach(async () => {
    server.closeAllConnections()
    server.close()
    await engine.close()
  })

  for (const [name, parts] of Object.entries({
    LF: ['id: 1\ndata: first\n\n'],
    'CR LF': ['id: 1\r\ndata: first\r\n\r\n'],
    'CR LF in parts': ['id: 1\r\ndata: first\r\n\r', '\n']
  })) {
    it(`whose lines end with ${name} is passed on while the stream stays open`, async () => {
      await start(parts)
      const call = { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('{}') }
      const response = await engine.generate({ id: 'r', label: 'l', call, priority: 0, salt: 't', fence: 1, signal: AbortSignal.timeout(1500) } as unknown as GenerationRequest)
      const chunks = response._unsafeUnwrap().body[Symbol.asyncIterator]()
      const { value } = await chunks.next() as { value: Uint8Array }
      expect(Buffer.from(value).toString()).to.contain('first')
    })
  }
})
