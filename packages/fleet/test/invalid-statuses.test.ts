/*
 * Guards against callers that get no answer, or one that no request has asked for, where a server's response has a status that no final
 * response has.
 */
import { expect } from 'chai'
import { SingleEntry, bodyOf, statusOf } from './single-entry.js'

const invalidStatuses = ['000', '001', '099', '101', '600', '999']
const response = (status: string, id: string, body = 'text'): string =>
  `HTTP/1.1 ${status} X\r\nrequest-id: ${id}\r\nresponse-seal: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`
const event = 'id: 1\ndata: 1\n\n'

describe('a response of a server with a status that no final response has', () => {
  let entry: SingleEntry

  beforeEach(async () => {
    entry = new SingleEntry()
    await entry.start()
  })

  afterEach(async () => await entry.stop())

  for (const status of invalidStatuses) {
    describe(status, () => {
      for (const route of ['plain', 'stream']) {
        it(`is answered as one whose outcome is unknown (route ${route})`, async () => {
          await entry.addServer('a', (socket, id) => { socket.write(response(status, id)) })
          const result = await entry.send(`/${route}/x`)
          expect(statusOf(result)).to.equal(502)
          expect(result.text).not.to.match(/response-seal/i)
          expect(entry.linesOf('request.crashed')).to.deep.equal([])
        })
      }

      it('is answered the same to a HEAD request', async () => {
        await entry.addServer('a', (socket, id) => { socket.write(response(status, id, '')) })
        expect(statusOf(await entry.send('/plain/x', { method: 'HEAD' }))).to.equal(502)
      })

      for (const [route, body] of [['again', 'whole'], ['resume', event]] as const) {
        it(`leads to an attempt at another server, if the request may be repeated (route ${route})`, async () => {
          let first: string | undefined
          for (const server of ['a', 'b']) {
            await entry.addServer(server, (socket, id) => {
              first ??= server
              socket.write(server === first ? response(status, id) : response('200', id, body))
            })
          }
          const result = await entry.send(`/${route}/x`)
          expect([statusOf(result), result.text.includes(body)]).to.deep.equal([200, true])
        })
      }
    })
  }

  // Only statuses from 200 to 599 are final, and these are the bounds.
  for (const status of ['200', '599']) {
    it(`is told from one with the status ${status}, which is passed on`, async () => {
      await entry.addServer('a', (socket, id) => { socket.write(response(status, id)) })
      const result = await entry.send('/plain/x')
      expect([statusOf(result), bodyOf(result)]).to.deep.equal([Number(status), 'text'])
    })
  }
})
