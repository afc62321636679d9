/**
 * A stand-in for a backend server of the users' platform: a model engine with adapter slots, or a plain service.
 *
 * An engine counts the orders that it executes, takes some milliseconds to load an adapter, records whether it was ordered to load more
 * adapters than it has slots, and responds with event streams. Tests switch faults on and off.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pause } from '@finchpitch/core'
import { HttpStandIn, readBytes, readJson, sendJson } from '../http-stand-in.js'

export interface BackendServerOptions {
  id: string
  /** Only for a model engine; absent for a plain service. */
  engine?: { model: string, places: number, loadMs: number }
  /** Requests that it runs at a time; up to four more for each slot wait in arrival order, others are rejected. Without it, all run at once. */
  slots?: number
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

const queuedPerSlot = 4

/**
 * `mute`: requests count as run, but get no response. `reset`: requests count as run, and their connections are closed without a
 * response. `failing`: responses have status 500. `shedding`: requests are rejected with status 503. `torn`: responses are cut off.
 * `cut`: connections of responses are reset after some events, or a part of the body. `unsealed`: responses lack the response seal.
 * `foreign`: responses carry the id of another request. `hanging`: responses stop after some events, or a part of the body, and stay open.
 */
export type InjectedFault = 'none' | 'hanging' | 'mute' | 'reset' | 'failing' | 'shedding' | 'torn' | 'cut' | 'unsealed' | 'foreign'

/** A request that reached a server. */
export interface Arrival {
  id: string
  at: number
  refused: boolean
  /** Id of the server that it was meant for, which differs from that of a restarted server; `undefined` if none was named. */
  meantFor: string | undefined
  /** The Retry-After value of the rejection, in seconds; `undefined` if it had none. */
  retryAfter: string | undefined
}

/** Ids of the parts of a request's prompt, in order. */
export const promptPartsOf = ({ headers }: IncomingMessage): string[] =>
  String(headers['prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0] ?? '')

export class BackendStandIn extends HttpStandIn {
  id: string
  /** The version of its software, as listed. */
  softwareVersion = 'v1'
  fault: InjectedFault = 'none'
  /** Orders get no response and are executed after this delay. */
  orderDelayMs = 0
  /** The delay applies to one in this many orders. */
  orderDelayInterval = 1
  #ordersReceived = 0
  /** Responses have neither a length nor chunks and end with their connection. */
  unframed = false
  /** Time between the last write of a response that is `cut` and the reset; without it, both come in the same turn. */
  cutDelayMs: number | undefined
  /** All its responses announce that it is draining. */
  leaving = false
  /** The Retry-After value, in seconds, of its 503 responses; `undefined` for responses without the header. */
  retryAfterSeconds: string | undefined
  /** While set, it rejects all requests with 503 and this Retry-After time. */
  overloadedRetryAfterMs: number | undefined
  /** The rate limit, in requests per second, that all its responses advertise. */
  limitPerSecond: number | undefined
  /** Its start time, as given in its store entry and its report. */
  bornAt: number | undefined
  /** Every request that reached it, in order. */
  readonly arrivals: Arrival[] = []
  /** The ids of the requests that began to run, in order. */
  readonly startedIds: string[] = []
  /** By id, the headers of each of these requests. */
  readonly headers = new Map<string, IncomingMessage['headers']>()
  /** The ids of requests whose connection closed before the response was complete. */
  readonly disconnectedIds: string[] = []
  readonly orders: Order[] = []
  /** Whether it was ever ordered to load more adapters than it has slots. */
  slotsExceeded = false
  adapters = new Map<string, number>()
  coming = new Map<string, number>()
  hasModel = true
  sequence = 0
  /** A request to this path crashes the server. */
  crashPath: string | undefined
  /** Requests with one of these parts in their prompts crash the engine some time after their first event. */
  crashParts: ReadonlySet<string> = new Set()
  /** Factor on the time that it takes for a request and between events. */
  slowdown = 1
  /** The response to a request to this path is `largeBytes` long. */
  largePath: string | undefined
  largeBytes = 0
  /** The bodies of requests to this path are not read, and get no response. */
  unreadPath: string | undefined
  /** Time between the start of such a request, or its first event, and the crash. */
  crashDelayMs = 30
  /** Called when the server crashes. */
  onCrash: () => void = () => {}
  running = 0
  /** For each slot, when the requests that it runs and those that wait for it have run. */
  readonly #slotsFreeAt: number[]

  constructor (readonly options: BackendServerOptions) {
    super()
    this.id = options.id
    this.#slotsFreeAt = Array.from({ length: options.slots ?? 0 }, () => 0)
  }

  /** Resets its state to that of a newly started server, without models, under the given id. */
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
    if (path === '/health') return sendJson(response, this.leaving ? 503 : 200, {}, { 'Instance-Id': this.id })
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
    this.#ordersReceived += 1
    if (this.orderDelayMs > 0 && this.#ordersReceived % this.orderDelayInterval === 0) {
      await pause(this.orderDelayMs)
      this.#execute(order)
      return
    }
    sendJson(response, this.#execute(order), {})
  }

  #execute (order: Order): number {
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
    const usedSlots = new Set([...this.adapters.keys(), ...this.coming.keys()]).size
    if (usedSlots > (this.options.engine?.places ?? 0)) this.slotsExceeded = true
    setTimeout(() => {
      if (!this.coming.has(adapter)) return
      this.coming.delete(adapter)
      this.adapters.set(adapter, order.version ?? 1)
    }, this.options.engine?.loadMs ?? 0)
    return 202
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(request.headers['request-id'] ?? '')
    if ((request.url ?? '') === this.unreadPath) {
      this.#recordArrival(request, requestId, undefined)
      this.startedIds.push(requestId)
      return
    }
    const body = await readBytes(request)
    const rejectionStatus = this.#rejectionStatus(request)
    this.#recordArrival(request, requestId, rejectionStatus)
    if (rejectionStatus !== undefined) return sendJson(response, rejectionStatus, {}, this.#rejectionHeaders(rejectionStatus))
    this.startedIds.push(requestId)
    this.headers.set(requestId, request.headers)
    response.on('close', () => { if (!response.writableFinished) this.disconnectedIds.push(requestId) })
    if (this.fault === 'mute') return
    if (this.fault === 'reset') {
      response.destroy()
      return
    }
    if ((request.url ?? '') === this.crashPath) return await this.#crash()
    this.running += 1
    try {
      const workMs = this.options.workMs * this.slowdown
      await pause(this.#reserveSlot(workMs) + workMs)
      await this.#respond(request, requestId, body, response)
    } finally {
      this.running -= 1
    }
  }

  #recordArrival ({ headers }: IncomingMessage, id: string, rejectionStatus: number | undefined): void {
    const meantFor = headers['expect-instance']
    const retryAfter = rejectionStatus === undefined ? undefined : this.#rejectionHeaders(rejectionStatus)['Retry-After']
    this.arrivals.push({ id, at: performance.now(), refused: rejectionStatus !== undefined, meantFor: typeof meantFor === 'string' ? meantFor : undefined, retryAfter })
  }

  get #slotWaitMs (): number {
    return this.options.slots === undefined ? 0 : Math.max(0, Math.min(...this.#slotsFreeAt) - performance.now())
  }

  /** Occupies the slot that is free first and returns the time until then. */
  #reserveSlot (workMs: number): number {
    if (this.options.slots === undefined) return 0
    const waitMs = this.#slotWaitMs
    const slot = this.#slotsFreeAt.indexOf(Math.min(...this.#slotsFreeAt))
    this.#slotsFreeAt[slot] = performance.now() + waitMs + workMs
    return waitMs
  }

  /** Crashes the server, with all requests that it runs. */
  async #crash (): Promise<void> {
    await pause(this.crashDelayMs)
    this.onCrash()
  }

  #isMisdirected (request: IncomingMessage): boolean {
    const expected = request.headers['expect-instance']
    return expected !== undefined && expected !== this.id
  }

  #rejectionStatus (request: IncomingMessage): number | undefined {
    if (this.#isMisdirected(request)) return 421
    if (this.fault === 'shedding' || this.overloadedRetryAfterMs !== undefined) return 503
    if (this.#slotWaitMs > queuedPerSlot * this.options.workMs) return 503
    if (this.options.engine === undefined) return undefined
    if (!this.hasModel) return 421
    const adapter = String(request.headers.model ?? '').split('/')[1]
    if (adapter === undefined) return undefined
    const loadedVersion = this.adapters.get(adapter)
    const expected = request.headers['expect-version']
    return loadedVersion === undefined || (expected !== undefined && Number(expected) !== loadedVersion) ? 421 : undefined
  }

  #rejectionHeaders (status: number): Record<string, string> {
    const seconds = this.overloadedRetryAfterMs === undefined ? this.retryAfterSeconds : String(this.overloadedRetryAfterMs / 1000)
    const retryAfter: Record<string, string> = status === 503 && seconds !== undefined ? { 'Retry-After': seconds } : {}
    return { 'Not-Executed': '1', ...retryAfter, ...(status === 421 ? { 'Instance-Id': this.id } : {}) }
  }

  async #respond (request: IncomingMessage, requestId: string, body: Buffer, response: ServerResponse): Promise<void> {
    const path = request.url ?? ''
    if (this.unframed) {
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
    }
    const echoedId = this.fault === 'foreign' ? 'another' : requestId
    const headers = { 'Request-Id': echoedId, ...(this.fault === 'unsealed' ? {} : { 'Response-Seal': `seal-${this.id}` }) }
    if (this.fault === 'failing') return sendJson(response, 500, {}, headers)
    if (path === this.largePath) {
      response.writeHead(200, { ...headers, 'content-length': this.largeBytes }).end(Buffer.alloc(this.largeBytes))
      return
    }
    if (this.options.engine === undefined) {
      const text = `done ${requestId} ${body.length}`
      response.writeHead(200, { ...headers, ...(this.unframed ? {} : { 'content-length': text.length }) })
      if (this.fault === 'cut' || this.fault === 'hanging') {
        response.write(text.slice(0, 4))
        return this.fault === 'cut' ? this.#cut(response) : undefined
      }
      if (this.fault === 'torn') {
        response.write(text.slice(0, 4))
        setTimeout(() => response.destroy(), 5)
        return
      }
      response.end(text)
      return
    }
    // A stream is of one version, also if the server restarts under another one before it has ended.
    const { id, softwareVersion } = this
    const after = Number(request.headers['last-event-id'] ?? 0)
    const crashes = promptPartsOf(request).some(part => this.crashParts.has(part))
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    for (let event = after + 1; event <= this.options.events; event++) {
      if (this.fault === 'torn' && event === 3) {
        response.destroy()
        return
      }
      response.write(`id: ${event}\ndata: ${id} ${softwareVersion} ${event}\n\n`)
      if (this.fault === 'cut' && event === 2) return this.#cut(response)
      if (this.fault === 'hanging' && event === 2) return
      if (crashes) return await this.#crash()
      await pause(this.options.eventMs * this.slowdown)
    }
    response.end()
  }

  /** Resets the connection after what was written. */
  #cut (response: ServerResponse): void {
    if (this.cutDelayMs === undefined) response.socket?.resetAndDestroy()
    else setTimeout(() => response.socket?.resetAndDestroy(), this.cutDelayMs)
  }
}
