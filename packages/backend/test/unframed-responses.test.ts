/*
 * Guards against truncated responses of a plain service that callers take for complete: a response without a length or chunks also ends
 * where its service is killed.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { HttpService } from '@finchpitch/backend'
import { expect } from 'chai'

describe('a response of a plain service that ends with its connection', () => {
  let server: Server
  let service: HttpService

  const start = async (end: (socket: Socket) => void): Promise<void> => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\npart')
        setTimeout(() => end(socket), 20)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    service = new HttpService(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  afterEach(async () => {
    await service.close()
    server.close()
  })

  const read = async (): Promise<string> => {
    const call = { method: 'POST', path: '/', headers: {}, body: Buffer.alloc(0) }
    const result = await service.call({ call, fence: 1, signal: new AbortController().signal })
    if (result.isErr()) return result.error.code
    let text = ''
    for await (const chunk of result.value.body) text += Buffer.from(chunk).toString()
    return text
  }

  it('is whole if the service goes on', async () => {
    await start(socket => socket.end(' and end'))
    expect(await read()).to.equal('part and end')
  })

  it('is truncated if the service was killed', async () => {
    await start(socket => {
      server.close()
      socket.end()
    })
    let error: unknown
    await read().catch(thrown => { error = thrown })
    expect(error).to.be.instanceOf(Error)
  })
})
