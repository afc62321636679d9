/* Guards against a caller that gets no answer, and requests behind its own that get none, where the handling of a request throws. */
import { connect, type Socket } from 'node:net'
import { expect } from 'chai'
import { SingleEntry, statusOf } from './single-entry.js'

describe('a request whose handling throws', () => {
  let entry: SingleEntry

  beforeEach(async () => {
    entry = new SingleEntry()
    await entry.start()
  })

  afterEach(async () => await entry.stop())

  /** The handling of the next request throws. */
  const throwOnce = (): void => {
    const { routes } = entry.facts
    if (routes === undefined) throw new Error('there is a routing table')
    const { find } = routes
    routes.find = () => {
      routes.find = find
      throw new Error('unforeseen')
    }
  }

  it('is answered, and so is the next one on its connection', async () => {
    await entry.addServer('a', (socket, id) => { socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\ncontent-length: 2\r\n\r\nok`) })
    throwOnce()
    const responses = await new Promise<string>(resolve => {
      const caller: Socket = connect(entry.address)
      const request = (id: string, more: string): string => `POST /plain/x HTTP/1.1\r\nhost: h\r\nrequest-id: ${id}\r\ndeadline-ms: 2000\r\ncontent-length: 0\r\n${more}\r\n`
      caller.write(request('first', '') + request('second', 'connection: close\r\n'))
      let text = ''
      caller.on('data', chunk => { text += chunk.toString() })
      caller.on('error', () => {})
      caller.on('close', () => resolve(text))
    })
    expect(entry.linesOf('request.crashed')).to.have.length(1)
    expect([...responses.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => Number(match[1]))).to.deep.equal([500, 200])
  })

  it('is answered with a failure that does not promise that it has not run', async () => {
    throwOnce()
    expect(statusOf(await entry.send('/plain/x'))).to.equal(500)
  })
})
