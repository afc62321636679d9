/**
 * HTTP server for a `MemoryEngine`: an OpenAI-style API with orders to load and unload adapters, a stream of cache events, and
 * response streams with numbered events that can be resumed with `Last-Event-ID`.
 */
import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BackendError, EngineResponse } from '@finchpitch/backend'
import { HttpStandIn, readBytes, readJson, sendJson } from './http-stand-in.js'
import type { MemoryEngine } from './memory-engine.js'

const statusByErrorCode: Record<BackendError['code'], number> = { unreachable: 503, lost: 502, not_loaded: 404, fenced: 412, busy: 429, refused: 400 }

const orderPaths: ReadonlySet<string> = new Set(['/v1/load_lora_adapter', '/v1/unload_lora_adapter', '/v1/cancel'])

/** Number of response streams kept for resumption, including complete ones. */
const maxRetainedStreams = 1000

interface RecordedStream {
  events: Uint8Array[]
  ended: boolean
  wake: Set<() => void>
}

export class EngineServer extends HttpStandIn {
  /** Number of next response streams to cut off. */
  streamsToCut = 0
  /** Number of events that a stream sends before it is cut off. */
  cutAfterEvents = 3
  /** Orders are carried out and answered once this resolves. */
  ordersHeld: Promise<void> | undefined
  /** Emits `order` with the path of each order that arrives. */
  readonly events = new EventEmitter()
  readonly #streams = new Map<string, RecordedStream>()

  constructor (readonly engine: MemoryEngine) {
    super()
  }

  protected override async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/cache_events') return await this.#cacheEvents(response)
    if (request.method === 'GET') {
      const report = await this.engine.report()
      return sendJson(response, report.isOk() ? 200 : 503, report.unwrapOr(undefined as never))
    }
    if (orderPaths.has(request.url ?? '')) {
      this.events.emit('order', request.url)
      await this.ordersHeld
    }
    if (request.url === '/v1/load_lora_adapter') return await this.#load(request, response)
    if (request.url === '/v1/unload_lora_adapter') return await this.#unload(request, response)
    if (request.url === '/v1/cancel') return await this.#cancel(request, response)
    await this.#generate(request, response)
  }

  async #load (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = await readJson(request) as { lora_name: string, lora_path: string }
    const loaded = await this.engine.load({ label: order.lora_name, source: order.lora_path, fence: fenceOf(request) })
    if (loaded.isErr()) return this.#sendError(response, loaded.error)
    sendJson(response, 200, {}, { 'x-engine-boot': loaded.value })
  }

  async #unload (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = await readJson(request) as { lora_name: string }
    const unloaded = await this.engine.unload({ label: order.lora_name, fence: fenceOf(request) })
    if (unloaded.isErr()) return this.#sendError(response, unloaded.error)
    sendJson(response, 200, {}, { 'x-engine-boot': this.engine.boot })
  }

  async #cacheEvents (response: ServerResponse): Promise<void> {
    const disconnected = new AbortController()
    response.once('close', () => disconnected.abort())
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    for await (const event of this.engine.cacheEvents(disconnected.signal)) response.write(`data: ${JSON.stringify(event)}\n\n`)
  }

  async #cancel (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = await readJson(request) as { request_id: string }
    const cancelled = await this.engine.cancel({ id: order.request_id, fence: fenceOf(request) })
    if (cancelled.isErr()) return this.#sendError(response, cancelled.error)
    sendJson(response, 200, {}, { 'x-engine-boot': this.engine.boot })
  }

  async #generate (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBytes(request)
    const id = String(request.headers['x-request-id'])
    const lastEvent = request.headers['last-event-id']
    if (lastEvent !== undefined) return await this.#resume(id, Number(lastEvent), response)
    const disconnected = new AbortController()
    const { model, cache_salt: salt } = JSON.parse(body.toString()) as { model: string, cache_salt?: string }
    const call = { method: 'POST', path: request.url ?? '', headers: {}, body }
    const answer = await this.engine.generate({ id, label: model, call, priority: 0, salt: salt ?? '', fence: fenceOf(request), signal: disconnected.signal })
    if (answer.isErr()) return this.#sendError(response, answer.error)
    const { status, headers, boot } = answer.value
    response.writeHead(status, { ...headers, 'x-engine-boot': boot, 'x-request-id': id })
    response.flushHeaders()
    if (headers['content-type'] === 'text/event-stream') return await this.#send(this.#record(id, answer.value), 0, response)
    response.once('close', () => disconnected.abort())
    for await (const chunk of answer.value.body) response.write(chunk)
    response.end()
  }

  /** Buffers the engine's response stream independently of the client connection, so that it can be resumed. */
  #record (id: string, answer: EngineResponse): RecordedStream {
    const stream: RecordedStream = { events: [], ended: false, wake: new Set() }
    const notify = (): void => {
      for (const wake of stream.wake) wake()
      stream.wake.clear()
    }
    const read = async (): Promise<void> => {
      try {
        for await (const event of answer.body) {
          stream.events.push(event)
          notify()
        }
      } finally {
        stream.ended = true
        notify()
      }
    }
    this.#streams.set(id, stream)
    const [oldest] = this.#streams.keys()
    if (this.#streams.size > maxRetainedStreams && oldest !== undefined) this.#streams.delete(oldest)
    read().catch(() => {})
    return stream
  }

  async #send (stream: RecordedStream, from: number, response: ServerResponse): Promise<void> {
    const cut = this.streamsToCut > 0
    if (cut) this.streamsToCut -= 1
    for (let at = from; ; at++) {
      while (at >= stream.events.length && !stream.ended) await new Promise<void>(resolve => stream.wake.add(resolve))
      const event = stream.events[at]
      if (event === undefined || (cut && at - from >= this.cutAfterEvents)) break
      response.write(event)
    }
    if (cut || !isComplete(stream)) response.destroy()
    else response.end()
  }

  async #resume (id: string, lastEvent: number, response: ServerResponse): Promise<void> {
    const stream = this.#streams.get(id)
    if (stream === undefined) return sendJson(response, 410, {}, { 'x-engine-boot': this.engine.boot })
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-engine-boot': this.engine.boot })
    await this.#send(stream, lastEvent + 1, response)
  }

  #sendError (response: ServerResponse, { code, detail, boot }: BackendError): void {
    if (code === 'lost') response.destroy()
    else sendJson(response, statusByErrorCode[code], { error: detail }, boot === undefined ? {} : { 'x-engine-boot': boot })
  }
}

const fenceOf = (request: IncomingMessage): number => Number(request.headers['x-fence'])

const isComplete = ({ events }: RecordedStream): boolean =>
  Buffer.from(events.at(-1) ?? '').toString().includes('[DONE]')
