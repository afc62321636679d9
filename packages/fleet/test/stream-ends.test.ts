/*
 * Guards against streams that were broken off and look complete to their callers, and against whole ones that are called broken, by where
 * among their events they end.
 */
import { expect } from 'chai'
import { SingleEntry, decodedBodyOf, statusOf } from './single-entry.js'

const head = (id: string, more = ''): string => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\n${more}\r\n`
const eventStream = 'content-type: text/event-stream\r\n'
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
const event = (number: number): string => `id: ${number}\ndata: ${number}\n\n`

const framings: Record<string, (id: string, headers: string, body: string) => string> = {
  'neither a length nor chunks': (id, headers, body) => `${head(id, headers)}${body}`,
  'a length': (id, headers, body) => `${head(id, `${headers}content-length: ${body.length}\r\n`)}${body}`,
  chunks: (id, headers, body) => `${head(id, `${headers}transfer-encoding: chunked\r\n`)}${body === '' ? '' : chunk(body)}${chunk('')}`
}

describe('a stream', () => {
  let entry: SingleEntry

  beforeEach(async () => {
    entry = new SingleEntry()
    await entry.start()
  })

  afterEach(async () => await entry.stop())

  /** Requests both kinds of stream routes with each version of HTTP. Returns those whose caller takes the response for complete. */
  const completeOnes = async (framing: string, body: string, contentType = eventStream, headers: Record<string, string> = {}): Promise<string[]> => {
    const complete: string[] = []
    for (const name of all) {
      const [route = '', version] = name.split(' HTTP/')
      await entry.addServer(name, (socket, id) => socket.end(framings[framing]?.(id, contentType, body) ?? '', 'latin1'))
      const result = await entry.send(`/${route}/x`, { version, headers })
      const decoded = decodedBodyOf(result)
      if (statusOf(result) === 200 && decoded.complete && decoded.body === body) complete.push(name)
      entry.removeServer(name)
    }
    return complete
  }

  const all = ['1.1', '1.0'].flatMap(version => ['stream', 'resume'].map(route => `${route} HTTP/${version}`))

  for (const framing of Object.keys(framings)) {
    describe(`with ${framing}`, () => {
      // What a response is, is told by its route, which its content type may not repeat.
      for (const contentType of ['', 'content-type: text/plain\r\n']) {
        it(`is not complete if it ends within an event and has ${contentType === '' ? 'no content type' : 'another content type'}`, async () => {
          expect(await completeOnes(framing, `${event(1)}id: 2\ndata`, contentType)).to.deep.equal([])
        })

        it(`is complete if it ends between two events and has ${contentType === '' ? 'no content type' : 'another content type'}`, async () => {
          expect(await completeOnes(framing, event(1) + event(2), contentType)).to.deep.equal(all)
        })
      }

      // Where the last event of the stream was the last one that the caller has, none follows.
      it('is complete without an event if its caller resumes it', async () => {
        expect(await completeOnes(framing, '', eventStream, { 'last-event-id': '2' })).to.include.members(['stream HTTP/1.1', 'stream HTTP/1.0'])
      })

      for (const [name, body] of Object.entries({
        'CR LF': 'id: 1\r\ndata: 1\r\n\r\nid: 2\r\ndata: 2\r\n\r\n',
        CR: 'id: 1\rdata: 1\r\rid: 2\rdata: 2\r\r',
        'LF after a byte order mark': `\ufeff${event(1)}`,
        'LF before a comment': `${event(1)}: keep-alive\n`,
        'LF before a comment and a blank line': `${event(1)}: keep-alive\n\n`
      })) {
        it(`is complete if its events end with ${name}`, async () => {
          expect(await completeOnes(framing, Buffer.from(body).toString('latin1'))).to.deep.equal(all)
        })
      }

      for (const [name, body] of Object.entries({
        'a line of CR LF': 'id: 1\r\ndata: 1\r\n\r\nid: 2\r\ndata: 2\r\n',
        'a line of CR': 'id: 1\rdata: 1\r\rid: 2\rdata: 2\r',
        'the line of the version of its weights': `${event(1)}weight-versions: 5\n`,
        'a comment within an event': `${event(1)}id: 2\n: comment\n`,
        'a part of a comment': `${event(1)}: keep`
      })) {
        it(`is not complete if it ends after ${name}`, async () => {
          expect(await completeOnes(framing, body)).to.deep.equal([])
        })
      }
    })
  }

  // A server broke it off in the moment after its head.
  it('is not complete without an event if nothing delimits it', async () => {
    expect(await completeOnes('neither a length nor chunks', '')).to.deep.equal([])
  })

  for (const framing of ['a length', 'chunks']) {
    it(`is complete without an event if its server says so with ${framing}`, async () => {
      expect(await completeOnes(framing, '')).to.deep.equal(all)
    })
  }

  it('is complete if it is resumed at another server after its last event, and that has none', async () => {
    const server = await entry.addServer('a', (socket, id) => {
      socket.write(head(id, eventStream) + event(1))
      void entry.addServer('b', (other, id) => other.end(head(id, eventStream))).then(() => {
        server.close()
        socket.end()
      })
    })
    expect(decodedBodyOf(await entry.send('/resume/x'))).to.deep.equal({ body: event(1), complete: true })
  })

  it('is delivered as it came if it is an error in another format', async () => {
    await entry.addServer('a', (socket, id) => socket.end(`${head(id, 'content-type: application/json\r\ncontent-length: 2\r\n').replace('200 OK', '400 Bad Request')}{}`))
    const result = await entry.send('/stream/x')
    expect([statusOf(result), decodedBodyOf(result)]).to.deep.equal([400, { body: '{}', complete: true }])
  })
})
