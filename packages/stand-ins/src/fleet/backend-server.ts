/**
 * A stand-in for a backend server of the users' platform: a model engine with adapter places, or a plain service.
 *
 * An engine counts its orders, loads adapters in some milliseconds, falls when it is ordered beyond its places, and
 * answers streams of events. Faults are switched on by the test.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pause } from '@finchpitch/core'
import { HttpStandIn, readBytes, readJson, sendJson } from '../http-stand-in.js'

export interface BackendServerOptions {
  id: string
  /** Present at an engine. */
  engine?: { model: string, places: number, loadMs: number }
  workMs: number
  events: number
  eventMs: number
}

interface Order {
  operation: 'load' | 'unload'
  model: string
  adapter?: string
  version?: number
  expectedCount?: number
  holder: string
  fence: number
}

export type BackendFault = 'none' | 'mute' | 'reset' | 'failing' | 'shedding' | 'torn' | 'unsealed' | 'foreign'

export class BackendStandIn extends HttpStandIn {
  id: string
  fault: BackendFault = 'none'
  /** Orders get no answer and are carried out this much later. */
  lateOrdersMs = 0
  /** Of so many orders one is late. */
  lateEvery = 1
  #received = 0
  /** It says in all its answers that it leaves. */
  leaving = false
  /** What it asks for with each 503, in seconds; `undefined` for no rest. */
  restSeconds: string | undefined
  /** It refuses all requests and asks for so much rest each time. */
  overloadedRestMs: number | undefined
  /** The requests a second that it says it takes, with all its answers. */
  limitPerSecond: number | undefined
  /** When it started, as the store and its report say. */
  bornAt: number | undefined
  /** Every request that reached it, when, and whether it was turned away. */
  readonly arrivals: Array<{ id: string, at: number, refused: boolean }> = []
  /** Every request that began to run, by its id. */
  readonly ran: string[] = []
  /** The headers that each came with. */
  readonly headers = new Map<string, IncomingMessage['headers']>()
  /** Requests whose caller was gone before their end. */
  readonly left: string[] = []
  readonly orders: Order[] = []
  /** It was ordered beyond its places. */
  fell = false
  adapters = new Map<string, number>()
  coming = new Map<string, number>()
  hasModel = true
  sequence = 0
  /** A request to this path ends it, `fatalMs` after it began to run it. */
  fatalPath: string | undefined
  fatalMs = 30
  /** What the machine does when it ends. */
  ending: () => void = () => {}
  running = 0

  constructor (readonly options: BackendServerOptions) {
    super()
    this.id = options.id
  }

  /** Comes back empty, under another id. */
  restart (id: string): void {
    this.id = id
    this.adapters.clear()
    this.coming.clear()
    this.sequence = 0
    this.hasModel = false
  }

  protected override async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.leaving) response.setHeader('Server-Leaving', '1')
    if (this.limitPerSecond !== undefined) response.setHeader('Server-Limit', String(this.limitPerSecond))
    const path = (request.url ?? '').split('?')[0]
    if (path === '/v1/report') return sendJson(response, 200, this.#report())
    if (path === '/v1/order') return await this.#order(await readJson(request) as Order, request, response)
    await this.#serve(request, response)
  }

  #report (): unknown {
    const { engine } = this.options
    const name = engine?.model ?? ''
    const adapters = [...this.adapters].map(([adapter, version]) => `${adapter}@${version}`)
    const coming = [...this.coming].map(([adapter, version]) => `${name}/${adapter}@${version}`)
    const models = this.hasModel ? [{ name, version: 1, adapters }] : []
    const born = this.bornAt === undefined ? {} : { born: this.bornAt }
    return { ...born, stage: 'colocated', models, coming, busy: false, sequence: this.sequence, waiting: 0, running: this.running, kvUsed: 0, kvTotal: 1000, handles: 0 }
  }

  async #order (order: Order, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) return sendJson(response, 421, {}, { 'Instance-Id': this.id, 'Not-Executed': '1' })
    this.#received += 1
    if (this.lateOrdersMs > 0 && this.#received % this.lateEvery === 0) {
      await pause(this.lateOrdersMs)
      this.#carryOut(order)
      return
    }
    sendJson(response, this.#carryOut(order), {})
  }

  #carryOut (order: Order): number {
    if (order.expectedCount !== undefined && order.expectedCount !== this.sequence) return 409
    this.orders.push(order)
    this.sequence += 1
    const { adapter } = order
    if (adapter === undefined) {
      this.hasModel = order.operation === 'load'
      return 202
    }
    if (order.operation === 'unload') {
      this.adapters.delete(adapter)
      return 200
    }
    this.coming.set(adapter, order.version ?? 1)
    const taken = new Set([...this.adapters.keys(), ...this.coming.keys()]).size
    if (taken > (this.options.engine?.places ?? 0)) this.fell = true
    setTimeout(() => {
      if (!this.coming.has(adapter)) return
      this.coming.delete(adapter)
      this.adapters.set(adapter, order.version ?? 1)
    }, this.options.engine?.loadMs ?? 0)
    return 202
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBytes(request)
    const requestId = String(request.headers['request-id'] ?? '')
    const refused = this.#refusal(request)
    this.arrivals.push({ id: requestId, at: performance.now(), refused: refused !== undefined })
    if (refused !== undefined) return sendJson(response, refused, {}, this.#refusalHeaders(refused))
    this.ran.push(requestId)
    this.headers.set(requestId, request.headers)
    response.on('close', () => { if (!response.writableFinished) this.left.push(requestId) })
    if (this.fault === 'mute') return
    if (this.fault === 'reset') {
      response.destroy()
      return
    }
    if ((request.url ?? '') === this.fatalPath) return await this.#end()
    this.running += 1
    try {
      await pause(this.options.workMs)
      await this.#answer(requestId, body, response, Number(request.headers['last-event-id'] ?? 0))
    } finally {
      this.running -= 1
    }
  }

  /** The process ends with all that it runs. */
  async #end (): Promise<void> {
    await pause(this.fatalMs)
    this.ending()
  }

  #misdirected (request: IncomingMessage): boolean {
    const expected = request.headers['expect-instance']
    return expected !== undefined && expected !== this.id
  }

  #refusal (request: IncomingMessage): number | undefined {
    if (this.#misdirected(request)) return 421
    if (this.fault === 'shedding' || this.overloadedRestMs !== undefined) return 503
    if (this.options.engine === undefined) return undefined
    if (!this.hasModel) return 421
    const adapter = String(request.headers.model ?? '').split('/')[1]
    if (adapter === undefined) return undefined
    const held = this.adapters.get(adapter)
    const expected = request.headers['expect-version']
    return held === undefined || (expected !== undefined && Number(expected) !== held) ? 421 : undefined
  }

  #refusalHeaders (status: number): Record<string, string> {
    const seconds = this.overloadedRestMs === undefined ? this.restSeconds : String(this.overloadedRestMs / 1000)
    const rest: Record<string, string> = status === 503 && seconds !== undefined ? { 'Retry-After': seconds } : {}
    return { 'Not-Executed': '1', ...rest, ...(status === 421 ? { 'Instance-Id': this.id } : {}) }
  }

  async #answer (requestId: string, body: Buffer, response: ServerResponse, after: number): Promise<void> {
    const echoed = this.fault === 'foreign' ? 'another' : requestId
    const headers = { 'Request-Id': echoed, ...(this.fault === 'unsealed' ? {} : { 'Response-Seal': `seal-${this.id}` }) }
    if (this.fault === 'failing') return sendJson(response, 500, {}, headers)
    if (this.options.engine === undefined) {
      const text = `done ${requestId} ${body.length}`
      response.writeHead(200, { ...headers, 'content-length': text.length })
      if (this.fault === 'torn') {
        response.write(text.slice(0, 4))
        setTimeout(() => response.destroy(), 5)
        return
      }
      response.end(text)
      return
    }
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    for (let event = after + 1; event <= this.options.events; event++) {
      if (this.fault === 'torn' && event === 3) {
        response.destroy()
        return
      }
      response.write(`id: ${event}\ndata: ${this.id} ${event}\n\n`)
      await pause(this.options.eventMs)
    }
    response.end()
  }
}
