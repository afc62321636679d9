/*
 * `FaultProxy` guards against connection faults that TCP does not have: data that overtakes delayed data, and data that follows lost
 * data. Streams that had passed through the proxy repeated, lacked or mixed events, and chunked encoding hid it from their readers.
 *
 * `resetSocket` guards against a process that never exits although all its tests have passed: a socket that is reset in the event loop turn in which
 * it was ended never closes and emits no further event (Node 20), and the runtime waits for it in CleanupHandles at exit. The fault
 * proxy did so now and then, in tests and in the soak.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { pause } from '@finchpitch/core'
import { FaultProxy, eventually, resetSocket, type ConnectionFault } from '@finchpitch/stand-ins'
import { expect } from 'chai'

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

describe('FaultProxy', () => {
  const ip = '127.74.0.1'
  const proxyPort = 8000
  const targetPort = 18_000
  const delayMs = 100
  let proxy: FaultProxy
  let target: Server
  let client: Socket
  let upstream: Socket

  /** Everything that a socket has received, and whether its connection has ended or closed. */
  const record = (socket: Socket): { text: string, ended: boolean, closed: boolean } => {
    const received = { text: '', ended: false, closed: false }
    socket.on('data', (chunk: Buffer) => { received.text += chunk.toString() })
    socket.on('end', () => { received.ended = true })
    socket.on('close', () => { received.closed = true })
    return received
  }

  beforeEach(async () => {
    target = createServer({ allowHalfOpen: true })
    target.listen(targetPort, ip)
    await once(target, 'listening')
    proxy = new FaultProxy()
    await proxy.start(ip, proxyPort, targetPort)
    const accepted = once(target, 'connection')
    client = connect({ host: ip, port: proxyPort, allowHalfOpen: true })
    await once(client, 'connect')
    upstream = (await accepted)[0] as Socket
    for (const socket of [client, upstream]) socket.on('error', () => {})
  })

  afterEach(async () => {
    client.destroy()
    upstream.destroy()
    await proxy.stop()
    target.close()
  })

  for (const direction of ['requests', 'responses'] as const) {
    describe(`for ${direction}`, () => {
      const ends = (): [Socket, Socket] => direction === 'requests' ? [client, upstream] : [upstream, client]

      it('keeps the order of data when a delay ends', async () => {
        const [from, to] = ends()
        const received = record(to)
        proxy.fault = { type: 'delay', ms: delayMs }
        from.write('a')
        await pause(delayMs / 4)
        proxy.fault = { type: 'none' }
        from.write('b')
        await eventually('both have arrived', () => received.text.length === 2)
        expect(received.text).to.equal('ab')
      })

      it('keeps the order of data when a delay becomes shorter', async () => {
        const [from, to] = ends()
        const received = record(to)
        proxy.fault = { type: 'delay', ms: delayMs }
        from.write('a')
        await pause(delayMs / 4)
        proxy.fault = { type: 'delay', ms: delayMs / 4 }
        from.write('b')
        await eventually('both have arrived', () => received.text.length === 2)
        expect(received.text).to.equal('ab')
      })

      it('forwards the end of a connection after the data before it', async () => {
        const [from, to] = ends()
        const received = record(to)
        proxy.fault = { type: 'delay', ms: delayMs }
        from.write('a')
        await pause(delayMs / 4)
        proxy.fault = { type: 'none' }
        from.end()
        await eventually('the connection has ended', () => received.ended)
        expect(received.text).to.equal('a')
      })

      it('delays each part by the full delay', async () => {
        const [from, to] = ends()
        const received = record(to)
        proxy.fault = { type: 'delay', ms: delayMs }
        const sentAt = performance.now()
        from.write('a')
        await eventually('it has arrived', () => received.text === 'a')
        expect(performance.now() - sentAt).to.be.at.least(delayMs)
      })

      for (const fault of [{ type: 'silence' }, ...(direction === 'responses' ? [{ type: 'one_way' }] : [])] as ConnectionFault[]) {
        it(`resets a connection that has lost data to ${fault.type} instead of forwarding what follows`, async () => {
          const [from, to] = ends()
          const received = record(to)
          proxy.fault = fault
          from.write('a')
          await pause(delayMs / 4)
          proxy.fault = { type: 'none' }
          from.write('b')
          await eventually('the connection is closed', () => received.closed)
          expect(received.text).to.equal('')
        })
      }
    })
  }
})
