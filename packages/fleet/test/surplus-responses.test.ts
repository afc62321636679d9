/*
 * Guards against late second copies of responses that are taken for the response to a later request with the same id: a generation that
 * may run once then ran twice, or its caller was told that it had not run.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Agent } from 'node:http'
import { Cancellation, KeptBytes, ReadTurns, attempt, createServerAgent, type AttemptResult, type CallerResponse } from '@finchpitch/fleet'
import { headerNames } from '@finchpitch/platform'
import { expect } from 'chai'
import * as fc from 'fast-check'
import { SingleEntry, bodyOf, statusOf } from './single-entry.js'

const response = (status: string, headers: Record<string, string>, body = ''): string =>
  `HTTP/1.1 ${status}\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}content-length: ${body.length}\r\n\r\n${body}`
const answer = (id: string, body: string): string => response('200 OK', { 'request-id': id, 'response-seal': 's' }, body)
const refusal = (id: string): string => response('421 Misdirected Request', { 'request-id': id, 'not-executed': '1', 'instance-id': 's' })

/** Answers the requests of each connection in turn. `respond` gets the ids that the connection has carried, the last one included. */
class RawServer {
  readonly carried: string[][] = []
  readonly #sockets = new Set<Socket>()
  #server: Server | undefined

  constructor (private readonly respond: (ids: readonly string[]) => string) {}

  async start (): Promise<string> {
    this.#server = createServer(socket => {
      const ids: string[] = []
      this.carried.push(ids)
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
      socket.on('error', () => {})
      socket.on('data', chunk => {
        ids.push(/request-id: (\S*)/i.exec(chunk.toString('latin1'))?.[1] ?? '')
        socket.write(this.respond(ids))
      })
    })
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  stop (): void {
    this.#server?.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}

/** Connections of the agent, in use or free. */
const openConnections = ({ sockets, freeSockets }: Agent): number =>
  [sockets, freeSockets].flatMap(byName => Object.values(byName).flat()).filter(socket => socket?.destroyed === false).length

const send = (agent: Agent, address: string, requestId: string): Promise<AttemptResult> => attempt({
  agent,
  address,
  outgoing: { method: 'POST', path: '/', headers: ['host', 'h', 'request-id', requestId, 'content-length', '0'], body: Buffer.alloc(0) },
  requestId,
  serverId: 's',
  names: headerNames,
  turns: new ReadTurns(),
  connectMs: 1000,
  maySend: () => true,
  onConnected: () => {},
  stream: false,
  resumes: false,
  eventFramer: undefined,
  callerResponse: { started: false } as unknown as CallerResponse,
  cancellation: new Cancellation(),
  keptBytes: new KeptBytes(() => undefined),
  onResponse: () => {},
  onServerFeedback: () => {}
})

describe('a late second copy of a response', () => {
  let server: RawServer
  let agent: Agent

  afterEach(() => {
    agent.destroy()
    server.stop()
  })

  describe('to an earlier attempt of the same request', () => {
    it('is not taken for the response to the next attempt, which runs', async () => {
      const tries = new Map<string, number>()
      server = new RawServer(ids => {
        const id = ids.at(-1) ?? ''
        const number = (tries.get(id) ?? 0) + 1
        tries.set(id, number)
        if (number === 1) return refusal(id)
        return ids.length > 1 ? refusal(id) + answer(id, 'run') : answer(id, 'run')
      })
      const address = await server.start()
      agent = createServerAgent(10)
      expect((await send(agent, address, 'r')).type).to.equal('not_run')
      expect((await send(agent, address, 'r')).type).to.equal('answer')
    })

    it('finds no connection that carries its id twice, nor too many connections, whatever the order of requests', async function () {
      this.timeout(60_000)
      const requests = fc.array(fc.integer({ min: 0, max: 3 }), { minLength: 1, maxLength: 24 })
      await fc.assert(fc.asyncProperty(requests, fc.integer({ min: 1, max: 3 }), fc.integer({ min: 1, max: 4 }), async (ids, maxConnections, batch) => {
        let most = 0
        server = new RawServer(carried => {
          most = Math.max(most, openConnections(agent))
          return answer(carried.at(-1) ?? '', 'run')
        })
        const address = await server.start()
        agent = createServerAgent(maxConnections)
        const results: AttemptResult[] = []
        for (let at = 0; at < ids.length; at += batch) {
          results.push(...await Promise.all(ids.slice(at, at + batch).map(id => send(agent, address, `r${id}`))))
        }
        agent.destroy()
        server.stop()
        expect(results.map(({ type }) => type)).to.deep.equal(ids.map(() => 'answer'))
        for (const carried of server.carried) expect(carried).to.have.lengthOf(new Set(carried).size)
        expect(most).to.be.at.most(maxConnections)
      }), { numRuns: 60, seed: 75 })
    })

    it('leaves the connection to requests with other ids', async () => {
      server = new RawServer(ids => answer(ids.at(-1) ?? '', 'run'))
      const address = await server.start()
      agent = createServerAgent(10)
      for (const id of ['a', 'b', 'a', 'c', 'd']) await send(agent, address, id)
      expect(server.carried).to.deep.equal([['a', 'b'], ['a', 'c', 'd']])
    })
  })

  describe('to an earlier request of another caller', () => {
    let entry: SingleEntry

    beforeEach(async () => {
      entry = new SingleEntry()
      await entry.start()
    })

    afterEach(async () => await entry.stop())

    it('echoes its id, as a request without one is rejected at once and reaches no server', async () => {
      let arrivals = 0
      await entry.addServer('a', () => { arrivals += 1 })
      expect([statusOf(await entry.send('/plain/x', { id: '' })), arrivals]).to.deep.equal([400, 0])
    })

    it('is not delivered to the second caller, if both have the same id', async () => {
      const carried = new WeakMap<object, string[]>()
      let bodies = 0
      await entry.addServer('a', (socket, id) => {
        const before = carried.get(socket) ?? []
        const own = answer(id, `own ${++bodies}`)
        socket.write(before.length > 0 ? `${before.at(-1)}${own}` : own)
        carried.set(socket, [...before, own])
      })
      const first = await entry.send('/plain/x', { id: 'same' })
      const second = await entry.send('/plain/x', { id: 'same' })
      expect([first, second].map(result => [statusOf(result), bodyOf(result)])).to.deep.equal([[200, 'own 1'], [200, 'own 2']])
    })
  })
})
