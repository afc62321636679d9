/*
 * Guards against truncated responses that callers take for complete: responses without a length or chunks end with the server's
 * connection, and their callers' connections ended in the same way when the entry knew that they were cut off, or was killed.
 */
import type { Server, Socket } from 'node:net'
import { expect } from 'chai'
import { SingleEntry, bodyOf, decodedBodyOf, hasLength, statusOf } from './single-entry.js'

const head = (id: string, more = ''): string => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\ncontent-type: text/event-stream\r\n${more}\r\n`
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
const event = (number: number): string => `id: ${number}\ndata: ${number}\n\n`

describe('a response that ends with its connection', () => {
  let entry: SingleEntry

  beforeEach(async () => {
    entry = new SingleEntry()
    await entry.start()
  })

  afterEach(async () => await entry.stop())

  // It may be truncated, which a length would hide.
  it('is delivered without a length, if it is a body', async () => {
    await entry.addServer('a', (socket, id) => socket.end(`${head(id)}all of it`))
    const result = await entry.send('/plain/x')
    expect([statusOf(result), decodedBodyOf(result), hasLength(result)]).to.deep.equal([200, { body: 'all of it', complete: true }, false])
    expect(result.text).not.to.match(/transfer-encoding/i)
  })

  for (const route of ['stream', 'resume']) {
    it(`is delivered whole, if it is a stream (route ${route})`, async () => {
      await entry.addServer('a', (socket, id) => socket.end(`${head(id)}${event(1)}${event(2)}`))
      const result = await entry.send(`/${route}/x`)
      expect([statusOf(result), decodedBodyOf(result)]).to.deep.equal([200, { body: `${event(1)}${event(2)}`, complete: true }])
    })

    it(`is not complete to its caller if it ends within an event (route ${route})`, async () => {
      for (const server of ['a', 'b']) await entry.addServer(server, (socket, id) => socket.end(`${head(id)}${event(1)}id: 2\ndata`))
      const result = await entry.send(`/${route}/x`)
      expect(decodedBodyOf(result).complete).to.equal(false)
      expect(entry.linesOf('request.ended')[0]).to.include({ outcome: 'interrupted' })
      expect(entry.linesOf('server.failed').length).to.be.above(0)
    })

    it(`is not complete to its caller if the deadline passes (route ${route})`, async () => {
      await entry.addServer('a', (socket, id) => { socket.write(`${head(id)}${event(1)}`) })
      const result = await entry.send(`/${route}/x`, { remainingMs: 300 })
      expect(decodedBodyOf(result)).to.deep.equal({ body: event(1), complete: false })
    })

    it(`is not complete to its caller if the server has crashed between two events (route ${route})`, async () => {
      const server: Server = await entry.addServer('a', (socket, id) => {
        socket.write(`${head(id)}${event(1)}`)
        setTimeout(() => {
          server.close()
          socket.end()
        }, 20)
      })
      const result = await entry.send(`/${route}/x`)
      expect(decodedBodyOf(result).complete).to.equal(false)
      expect(entry.linesOf('request.broke_off')[0]).to.include({ ended: true })
    })
  }

  for (const [state, change] of Object.entries({
    'is draining': (id: string) => entry.drainServer(id),
    'is no longer listed': (id: string) => entry.removeServer(id)
  })) {
    describe(`of a server that ${state}`, () => {
      for (const [kind, route] of [['a body', 'plain'], ['a stream', 'stream'], ['a stream that may be resumed', 'resume']]) {
        it(`is not complete to its caller if the server is killed (${kind})`, async () => {
          const server: Server = await entry.addServer('a', (socket, id) => {
            socket.write(`${head(id)}${event(1)}`)
            change('a')
            setTimeout(() => {
              server.close()
              socket.end()
            }, 20)
          })
          const result = await entry.send(`/${route}/x`)
          expect(statusOf(result) === 200 && decodedBodyOf(result).complete).to.equal(false)
          expect(entry.linesOf('server.failed')[0]).to.include({ server: 'a' })
        })

        it(`is delivered whole if the server ends some time later (${kind})`, async () => {
          const server: Server = await entry.addServer('a', (socket, id) => {
            socket.write(`${head(id)}${event(1)}`)
            change('a')
            setTimeout(() => {
              socket.end(event(2))
              setTimeout(() => server.close(), 20)
            }, 20)
          })
          const result = await entry.send(`/${route}/x`)
          expect([statusOf(result), decodedBodyOf(result)]).to.deep.equal([200, { body: `${event(1)}${event(2)}`, complete: true }])
        })
      }
    })
  }

  for (const route of ['stream', 'resume']) {
    it(`is not complete to its caller if the entry is killed (route ${route})`, async () => {
      await entry.addServer('a', (socket, id) => {
        socket.write(`${head(id)}${event(1)}`)
        setTimeout(() => entry.endCallerConnections(), 50)
      })
      expect(decodedBodyOf(await entry.send(`/${route}/x`))).to.deep.equal({ body: event(1), complete: false })
    })

    it(`is sent to a caller with HTTP/1.0 once it has ended, as it came (route ${route})`, async () => {
      await entry.addServer('a', (socket, id) => {
        socket.write(`${head(id)}${event(1)}`)
        setTimeout(() => socket.end(event(2)), 50)
      })
      const result = await entry.send(`/${route}/x`, { version: '1.0' })
      expect([statusOf(result), decodedBodyOf(result), hasLength(result)]).to.deep.equal([200, { body: `${event(1)}${event(2)}`, complete: true }, false])
    })

    it(`is sent to a caller with HTTP/1.0 with its length if it came in chunks (route ${route})`, async () => {
      await entry.addServer('a', (socket, id) => {
        socket.write(`${head(id, 'transfer-encoding: chunked\r\n')}${chunk(event(1))}`)
        setTimeout(() => socket.write(`${chunk(event(2))}${chunk('')}`), 50)
      })
      const result = await entry.send(`/${route}/x`, { version: '1.0' })
      expect([statusOf(result), decodedBodyOf(result), hasLength(result)]).to.deep.equal([200, { body: `${event(1)}${event(2)}`, complete: true }, true])
    })

    it(`is not sent to a caller with HTTP/1.0 if it ends within an event (route ${route})`, async () => {
      for (const server of ['a', 'b']) await entry.addServer(server, (socket, id) => socket.end(`${head(id)}${event(1)}id: 2\ndata`))
      expect(statusOf(await entry.send(`/${route}/x`, { version: '1.0' }))).to.equal(502)
    })
  }

  for (const [method, status] of [['HEAD', '200 OK'], ['POST', '204 No Content'], ['POST', '304 Not Modified']] as const) {
    for (const route of ['plain', 'stream']) {
      it(`has neither body nor chunks for its caller if it is the response ${status} to ${method} (route ${route})`, async () => {
        await entry.addServer('a', (socket, id) => socket.end(head(id).replace('200 OK', status)))
        const result = await entry.send(`/${route}/x`, { method })
        expect([statusOf(result), bodyOf(result)]).to.deep.equal([Number(status.split(' ')[0]), ''])
        expect(result.text).not.to.match(/transfer-encoding/i)
      })
    }
  }

  describe('whose connection the server resets in the turn in which it has written', () => {
    // The operating system reports such a reset together with the bytes before it.
    const cuts: Record<string, (socket: Socket, id: string) => void> = {
      'head and all': (socket, id) => {
        socket.write(`${head(id)}${event(1)}${event(2)}`)
        socket.resetAndDestroy()
      },
      'a later part': (socket, id) => {
        socket.write(`${head(id)}${event(1)}`)
        setTimeout(() => {
          socket.write(event(2))
          socket.resetAndDestroy()
        }, 10)
      }
    }

    it('is not complete to its caller', async () => {
      const complete: string[] = []
      for (const [name, cut] of Object.entries(cuts)) {
        for (const server of ['a', 'b']) await entry.addServer(server, cut)
        for (const version of ['1.1', '1.0']) {
          for (const route of ['plain', 'again', 'stream', 'resume']) {
            const result = await entry.send(`/${route}/x`, { version })
            if (statusOf(result) === 200 && decodedBodyOf(result).complete) complete.push(`${name}, ${route}, HTTP/${version}`)
          }
        }
      }
      expect(complete).to.deep.equal([])
    })
  })

  describe('whose connection the server resets after it has ended it', () => {
    for (const route of ['plain', 'again', 'stream', 'resume']) {
      it(`is delivered whole (route ${route})`, async () => {
        await entry.addServer('a', (socket, id) => socket.end(`${head(id)}${event(1)}${event(2)}`, () => socket.resetAndDestroy()))
        const result = await entry.send(`/${route}/x`)
        expect([statusOf(result), decodedBodyOf(result)]).to.deep.equal([200, { body: `${event(1)}${event(2)}`, complete: true }])
      })
    }
  })

  // A length of its own made what was read of it look complete.
  it('has no length for its caller if it has a transfer coding other than chunks', async () => {
    await entry.addServer('a', (socket, id) => socket.end(`${head(id, 'transfer-encoding: identity\r\n')}part`))
    const result = await entry.send('/plain/x')
    expect([statusOf(result), bodyOf(result), hasLength(result)]).to.deep.equal([200, 'part', false])
  })

  for (const route of ['plain', 'stream']) {
    it(`is not complete to its caller if it has a transfer coding other than chunks and its server has crashed (route ${route})`, async () => {
      const server: Server = await entry.addServer('a', (socket, id) => {
        socket.write(`${head(id, 'transfer-encoding: identity\r\n')}${event(1)}`)
        setTimeout(() => {
          server.close()
          socket.end()
        }, 20)
      })
      const result = await entry.send(`/${route}/x`)
      expect(statusOf(result) === 200 && decodedBodyOf(result).complete).to.equal(false)
    })
  }

  it('leaves its caller the connection', async () => {
    await entry.addServer('a', (socket, id) => socket.end(`${head(id)}${event(1)}`))
    setTimeout(() => entry.endCallerConnections(), 200)
    const result = await entry.send('/stream/x', { headers: { connection: 'keep-alive' } })
    expect(result.text).to.match(/connection: keep-alive/i)
  })

  it('is not complete to its caller if chunks are missing', async () => {
    await entry.addServer('a', (socket, id) => socket.end(`${head(id, 'transfer-encoding: chunked\r\n')}a\r\nid: 1\ndata\r\n`))
    const result = await entry.send('/stream/x')
    expect(result.text.endsWith('0\r\n\r\n')).to.equal(false)
    expect(entry.linesOf('request.ended')[0]).to.include({ outcome: 'interrupted' })
  })

  it('is not complete to its caller if it is framed and ends within an event', async () => {
    await entry.addServer('a', (socket, id) => socket.end(`${head(id, 'transfer-encoding: chunked\r\n')}b\r\nid: 1\ndata:\r\n0\r\n\r\n`))
    const result = await entry.send('/stream/x')
    expect(result.text.endsWith('0\r\n\r\n')).to.equal(false)
    expect(entry.linesOf('request.ended')[0]).to.include({ outcome: 'interrupted' })
  })
})
