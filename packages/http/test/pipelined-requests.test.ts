/*
 * Guards against pipelined requests that are passed on although their connection ends with the response before, and against answers of
 * requests that run being replaced or cut off.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { pause } from '@finchpitch/core'
import { Gateway, maxUnreadBytes } from '@finchpitch/http'
import { expect } from 'chai'

const workMs = 200

describe('pipelined requests at a gateway', () => {
  let gateway: Gateway
  let caller: Socket
  let received: string
  let begun: string[]

  beforeEach(async () => {
    begun = []
    received = ''
    const work = (name: string, end: (response: import('node:http').ServerResponse) => void) => async ({ response }: { response: import('node:http').ServerResponse }): Promise<void> => {
      begun.push(name)
      await pause(workMs)
      end(response)
    }
    gateway = new Gateway({
      name: 'pipelined',
      host: '127.0.0.1',
      port: 0,
      routes: {
        'POST /whole': work('whole', response => response.end('done')),
        'POST /cut': work('cut', response => {
          response.write('part')
          response.destroy()
        }),
        'POST /large': work('large', response => response.end(Buffer.alloc(12_000_000)))
      }
    })
    await gateway.start()
    caller = connect(gateway.port, '127.0.0.1')
    caller.on('error', () => {})
  })

  afterEach(async () => {
    caller.destroy()
    await gateway.stop()
  })

  const request = (path: string): string => `POST ${path} HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody`
  const read = (): void => { caller.on('data', (chunk: Buffer) => { received += chunk.toString('latin1') }) }

  it('are answered in order', async () => {
    read()
    caller.write(request('/whole').repeat(3))
    while (received.match(/done/g)?.length !== 3) await pause(20)
    expect(begun).to.deep.equal(['whole', 'whole', 'whole'])
  })

  it('do not begin behind a response that is cut off', async () => {
    read()
    caller.write(request('/cut') + request('/whole'))
    await once(caller, 'close')
    expect(begun).to.deep.equal(['cut'])
  })

  it('do not replace the answer of the one before if they are malformed', async () => {
    read()
    caller.write(request('/whole'))
    await pause(50)
    caller.write('no request\r\n\r\n')
    await once(caller, 'close')
    expect(received).to.match(/^HTTP\/1\.1 200 /)
  })

  it('close their connection if their bodies take too much memory', async function () {
    // Sooner than idle connections are closed.
    this.timeout(4000)
    const body = 'x'.repeat(10_000)
    const perConnection = 100
    const callers = Array.from({ length: 2 * Math.ceil(maxUnreadBytes / body.length / perConnection) }, () => connect(gateway.port, '127.0.0.1').on('error', () => {}))
    for (const each of callers) each.resume().write(`POST /whole HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`.repeat(perConnection))
    while (!callers.some(({ closed }) => closed)) await pause(10)
    for (const each of callers) each.destroy()
  })

  it('and responses that are read slowly are not cut off by a stop', async () => {
    caller.write(request('/large'))
    await once(caller, 'readable')
    const draining = gateway.drain()
    await pause(100)
    read()
    await once(caller, 'close')
    expect(received.length).to.be.above(12_000_000)
    await draining
  })
})
