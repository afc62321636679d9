/*
 * Guards against servers that send bytes without end: an entry kept all of a body or an event until its time-out, several hundred
 * megabytes at a fast server, and a process that exceeds its memory limit is killed with all that it carries.
 */
import type { Socket } from 'node:net'
import { pause } from '@finchpitch/core'
import { expect } from 'chai'
import { SingleEntry, decodedBodyOf, statusOf } from './single-entry.js'

const megabyte = 1024 * 1024
const memoryMb = 200
/** Bytes of bodies that a process may keep, by its memory limit. */
const maxKeptBytes = memoryMb * megabyte / 4
/** Chunks that are read before the entry notices. */
const slackBytes = 4 * megabyte
/** Far above any event, far below what a process may keep. */
const maxEventBytes = megabyte
const remainingMs = 1500
const chunk = Buffer.alloc(65_536, 'x')

/** Writes the same bytes until the connection closes. */
const writeEndlessly = (socket: Socket, bytes = chunk): void => {
  const fill = (): void => { while (!socket.destroyed && socket.write(bytes)); }
  socket.on('drain', fill)
  fill()
}

describe('a server that sends bytes without end', function () {
  this.timeout(30_000)
  let entry: SingleEntry
  let mostKept: number
  let mostRead: number
  let sockets: Socket[]
  let timer: NodeJS.Timeout

  beforeEach(async () => {
    entry = new SingleEntry()
    entry.limits.memoryMb = memoryMb
    mostKept = 0
    mostRead = 0
    sockets = []
    await entry.start()
    timer = setInterval(() => {
      mostRead = sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0)
      void entry.keptBytes('responses').then(kept => { mostKept = Math.max(mostKept, kept) })
    }, 5)
  })

  afterEach(async () => {
    clearInterval(timer)
    await entry.stop()
  })

  /** Lists two servers that write `head` and then the same bytes until their connection closes. */
  const startServers = async (head: (id: string) => string, bytes = chunk): Promise<void> => {
    for (const id of ['a', 'b']) {
      await entry.addServer(id, (socket, requestId) => {
        sockets.push(socket)
        socket.write(head(requestId))
        writeEndlessly(socket, bytes)
      })
    }
  }

  const headOf = (id: string, more = ''): string => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\n${more}`

  it('in a head gets no more read, and its caller an error', async () => {
    await startServers(id => `${headOf(id)}x: `)
    const result = await entry.send('/plain/x', { remainingMs })
    expect(statusOf(result)).to.equal(502)
    expect(mostRead).to.be.below(slackBytes)
  })

  it('in header lines gets no more read, and its caller an error', async () => {
    await startServers(id => headOf(id), Buffer.from('x: y\r\n'.repeat(1000)))
    expect(statusOf(await entry.send('/plain/x', { remainingMs }))).to.equal(502)
  })

  it('in bytes that are no response gets no more read, and its caller an error', async () => {
    await startServers(() => 'no response\r\n')
    expect(statusOf(await entry.send('/plain/x', { remainingMs }))).to.equal(502)
  })

  it('in interim responses gets no more read, and its caller an error before its deadline', async () => {
    await startServers(() => '', Buffer.from('HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'.repeat(1000)))
    const sentAt = performance.now()
    expect(statusOf(await entry.send('/plain/x', { remainingMs }))).to.equal(502)
    expect(performance.now() - sentAt).to.be.below(remainingMs)
  })

  for (const [framing, more] of [['no length', ''], ['a huge length', 'content-length: 999999999999\r\n']] as const) {
    it(`in a body with ${framing} gets no more kept than the process may keep`, async () => {
      await startServers(id => `${headOf(id, more)}\r\n`)
      const results = await Promise.all([1, 2, 3].map(async each => await entry.send('/plain/x', { id: `r${each}`, remainingMs: 4000 })))
      expect(results.map(statusOf)).to.deep.equal([502, 502, 502])
      expect(mostKept).to.be.below(maxKeptBytes + slackBytes)
      expect(await entry.keptBytes('responses')).to.equal(0)
    })
  }

  it('after a length that the process may not keep gets none of them read', async () => {
    await startServers(id => `${headOf(id, 'content-length: 999999999999\r\n')}\r\n`)
    expect(statusOf(await entry.send('/plain/x', { remainingMs }))).to.equal(502)
    expect(mostRead).to.be.below(slackBytes)
    expect(entry.linesOf('server.failed')).to.have.length.above(0)
  })

  for (const route of ['stream', 'resume']) {
    it(`in an event gets no more read than a bound, and its caller no proper end (route ${route})`, async () => {
      await startServers(id => `${headOf(id, 'content-type: text/event-stream\r\n')}\r\nid: 1\ndata: 1\n\nid: 2\ndata: `)
      const result = await entry.send(`/${route}/x`, { remainingMs })
      expect(decodedBodyOf(result).complete).to.equal(false)
      expect(result.text.length).to.be.below(maxEventBytes)
      expect(entry.linesOf('request.ended')[0]).to.include({ outcome: 'interrupted' })
    })
  }

  for (const status of [503, 421]) {
    it(`in the body of a refusal (${status}) gets its connection closed, and the request goes elsewhere`, async () => {
      await entry.addServer('a', (socket, id) => {
        sockets.push(socket)
        socket.write(`HTTP/1.1 ${status} No\r\nrequest-id: ${id}\r\nnot-executed: 1\r\n\r\n`)
        writeEndlessly(socket)
      })
      await entry.send('/plain/x', { remainingMs })
      await pause(300)
      expect(sockets.every(({ destroyed }) => destroyed)).to.equal(true)
      expect(mostRead).to.be.below(slackBytes)
    })
  }

  it('slowly, in the body of a refusal, gets its connection closed', async () => {
    await entry.addServer('a', (socket, id) => {
      sockets.push(socket)
      socket.write(`HTTP/1.1 503 No\r\nrequest-id: ${id}\r\nnot-executed: 1\r\n\r\n`)
      const drip = setInterval(() => socket.write('x'), 50)
      socket.on('close', () => clearInterval(drip))
    })
    await entry.send('/plain/x', { remainingMs })
    await pause(2500)
    expect(sockets.every(({ destroyed }) => destroyed)).to.equal(true)
  })
})
