import { Agent, createServer, type Server } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { Cancellation, attempt, nowMs, type AttemptEnd, type Delivery, type HeaderNames } from '@finchpitch/fleet'
import { expect } from 'chai'

const names: HeaderNames = {
  requestId: 'request-id',
  remainingMs: 'remaining-ms',
  model: 'model',
  tokens: 'tokens',
  lastEventId: 'last-event-id',
  retryAfter: 'retry-after',
  seal: 'seal',
  notRun: 'not-run',
  expectedServer: 'expected-server',
  serverId: 'server-id',
  expectedVersion: 'expected-version',
  priority: 'priority',
  key: 'authorization',
  keyScheme: 'token',
  team: 'team',
  reserved: new Set()
}
const connectMs = 60

describe('an attempt', () => {
  let server: Server
  let permitted: boolean
  let received: number

  beforeEach(async () => {
    permitted = true
    received = 0
    server = createServer((request, response) => {
      received += 1
      response.writeHead(200, { 'request-id': request.headers['request-id'], seal: 's' }).end('answer')
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => { server.close() })

  const send = (address: string): Promise<AttemptEnd> => attempt({
    agent: new Agent(),
    address,
    outgoing: { method: 'GET', path: '/', headers: ['request-id', 'r'], body: Buffer.alloc(0) },
    requestId: 'r',
    serverId: 's',
    names,
    connectMs,
    permit: () => permitted,
    cameUp: () => {},
    stream: false,
    cutter: undefined,
    delivery: { started: false } as unknown as Delivery,
    cancellation: new Cancellation(),
    heard: () => {}
  })

  it('is not given up for a stall of this process, when the connection came up in time', async () => {
    const { port } = server.address() as AddressInfo
    const sent = send(`127.0.0.1:${port}`)
    const until = nowMs() + connectMs * 3
    while (nowMs() < until) { /* The process is busy. */ }
    expect((await sent).type).to.equal('answer')
  })

  it('has surely not been sent where nothing listens', async () => {
    expect(await send('127.0.0.1:9')).to.include({ type: 'not_sent' })
  })

  it('sends nothing once it may no longer be sent, though it might when it began', async () => {
    const { port } = server.address() as AddressInfo
    const end = send(`127.0.0.1:${port}`)
    permitted = false
    expect(await end).to.deep.equal({ type: 'withheld' })
    expect(received).to.equal(0)
  })
})
