/*
 * Guards against a platform that sends bytes without end: every process kept all of an object, a watched line or the instance list, and all
 * of them ended for their memory within seconds.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { HttpInstanceList, HttpStore } from '@finchpitch/store'
import { expect } from 'chai'

const megabyte = 1024 * 1024
/** What a call reads at most, and what sockets buffer on the way. */
const maxWrittenBytes = 32 * megabyte
const chunk = Buffer.alloc(64 * 1024, 'x')

describe('a platform that sends bytes without end', function () {
  this.timeout(10_000)
  let server: Server
  let sockets: Socket[]
  let origin: string
  let store: HttpStore

  beforeEach(async () => {
    sockets = []
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.once('data', () => {
        const fill = (): void => { while (!socket.destroyed && socket.write(chunk)); }
        socket.on('drain', fill)
        socket.write('HTTP/1.1 200 OK\r\n\r\n')
        fill()
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    store = new HttpStore(origin)
  })

  afterEach(async () => {
    await store.close()
    server.close()
    for (const socket of sockets) socket.destroy()
  })

  const expectBounded = (): void => { expect(sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0)).to.be.within(1, maxWrittenBytes) }

  it('in an object gets its connection closed', async () => {
    expect((await store.get('a')).isErr()).to.equal(true)
    expectBounded()
  })

  it('in a line of a watch gets its connection closed', async () => {
    const signal = AbortSignal.timeout(3000)
    for await (const event of store.watch('a', '1' as never, signal)) expect(event.type).to.equal('ended')
    expect(signal.aborted).to.equal(false)
    expectBounded()
  })

  it('in the instance list gets its connection closed', async () => {
    expect((await new HttpInstanceList(origin).read()).isErr()).to.equal(true)
    expectBounded()
  })
})
