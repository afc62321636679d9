/*
 * Guards against callers that together send more than the process has memory for, each within the limit of a body.
 */
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { pause } from '@finchpitch/core'
import { maxBodyBytes, maxReadingBytes, readBody } from '@finchpitch/http'
import { expect } from 'chai'

describe('request bodies', () => {
  let server: Server
  let refusals: string[]
  let read: number[]
  let sockets: Socket[]

  beforeEach(async () => {
    refusals = []
    read = []
    sockets = []
    server = createServer((request, response) => {
      void readBody(request).then(body => {
        if (body.isErr()) refusals.push(body.error.code)
        else read.push(body.value.length)
        response.end()
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  /** Sends a body without its last byte. */
  const sendUnfinished = (): Socket => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    socket.resume()
    socket.write(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${maxBodyBytes}\r\n\r\n`)
    socket.write(Buffer.alloc(maxBodyBytes - 1))
    sockets.push(socket)
    return socket
  }

  it('are refused while those being read hold as much as they may together', async () => {
    const count = maxReadingBytes / maxBodyBytes + 4
    const unfinished = Array.from({ length: count }, sendUnfinished)
    while (refusals.length < 1) await pause(1)
    expect(new Set(refusals)).to.deep.equal(new Set(['overloaded']))
    for (const socket of unfinished) socket.destroy()
    while (refusals.length < count) await pause(1)
    refusals = []
    sendUnfinished().write('x')
    while (read.length < 1) await pause(1)
    expect(read).to.deep.equal([maxBodyBytes])
    expect(refusals).to.deep.equal([])
  })

  // Chunks that are kept one by one take a hundred times their length.
  it('take little more memory than their bytes if they come in chunks of one byte', async () => {
    const count = 300_000
    setFlagsFromString('--expose-gc')
    const collect = runInNewContext('gc') as () => void
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    sockets.push(socket)
    collect()
    const before = process.memoryUsage().heapUsed
    socket.write(`POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(count)}`)
    await pause(1500)
    collect()
    expect(process.memoryUsage().heapUsed - before).to.be.below(count * 20)
    socket.write('0\r\n\r\n')
    while (read.length < 1) await pause(1)
    expect(read).to.deep.equal([count])
  })
})
