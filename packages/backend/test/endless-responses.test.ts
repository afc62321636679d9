/*
 * Guards against engines that send bytes without end: a side process kept all of a report, a refusal, the response to an order or an event,
 * and ended for its memory with all requests that it carried.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { HttpEngine, HttpService, type GenerationRequest } from '@finchpitch/backend'
import { expect } from 'chai'

const megabyte = 1024 * 1024
/** What the calls read at most, what sockets buffer on the way, and the resumption of a stream. */
const maxWrittenBytes = 16 * megabyte
/** Far above the time for what may be read, far below the memory of a machine. */
const maxMs = 5000
const filler = (text: string): Buffer => Buffer.from(text.repeat(Math.ceil(64 * 1024 / text.length)))
const head = (status: number, headers = ''): string => `HTTP/1.1 ${status} X\r\nx-engine-boot: b\r\n${headers}\r\n`
const events = 'content-type: text/event-stream\r\n'

describe('an engine that sends bytes without end', function () {
  this.timeout(10_000)
  let server: Server
  let sockets: Socket[]
  let origin: string
  let engine: HttpEngine

  const start = async (first: string, then: Buffer): Promise<void> => {
    sockets = []
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.once('data', () => {
        const fill = (): void => { while (!socket.destroyed && socket.write(then)); }
        socket.on('drain', fill)
        socket.write(first)
        fill()
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    engine = new HttpEngine(origin)
  }

  afterEach(async () => {
    await engine.close()
    server.close()
    for (const socket of sockets) socket.destroy()
  })

  const expectBounded = (): void => { expect(sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0)).to.be.within(1, maxWrittenBytes) }
  const call = { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('{}') }
  const signal = (): AbortSignal => AbortSignal.timeout(maxMs)
  const generation = (): GenerationRequest => ({ id: 'r', label: 'l', call, priority: 0, salt: 't', fence: 1, signal: signal() }) as unknown as GenerationRequest

  it('in a report gets its connection closed', async () => {
    await start(head(200), filler('['))
    expect((await engine.report()).isErr()).to.equal(true)
    expectBounded()
  })

  for (const status of [200, 500]) {
    it(`in the response to an order (${status}) gets its connection closed`, async () => {
      await start(head(status), filler('x'))
      expect((await engine.load({ label: 'l', source: 's', fence: 1 })).isErr()).to.equal(true)
      expectBounded()
    })
  }

  it('in a refusal gets its connection closed, and the refusal holds', async () => {
    await start(head(503), filler('x'))
    expect((await engine.generate(generation()))._unsafeUnwrapErr().code).to.equal('busy')
    expectBounded()
  })

  for (const [name, bytes] of [['a line', 'x'], ['lines', 'data: x\n']] as const) {
    it(`in an event of ${name} without end gets its connections closed, and its caller no proper end`, async () => {
      await start(`${head(200, events)}id: 1\ndata: 1\n\n`, filler(bytes))
      const { body } = (await engine.generate(generation()))._unsafeUnwrap()
      let error: unknown
      try {
        for await (const chunk of body) expect(chunk.length).to.be.below(megabyte)
      } catch (thrown) {
        error = thrown
      }
      expect(error).to.be.an('error')
      expectBounded()
    })
  }

  it('in an event of its cache gets its connection closed', async () => {
    await start(`${head(200, events)}data: `, filler('x'))
    for await (const event of engine.cacheEvents(signal())) expect.fail(event.type)
    expectBounded()
  })

  it('in interim responses gets its connection closed', async () => {
    await start('', filler('HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'))
    const service = new HttpService(origin)
    expect((await engine.report()).isErr()).to.equal(true)
    expect((await engine.generate(generation())).isErr()).to.equal(true)
    expect((await service.call({ call, fence: 1, signal: signal() })).isErr()).to.equal(true)
    expectBounded()
    await service.close()
  })
})
