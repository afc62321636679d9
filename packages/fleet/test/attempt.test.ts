import { Agent, createServer, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { Cancellation, KeptBytes, ReadTurns, attempt, nowMs, type AttemptResult, type CallerResponse, type HeaderNames, type ServerFeedback } from '@finchpitch/fleet'
import { expect } from 'chai'

const names: HeaderNames = {
  requestId: 'request-id',
  remainingMs: 'remaining-ms',
  model: 'model',
  tokens: 'tokens',
  promptParts: 'prompt-prefix',
  lastEventId: 'last-event-id',
  resumes: 'resumes',
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
  let serverFeedback: ServerFeedback[]
  let answer: (response: ServerResponse) => void

  beforeEach(async () => {
    permitted = true
    received = 0
    serverFeedback = []
    answer = response => { response.writeHead(200, { 'request-id': 'r', seal: 's' }).end('answer') }
    server = createServer((_request, response) => {
      received += 1
      answer(response)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => { server.close() })

  const send = (address: string): Promise<AttemptResult> => attempt({
    agent: new Agent(),
    address,
    outgoing: { method: 'GET', path: '/', headers: ['host', 'h', 'request-id', 'r'], body: Buffer.alloc(0) },
    requestId: 'r',
    serverId: 's',
    names,
    turns: new ReadTurns(),
    connectMs,
    maySend: () => permitted,
    onConnected: () => {},
    stream: false,
    resumes: false,
    eventFramer: undefined,
    callerResponse: { started: false } as unknown as CallerResponse,
    cancellation: new Cancellation(),
    keptBytes: new KeptBytes(() => undefined),
    onResponse: () => {},
    onServerFeedback: feedback => serverFeedback.push(feedback)
  })

  it('does not time out during a stall of this process if the connection was established in time', async () => {
    const { port } = server.address() as AddressInfo
    const sent = send(`127.0.0.1:${port}`)
    const until = nowMs() + connectMs * 3
    while (nowMs() < until) { /* Blocks the event loop. */ }
    expect((await sent).type).to.equal('answer')
  })

  describe('reports that the server is draining', () => {
    const leaving = { leaving: '1' }
    const answers: Record<string, (response: ServerResponse) => void> = {
      'in a successful response': response => response.writeHead(200, { 'request-id': 'r', seal: 's', ...leaving }).end('answer'),
      'in a response whose body is truncated': response => {
        response.writeHead(200, { 'request-id': 'r', seal: 's', 'content-length': '10', ...leaving }).write('part')
        setTimeout(() => response.destroy(), 5)
      },
      'in a server error': response => response.writeHead(500, { 'request-id': 'r', seal: 's', ...leaving }).end(),
      'in a refusal': response => response.writeHead(503, { 'not-run': '1', ...leaving }).end(),
      'in a refusal without the not-run header': response => response.writeHead(503, leaving).end(),
      'in a refusal because it lacks the model (421)': response => response.writeHead(421, { 'not-run': '1', 'server-id': 's', ...leaving }).end(),
      'in a response without a seal': response => response.writeHead(200, { 'request-id': 'r', ...leaving }).end('answer'),
      'in a response to another request': response => response.writeHead(200, { 'request-id': 'another', seal: 's', ...leaving }).end('answer'),
      'in an encoded response': response => response.writeHead(200, { 'request-id': 'r', seal: 's', 'content-encoding': 'br', ...leaving }).end('answer')
    }

    for (const [title, respond] of Object.entries(answers)) {
      it(title, async () => {
        answer = respond
        await send(`127.0.0.1:${(server.address() as AddressInfo).port}`)
        expect(serverFeedback.map(feedback => feedback.leaving)).to.deep.equal([true])
      })
    }

    it('but ignores the headers of another server', async () => {
      answer = response => response.writeHead(421, { 'not-run': '1', 'server-id': 'another', ...leaving }).end()
      await send(`127.0.0.1:${(server.address() as AddressInfo).port}`)
      expect(serverFeedback).to.deep.equal([])
    })
  })

  describe('reports the backoff that the server asks for', () => {
    const backoffs: Array<[status: number, retryAfter: string | undefined, backoffMs: number | undefined]> = [
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

    for (const [status, retryAfter, backoffMs] of backoffs) {
      for (const mark of [{}, { 'not-run': '1' }]) {
        it(`${status} with ${retryAfter ?? 'nothing'}${'not-run' in mark ? ', not run' : ''}`, async () => {
          answer = response => response.writeHead(status, { 'request-id': 'r', seal: 's', ...mark, ...(retryAfter === undefined ? {} : { 'retry-after': retryAfter }) }).end()
          await send(`127.0.0.1:${(server.address() as AddressInfo).port}`)
          expect(serverFeedback.map(feedback => feedback.backoffMs)).to.deep.equal([backoffMs])
        })
      }
    }
  })

  describe('reports the limit that the server advertises', () => {
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

    for (const [limit, perSecond] of limits) {
      for (const status of [200, 500, 503]) {
        it(`${status} with ${limit === undefined ? 'nothing' : `"${limit.slice(0, 12)}"`}`, async () => {
          answer = response => response.writeHead(status, { 'request-id': 'r', seal: 's', ...(limit === undefined ? {} : { limit }) }).end()
          await send(`127.0.0.1:${(server.address() as AddressInfo).port}`)
          expect(serverFeedback.map(feedback => feedback.limitPerSecond)).to.deep.equal([perSecond])
        })
      }
    }
  })

  it('ends as not sent where nothing listens', async () => {
    expect(await send('127.0.0.1:9')).to.include({ type: 'not_sent' })
  })

  it('sends nothing if the permission is withdrawn while it connects', async () => {
    const { port } = server.address() as AddressInfo
    const end = send(`127.0.0.1:${port}`)
    permitted = false
    expect(await end).to.deep.equal({ type: 'withheld' })
    expect(received).to.equal(0)
  })
})
