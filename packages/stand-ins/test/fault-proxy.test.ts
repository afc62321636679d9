/*
 * Runs of tests and of the soak did not come back now and then: all tests had passed, and the process went on for good in the
 * runtime's own clean-up, waiting for a socket to close. The proxy that harms connections had reset a socket that was just being
 * ended; such a socket stays open for ever, without a further event.
 *
 * What settled it: the process that stood, with its 3 tests passed, spent all its time in the runtime's CleanupHandles, and a
 * script that ends a socket and resets it in one turn does not end either.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { resetSocket } from '@finchpitch/stand-ins'

describe('a socket that is reset', () => {
  let server: Server

  beforeEach(async () => {
    server = createServer({ allowHalfOpen: true }, peer => {
      peer.on('error', () => {})
      peer.resume()
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => { server.close() })

  for (const ending of [false, true]) {
    it(`closes ${ending ? 'in the turn in which it was ended' : 'while it is open'}`, async () => {
      const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
      await once(socket, 'connect')
      const closed = once(socket, 'close')
      if (ending) socket.end('x')
      resetSocket(socket)
      await closed
    })
  }
})
