/*
 * Guards against responses with an empty or short body, framed as whole, where a server stops in the middle of its response's head.
 */
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { SingleEntry, decodedBodyOf, statusOf } from './single-entry.js'

const body = 'id: 1\ndata: 1\n\n'
const chunks = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
const headOf = (id: string, framing: string): string => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\ncontent-type: text/event-stream\r\n${framing}\r\n`

const responses: Record<string, (id: string) => { head: string, body: string }> = {
  'a length': id => ({ head: headOf(id, `content-length: ${body.length}\r\n`), body }),
  chunks: id => ({ head: headOf(id, 'transfer-encoding: chunked\r\n'), body: chunks }),
  'neither length nor chunks': id => ({ head: headOf(id, ''), body }),
  'an interim response before it': id => ({ head: `HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n${headOf(id, `content-length: ${body.length}\r\n`)}`, body })
}

const stops: Record<string, (socket: Socket, bytes: string) => void> = {
  'ends its connection': (socket, bytes) => { socket.end(bytes) },
  'resets its connection': (socket, bytes) => {
    socket.write(bytes)
    socket.resetAndDestroy()
  }
}

/** Interval of the positions at which heads are cut. */
const step = 3

describe('a server that stops in the middle of its response', () => {
  let entry: SingleEntry

  beforeEach(async () => {
    entry = new SingleEntry()
    await entry.start()
  })

  afterEach(async () => await entry.stop())

  for (const [framing, write] of Object.entries(responses)) {
    for (const [name, stop] of Object.entries(stops)) {
      it(`and ${name} gives no caller a whole response (head with ${framing})`, async () => {
        let at = 0
        let arrivals = 0
        for (const server of ['a', 'b']) {
          await entry.addServer(server, (socket, id) => {
            arrivals += 1
            stop(socket, write(id).head.slice(0, at))
          })
        }
        const complete: string[] = []
        let sent = 0
        for (at = 0; at < write('r').head.length; at += step) {
          const cutAt = at
          for (const route of ['plain', 'again', 'stream', 'resume']) {
            for (const version of ['1.1', '1.0']) {
              sent += 1
              const result = await entry.send(`/${route}/x`, { version })
              if (statusOf(result) === 200 && decodedBodyOf(result).complete) complete.push(`${route}, HTTP/${version}, ${cutAt} bytes`)
            }
          }
        }
        expect(complete).to.deep.equal([])
        expect(arrivals).to.be.at.least(sent)
      }).timeout(60_000)
    }
  }
})
