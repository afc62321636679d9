/*
 * Guards against truncated responses of a plain service that callers take for complete: a response without a length or chunks also ends
 * where its service is killed, and was taken for complete where it was reset.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { HttpEngine, HttpService } from '@finchpitch/backend'
import { pause } from '@finchpitch/core'
import { SilentListener } from '@finchpitch/stand-ins'
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

  // No answer was taken for one that says that the service is there.
  it('is truncated if the address of the service neither accepts nor refuses connections', async () => {
    let listener: SilentListener | undefined
    await start(socket => {
      const { port } = server.address() as AddressInfo
      server.close()
      void SilentListener.start(port).then(started => {
        listener = started
        socket.end()
      })
    })
    try {
      expect(await errorOf(read())).to.be.instanceOf(Error)
      expect(listener).to.not.equal(undefined)
    } finally {
      listener?.stop()
    }
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
})

describe('a response of an engine that ends with its connection', () => {
  let server: Server
  let boot: string | undefined
  const sockets = new Set<Socket>()

  afterEach(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })

  const report = (): string => {
    const body = JSON.stringify({ boot, running: 0, waiting: 0, capacity: 1, slots: 1, loaded: [], using: [] })
    return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  }

  const listen = async (port: number, end: (socket: Socket) => void): Promise<void> => {
    server = createServer(socket => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('data', data => {
        if (!data.toString().startsWith('GET /load ')) {
          socket.write('HTTP/1.1 200 OK\r\nx-engine-boot: b1\r\n\r\n{"choices":[]}')
          end(socket)
        } else if (boot !== undefined) socket.write(report())
      })
    })
    server.listen(port, '127.0.0.1')
    await once(server, 'listening')
  }

  /** Reads a response that the engine ends by `end`. Returns the error, or else the body. */
  const read = async (end: (socket: Socket) => void): Promise<unknown> => {
    boot = 'b1'
    await listen(0, end)
    const engine = new HttpEngine(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
    const call = { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('{}') }
    const result = await engine.generate({ call, label: 'a', id: 'r', priority: 1, salt: '', fence: 1, signal: new AbortController().signal })
    let text = ''
    try {
      if (result.isErr()) return result.error
      for await (const chunk of result.value.body) text += Buffer.from(chunk).toString()
      return text
    } catch (error) {
      return error
    } finally {
      await engine.close()
    }
  }

  it('is whole if the engine goes on', async () => {
    expect(await read(socket => socket.end())).to.equal('{"choices":[]}')
  })

  it('is truncated if the engine resets its connection', async () => {
    expect(await read(socket => { socket.resetAndDestroy() })).to.be.instanceOf(Error)
  })

  // Whoever listened at its address was taken for the engine that had responded.
  it('is truncated if the engine restarts at its address before', async () => {
    expect(await read(socket => {
      const { port } = server.address() as AddressInfo
      server.close()
      boot = 'b2'
      void listen(port, () => {}).then(() => socket.end())
    })).to.be.instanceOf(Error)
  })

  it('is truncated if the engine does not answer any more', async () => {
    expect(await read(socket => {
      boot = undefined
      socket.end()
    })).to.be.instanceOf(Error)
  })
})
