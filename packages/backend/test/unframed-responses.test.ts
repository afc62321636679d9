/*
 * Guards against truncated responses of a plain service that callers take for complete: a response without a length or chunks also ends
 * where its service is killed, and was taken for complete where it was reset.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { HttpEngine, HttpService } from '@finchpitch/backend'
import { pause } from '@finchpitch/core'
import { expect } from 'chai'

describe('a response of a plain service that ends with its connection', () => {
  let server: Server
  let service: HttpService

  const start = async (end: (socket: Socket) => void, { part = 'part', endMs = 20 }: { part?: string, endMs?: number } = {}): Promise<void> => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${part}`)
        if (endMs === 0) end(socket)
        else setTimeout(() => end(socket), endMs)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    service = new HttpService(origin())
  }

  const origin = (): string => `http://127.0.0.1:${(server.address() as AddressInfo).port}`

  afterEach(async () => {
    await service.close()
    server.close()
  })

  /** Reads the body from `afterMs` on. */
  const read = async (afterMs = 0): Promise<string> => {
    const call = { method: 'POST', path: '/', headers: {}, body: Buffer.alloc(0) }
    const result = await service.call({ call, fence: 1, signal: new AbortController().signal })
    if (result.isErr()) return result.error.code
    await pause(afterMs)
    return await textOf(result.value.body)
  }

  const textOf = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
    let text = ''
    for await (const chunk of body) text += Buffer.from(chunk).toString()
    return text
  }

  const errorOf = async (reading: Promise<string>): Promise<unknown> => await reading.then(() => undefined, (error: unknown) => error)

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

  for (const endMs of [0, 20]) {
    it(`is truncated if the service resets its connection ${endMs} ms after its last bytes`, async () => {
      await start(socket => { socket.resetAndDestroy() }, { endMs })
      expect(await errorOf(read())).to.be.instanceOf(Error)
    })
  }

  it('is whole if the service resets its connection after it has ended it', async () => {
    await start(socket => socket.end(' and end', () => socket.resetAndDestroy()))
    expect(await read()).to.equal('part and end')
  })

  // The HTTP client threw outside of the request, which ended the process.
  it('is truncated if the service resets its connection while its reader is slow', async () => {
    await start(socket => { socket.resetAndDestroy() }, { part: 'x'.repeat(90_000), endMs: 50 })
    expect(await errorOf(read(200))).to.be.instanceOf(Error)
  })

  it('is truncated if an engine resets its connection', async () => {
    await start(socket => { socket.resetAndDestroy() }, { part: '{"choices":[]}', endMs: 0 })
    const engine = new HttpEngine(origin())
    const call = { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('{}') }
    const result = await engine.generate({ call, label: 'a', id: 'r', priority: 1, salt: '', fence: 1, signal: new AbortController().signal })
    const error = result.isErr() ? result.error : await errorOf(textOf(result.value.body))
    await engine.close()
    expect(error).to.be.instanceOf(Error)
  })
})
