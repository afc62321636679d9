/*
 * Guards against callers and servers that stop reading: an entry kept their responses and request bodies for as long as the
 * connection stayed open, and read every further body, until its memory ran out.
 *
 * An entry process runs here without peers, between callers and a backend server on loopback. Its clock is advanced by the tests.
 */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { once } from 'node:events'
import { createServer as createHttpServer, type Server as HttpServer, type ServerResponse, type IncomingMessage } from 'node:http'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Log } from '@finchpitch/core'
import { EntryProcess, Facts, bytesTaken, type EntryProcessOptions, type HeaderNames, type KeptKind, type Limits, type Route } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const headerNames: HeaderNames = {
  requestId: 'request-id',
  remainingMs: 'remaining-ms',
  model: 'model',
  tokens: 'tokens',
  promptParts: 'prompt-prefix',
  lastEventId: 'last-event-id',
  resumes: 'resumes',
  retryAfter: 'retry-after',
  seal: 'seal',
  notRun: 'not-run',
  expectedServer: 'expected-server',
  serverId: 'server-id',
  leaving: 'leaving',
  limit: 'limit',
  expectedVersion: 'expected-version',
  priority: 'priority',
  key: 'authorization',
  keyScheme: 'token',
  team: 'team',
  reserved: new Set()
}

/** More than the operating system keeps for both ends of a connection. */
const largeBytes = 24 * 1024 * 1024
const bodyBytes = 32 * 1024 * 1024
const largeHeaders = { 'request-id': 'r', seal: 's', 'content-length': String(largeBytes) }
const streamHeaders = { 'request-id': 'r', seal: 's', 'transfer-encoding': 'chunked' }
const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(8000)}\n\n`)
/** What may be kept for one stream beyond the sockets. */
const maxKeptPerStream = 100_000
/** Time between two checks of the entry. */
const checkMs = 500

const route = (name: string, more: Partial<Route> = {}): Route => ({
  name, host: 'h', pathPrefix: `/${name}/`, kind: 'once', timeoutMs: 60_000, objectiveMs: 10_000, priority: 1, maxAttempts: 1, resumable: false, targets: [{ service: 'plain', weight: 1 }], ...more
})
const routes = [route('plain'), route('stream', { kind: 'stream' }), route('resumable', { kind: 'stream', resumable: true, maxAttempts: 2 })]

interface LogLine { event: string, [field: string]: unknown }

describe('slow readers', function () {
  this.timeout(20_000)
  let time: FakeTime
  let entry: EntryProcess
  let lines: LogLine[]
  let limits: Limits
  let backend: Server | HttpServer
  let facts: Facts
  let callers: Socket[]
  /** All connections opened here: those of callers, and those of the entry to the backend server. */
  let opened: Socket[]

  beforeEach(async () => {
    time = new FakeTime()
    lines = []
    callers = []
    opened = []
    limits = { graceMs: 8000, drainMs: 2000, versionMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 0, loadWindowMs: 5000, loadOverage: 1, quotaWindowMs: 8000, quotaOverage: 0, quotaSlack: 0 }
    const log = new Log('slow-readers', {}, 'info', { write: line => { lines.push(JSON.parse(line) as LogLine) } })
    facts = new Facts(log, () => 1000)
    const unused = {} as EntryProcessOptions['channel']
    entry = new EntryProcess({ process: 'e', domain: 'a', sidePort: 1, seeds: () => [], ownPeerAddress: '', sources: [], facts, headerNames, limits: () => limits, channel: unused, dial: () => Promise.reject(new Error('no peers')), log })
    entry.server.listen(0, '127.0.0.1')
    await once(entry.server, 'listening')
    subscribe('net.client.socket', recordSocket)
  })

  afterEach(async () => {
    unsubscribe('net.client.socket', recordSocket)
    for (const socket of opened) socket.destroy()
    await time.settle(50)
    entry.server.close()
    backend.close()
    time.restore()
  })

  const recordSocket = (message: unknown): void => { opened.push((message as { socket: Socket }).socket) }
  const toBackend = (): Socket[] => opened.filter(socket => !callers.includes(socket))
  const portOf = (server: Server): number => (server.address() as AddressInfo).port

  const startBackend = async (server: Server | HttpServer): Promise<void> => {
    backend = server
    backend.listen(0, '127.0.0.1')
    await once(backend, 'listening')
    facts.offer({ kind: 'table', key: 'table', revision: 1, value: { version: 1, routes, services: [{ name: 'plain', maxConnections: 100 }], limits: { headerBytes: 10_000, bodyBytes, headerTimeoutMs: 60_000, idleTimeoutMs: 60_000 } } }, 'store')
    facts.offer({ kind: 'server', key: 's', revision: 2, value: { id: 's', service: 'plain', address: `127.0.0.1:${portOf(backend)}`, domain: 'a', slots: 8, leaving: false, models: [] } }, 'store')
  }

  const answerWith = async (handle: (response: ServerResponse, request: IncomingMessage) => void): Promise<void> =>
    await startBackend(createHttpServer((request, response) => { handle(response, request) }))

  /** Sends a request over a connection of its own, from which nothing is read until the test does. */
  const send = (path: string, body = Buffer.alloc(0), remainingMs = 60_000, id = 'r'): Socket => {
    const caller = connect(portOf(entry.server), '127.0.0.1')
    caller.pause()
    caller.on('error', () => {})
    caller.write(`POST ${path} HTTP/1.1\r\nhost: h\r\nrequest-id: ${id}\r\nremaining-ms: ${remainingMs}\r\ncontent-length: ${body.length}\r\n\r\n`)
    caller.write(body)
    callers.push(caller)
    return caller
  }

  /** Lets sockets work in real time until the condition holds. */
  const until = async (holds: () => boolean): Promise<void> => {
    for (let turn = 0; turn < 200_000 && !holds(); turn++) await time.settle(1)
    expect(holds(), String(holds)).to.equal(true)
  }

  /** Lets sockets work until nothing more is read or written. */
  const untilQuiet = async (progress: () => number): Promise<void> => {
    for (let quiet = 0, last = progress(); quiet < 2000; quiet++) {
      await time.settle(1)
      if (progress() !== last) quiet = 0
      last = progress()
    }
  }

  const kept = async (kind: KeptKind): Promise<number> => {
    const { values } = await entry.counters.registry.getSingleMetric('finchpitch_bytes_kept')?.get() ?? { values: [] }
    return values.find(({ labels }) => labels.kind === kind)?.value ?? NaN
  }

  const linesOf = (name: string): LogLine[] => lines.filter(line => line.event === name)

  const advanceBySteps = async (ms: number, afterStep = async (): Promise<void> => {}): Promise<void> => {
    for (let passed = 0; passed < ms; passed += checkMs) {
      await time.advance(checkMs)
      await afterStep()
    }
  }

  /** Reads so many more bytes, or to the end. Returns the number read. */
  const read = async (caller: Socket, bytes: number): Promise<number> => {
    let count = 0
    const onData = (chunk: Buffer): void => {
      count += chunk.length
      if (count >= bytes) caller.pause()
    }
    caller.on('data', onData)
    caller.resume()
    await until(() => count >= bytes || caller.readableEnded || caller.destroyed)
    caller.off('data', onData)
    caller.pause()
    return count
  }

  const streamEndlessly = (response: ServerResponse): void => {
    response.writeHead(200, streamHeaders)
    const fill = (): void => {
      while (!response.destroyed && response.write(event));
    }
    response.on('drain', fill)
    response.on('error', () => {})
    fill()
  }

  describe('of a plain response', () => {
    beforeEach(async () => { await answerWith(response => response.writeHead(200, largeHeaders).end(Buffer.alloc(largeBytes))) })

    it('is cut after 5 s without a byte read, with a log line, and its bytes are freed', async () => {
      const caller = send('/plain/x')
      await until(() => linesOf('request.ended').length > 0)
      expect(await kept('unread')).to.be.greaterThan(0)
      await advanceBySteps(4500)
      expect(linesOf('caller.stalled')).to.have.length(0)
      await advanceBySteps(2 * checkMs)
      expect(linesOf('caller.stalled')[0]).to.include({ request: 'r' }).and.to.have.property('bytes').greaterThan(0)
      expect(await kept('unread')).to.equal(0)
      expect(await kept('responses')).to.equal(0)
      expect(await read(caller, Infinity)).to.be.lessThan(largeBytes)
    })

    it('gets all of it if it reads slowly but steadily', async () => {
      const caller = send('/plain/x')
      await until(() => linesOf('request.ended').length > 0)
      let count = 0
      while (count < largeBytes) {
        count += await read(caller, Math.min(largeBytes / 8, largeBytes - count))
        await advanceBySteps(4000)
      }
      expect(linesOf('caller.stalled')).to.have.length(0)
      expect(await kept('unread')).to.equal(0)
    })
  })

  for (const name of ['stream', 'resumable']) {
    describe(`of a stream (route ${name})`, () => {
      beforeEach(async () => { await answerWith(streamEndlessly) })

      it('is cut after 5 s without a byte read, and the server\'s connection is closed', async () => {
        send(`/${name}/x`)
        await until(() => toBackend().length > 0)
        await untilQuiet(() => toBackend()[0]?.bytesRead ?? 0)
        await advanceBySteps(5000 + 2 * checkMs)
        await until(() => linesOf('request.ended').length > 0)
        expect(linesOf('caller.stalled')).to.have.length(1)
        expect(linesOf('request.ended')[0]).to.include({ tries: 1 })
        expect(await kept('unread')).to.equal(0)
        expect(toBackend().every(({ destroyed }) => destroyed)).to.equal(true)
      })

      it('has no more than 100 kB kept beyond the sockets, however fast the server is', async () => {
        const accepted = once(entry.server, 'connection') as Promise<[Socket]>
        send(`/${name}/x`)
        const [toCaller] = await accepted
        await until(() => toBackend().length > 0)
        await untilQuiet(() => toBackend()[0]?.bytesRead ?? 0)
        const readBytes = toBackend()[0]?.bytesRead ?? 0
        expect(readBytes).to.be.greaterThan(maxKeptPerStream)
        expect(readBytes - (bytesTaken(toCaller) ?? 0)).to.be.lessThan(maxKeptPerStream)
      })
    })
  }

  // A connection that is paused directly must be read again once the caller's socket has room.
  for (const name of ['stream', 'resumable']) {
    it(`of a stream get all of it if they read slowly but steadily (route ${name})`, async () => {
      const events = Math.ceil(largeBytes / event.length)
      await answerWith((response, { headers }) => {
        response.writeHead(200, { ...streamHeaders, 'request-id': String(headers['request-id']) })
        for (let each = 0; each < events; each++) response.write(event)
        response.end()
      })
      const accepted = once(entry.server, 'connection') as Promise<[Socket]>
      const caller = send(`/${name}/x`)
      const [toCaller] = await accepted
      let isReused = false
      // The connection that was paused is read again also where it serves another request. The pool soon closes one that is idle.
      const checkReuse = async (): Promise<void> => {
        if (isReused || linesOf('request.ended').length === 0) return
        isReused = true
        const another = send(`/${name}/x`, undefined, undefined, 'another')
        expect(await read(another, 1)).to.be.greaterThan(0)
        expect(toBackend()).to.have.length(1)
        another.destroy()
      }
      for (let count = 0; count < events * event.length;) {
        await advanceBySteps(4000, checkReuse)
        const taken = bytesTaken(toCaller)
        count += await read(caller, Math.min(largeBytes / 4, events * event.length - count))
        // The operating system notices room at the caller's socket in real time.
        await until(() => bytesTaken(toCaller) !== taken || linesOf('request.ended').length > 0)
      }
      await until(() => linesOf('request.ended').length > 0)
      await checkReuse()
      expect(linesOf('request.ended')[0]).to.include({ request: 'r', outcome: 'streamed' })
      expect(linesOf('caller.stalled')).to.have.length(0)
    })
  }

  describe('at a server that does not read a large body', () => {
    it('end the attempt after 5 s as possibly run, so that a request that may run only once is not sent again', async () => {
      await startBackend(createServer(socket => { socket.pause() }))
      const caller = send('/plain/x', Buffer.alloc(largeBytes))
      await until(() => toBackend().length > 0)
      await untilQuiet(() => bytesTaken(toBackend()[0] ?? null) ?? 0)
      await advanceBySteps(5000 + 2 * checkMs)
      await until(() => linesOf('request.ended').length > 0)
      expect(linesOf('request.ended')[0]).to.include({ outcome: 'failed', reason: 'broken', tries: 1 })
      expect(linesOf('server.failed')[0]?.detail).to.match(/^request body not read for 5\d{3} ms/)
      expect(await kept('request_bodies')).to.equal(0)
      expect(await read(caller, 1)).to.be.greaterThan(0)
    })
  })

  describe('while the process is at its limit', () => {
    let finish: (() => void) | undefined
    let ran: number

    beforeEach(async () => {
      limits.memoryMb = 4 * largeBytes / 1024 / 1024 - 4
      ran = 0
      finish = undefined
      await answerWith((response, request) => {
        ran += 1
        request.resume().on('end', () => { finish = () => { response.writeHead(200, { 'request-id': 'r', seal: 's', 'content-length': '2' }).end('ok') } })
      })
      send('/plain/first', Buffer.alloc(largeBytes))
      await until(() => finish !== undefined)
      expect(await kept('request_bodies')).to.equal(largeBytes)
    })

    it('make a new request with a body be refused as not run, after a tenth of its time', async () => {
      send('/plain/second', Buffer.alloc(10), 1000)
      await time.advance(90)
      expect(linesOf('request.ended')).to.have.length(0)
      await time.advance(20)
      await until(() => linesOf('request.ended').length > 0)
      expect(linesOf('request.ended')[0]).to.include({ outcome: 'refused', reason: 'too_many_bytes_kept', tries: 0 })
      expect(ran).to.equal(1)
    })

    it('neither stop the requests already read nor those without a body', async () => {
      const second = send('/plain/second')
      await until(() => ran === 2)
      finish?.()
      await read(second, 1)
      expect(linesOf('request.ended')).to.have.length(1)
    })

    it('let a new request run that finds room within that time', async () => {
      send('/plain/second', Buffer.alloc(10), 1000)
      await time.advance(50)
      expect(ran).to.equal(1)
      finish?.()
      await until(() => ran === 2)
    })
  })
})
