/*
 * Guards against a process that never exits although all its tests have passed: a socket that is reset in the event loop turn in which
 * it was ended never closes and emits no further event (Node 20), and the runtime waits for it in CleanupHandles at exit. The fault
 * proxy did so now and then, in tests and in the soak.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { resetSocket } from '@finchpitch/stand-ins'

describe('resetSocket', () => {
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

  for (const endFirst of [false, true]) {
    it(`closes a socket ${endFirst ? 'that was ended in the same event loop turn' : 'that is open'}`, async () => {
      const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
      await once(socket, 'connect')
      const closed = once(socket, 'close')
      if (endFirst) socket.end('x')
      resetSocket(socket)
      await closed
    })
  }
})
