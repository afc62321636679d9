import { Agent, createServer, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { Cancellation, attempt, nowMs, type AttemptEnd, type Delivery, type HeaderNames, type ServerWord } from '@finchpitch/fleet'
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
  leaving: 'leaving',
  limit: 'limit',
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
  let said: ServerWord[]
  let answer: (response: ServerResponse) => void

  beforeEach(async () => {
    permitted = true
    received = 0
    said = []
    answer = response => { response.writeHead(200, { 'request-id': 'r', seal: 's' }).end('answer') }
    server = createServer((_request, response) => {
      received += 1
      answer(response)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => { server.close() })

  const send = (address: string): Promise<AttemptEnd> => attempt({
    agent: new Agent(),
    address,
    outgoing: { method: 'GET', path: '/', headers: ['host', 'h', 'request-id', 'r'], body: Buffer.alloc(0) },
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
    heard: () => {},
    said: word => said.push(word)
  })

  it('is not given up for a stall of this process, when the connection came up in time', async () => {
    const { port } = server.address() as AddressInfo
    const sent = send(`127.0.0.1:${port}`)
    const until = nowMs() + connectMs * 3
    while (nowMs() < until) { /* The process is busy. */ }
    expect((await sent).type).to.equal('answer')
  })

  describe('tells what the server says of itself', () => {
    const leaving = { leaving: '1' }
    const answers: Record<string, (response: ServerResponse) => void> = {
      'in a good answer': response => response.writeHead(200, { 'request-id': 'r', seal: 's', ...leaving }).end('answer'),
      'in an answer whose body breaks off': response => {
        response.writeHead(200, { 'request-id': 'r', seal: 's', 'content-length': '10', ...leaving }).write('part')
        setTimeout(() => response.destroy(), 5)
      },
      'in a failure of its own': response => response.writeHead(500, { 'request-id': 'r', seal: 's', ...leaving }).end(),
      'in a refusal': response => response.writeHead(503, { 'not-run': '1', ...leaving }).end(),
      'in a refusal without the mark that it has not run': response => response.writeHead(503, leaving).end(),
      'in a refusal of what it lacks': response => response.writeHead(421, { 'not-run': '1', 'server-id': 's', ...leaving }).end(),
      'in an answer without a seal': response => response.writeHead(200, { 'request-id': 'r', ...leaving }).end('answer'),
      'in an answer to another request': response => response.writeHead(200, { 'request-id': 'another', seal: 's', ...leaving }).end('answer'),
      'in an encoded answer': response => response.writeHead(200, { 'request-id': 'r', seal: 's', 'content-encoding': 'br', ...leaving }).end('answer')
    }

    for (const [where, respond] of Object.entries(answers)) {
      it(where, async () => {
        answer = respond
        await send(`127.0.0.1:${(server.address() as AddressInfo).port}`)
        expect(said.map(word => word.leaving)).to.deep.equal([true])
      })
    }

    it('and takes nothing of another server for it', async () => {
      answer = response => response.writeHead(421, { 'not-run': '1', 'server-id': 'another', ...leaving }).end()
      await send(`127.0.0.1:${(server.address() as AddressInfo).port}`)
      expect(said).to.deep.equal([])
    })
  })

  describe('tells how long the server wants to rest', () => {
    const rests: Array<[status: number, retryAfter: string | undefined, restMs: number | undefined]> = [
      [503, '3', 3000],
      [503, '0.25', 250],
      [503, undefined, undefined],
      [503, '', undefined],
      [503, '0', undefined],
      [503, '-1', undefined],
      [503, 'soon', undefined],
      [503, 'Wed, 21 Oct 2026 07:28:00 GMT', undefined],
      [503, '86400', 600_000],
      [503, 'Infinity', 600_000],
      [429, '3', undefined],
      [500, '3', undefined]
    ]

    for (const [status, retryAfter, restMs] of rests) {
      for (const mark of [{}, { 'not-run': '1' }]) {
        it(`${status} with ${retryAfter ?? 'nothing'}${'not-run' in mark ? ', not run' : ''}`, async () => {
          answer = response => response.writeHead(status, { 'request-id': 'r', seal: 's', ...mark, ...(retryAfter === undefined ? {} : { 'retry-after': retryAfter }) }).end()
          await send(`127.0.0.1:${(server.address() as AddressInfo).port}`)
          expect(said.map(word => word.restMs)).to.deep.equal([restMs])
        })
      }
    }
  })

  describe('tells how many requests a second the server takes', () => {
    const limits: Array<[named: string | undefined, perSecond: number | undefined]> = [
      ['4.8', 4.8],
      [' 1.3 ', 1.3],
      ['50', 50],
      ['0', 0],
      ['0.5', 0.5],
      ['1000000000', 1_000_000_000],
      [undefined, Infinity],
      ['', undefined],
      ['-1', undefined],
      ['few', undefined],
      ['Infinity', undefined],
      ['NaN', undefined],
      ['0x10', undefined],
      ['1,5', undefined],
      ['9'.repeat(400), undefined]
    ]

    for (const [named, perSecond] of limits) {
      for (const status of [200, 500, 503]) {
        it(`${status} with ${named === undefined ? 'nothing' : `"${named.slice(0, 12)}"`}`, async () => {
          answer = response => response.writeHead(status, { 'request-id': 'r', seal: 's', ...(named === undefined ? {} : { limit: named }) }).end()
          await send(`127.0.0.1:${(server.address() as AddressInfo).port}`)
          expect(said.map(word => word.limitPerSecond)).to.deep.equal([perSecond])
        })
      }
    }
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
