/* Guards against responses with a status that no final response has, which callers got as they were. */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { HttpEngine, HttpService, type GenerationRequest } from '@finchpitch/backend'
import { expect } from 'chai'

const call = { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('{}') }

describe('a response with a status that no final response has', () => {
  let server: Server
  let sockets: Socket[]
  let origin: string

  const start = async (status: string): Promise<void> => {
    sockets = []
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.on('data', () => { socket.write(`HTTP/1.1 ${status} X\r\ncontent-length: 4\r\n\r\ntext`) })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  afterEach(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })

  for (const status of ['600', '999']) {
    it(`leaves the outcome of a call unknown (${status})`, async () => {
      await start(status)
      const service = new HttpService(origin)
      const result = await service.call({ call, fence: 1, signal: new AbortController().signal })
      await service.close()
      expect(result._unsafeUnwrapErr().code).to.equal('lost')
    })

    it(`leaves the outcome of a generation unknown (${status})`, async () => {
      await start(status)
      const engine = new HttpEngine(origin)
      const result = await engine.generate({ id: 'r', label: 'l', call, priority: 0, salt: 't', fence: 1, signal: new AbortController().signal } as unknown as GenerationRequest)
      await engine.close()
      expect(result._unsafeUnwrapErr().code).to.equal('lost')
    })
  }
})
