/**
 * Client of an engine with an OpenAI-compatible HTTP API and additional calls to load and unload adapters.
 *
 * Responses are streamed as server-sent events. The engine numbers them (`id`), so a stream whose connection was lost is
 * resumed after the last complete event (`Last-Event-ID`), provided that the engine hasn't restarted. A stream is
 * complete only once `[DONE]` has been received.
 *
 * A faulty engine may send a second copy of a response, which arrives where the next response on the connection is due. An engine that
 * echoes `X-Request-Id` lets the client tell it from the response to another request; an id that was sent before gets a connection of
 * its own.
 */
import { GatheredBytes, ResponseError, outcomeUnknown, readText, readTextStart, type BodyBounds } from '@finchpitch/core'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { err, ok, type Result } from 'neverthrow'
import { Client, Pool, type Dispatcher } from 'undici'
import * as z from 'zod'
import { CacheEvent } from './cache-event.js'
import type { Engine, EngineOrder, EngineReport, EngineResponse, GenerationRequest } from './engine.js'
import { backendError, toBackendError, type BackendError, type BackendErrorCode } from './backend-error.js'
import { createConnector } from './connector.js'
import { limitInterim } from './interim-responses.js'
import { completeBody, requireFinalStatus } from './response-body.js'
import { endToEndHeaders } from './service.js'

const maxConnections = 256
const connectTimeoutMs = 1000
const reportTimeoutMs = 1000
const maxResumes = 3
/** Ids of the last generations that are remembered. A late copy arrives where one of the next responses is due. */
const maxRememberedIds = 1000
const endOfStream = '[DONE]'
/** A report lists some tens of adapters. */
const replyBounds: BodyBounds = { maxBytes: 1024 * 1024, maxMs: 10_000 }
/** The status of a refusal says all that matters; its body is for the log. */
const refusalBounds: BodyBounds = { maxBytes: 64 * 1024, maxMs: 1000 }
/** Far above any event. A faulty engine may send one without end. */
const maxEventBytes = 256 * 1024
const lineFeed = 0x0a
const carriageReturn = 0x0d
const clientOptions = { connect: createConnector(connectTimeoutMs), headersTimeout: 0, bodyTimeout: 0 }

const Report = z.object({
  boot: z.string(),
  running: z.number(),
  waiting: z.number(),
  capacity: z.number().int().positive(),
  slots: z.number().int().positive(),
  loaded: z.array(z.string()),
  using: z.array(z.string())
})

/** Statuses that mean that the engine has not run the request. */
const refusalCodes: Record<number, BackendErrorCode> = { 404: 'not_loaded', 412: 'fenced', 429: 'busy', 503: 'busy' }

const bootOf = (reply: Dispatcher.ResponseData): string => String(reply.headers['x-engine-boot'] ?? '')

const isEventStream = (reply: Dispatcher.ResponseData): boolean =>
  String(reply.headers['content-type'] ?? '').startsWith('text/event-stream')

const requestBody = ({ call, label, priority, salt }: GenerationRequest): string => {
  const body = JSON.parse(Buffer.from(call.body).toString()) as Record<string, unknown>
  return JSON.stringify({ ...body, model: label, priority, cache_salt: salt })
}

const formatEvent = ({ id, data }: EventSourceMessage): Uint8Array =>
  Buffer.from(`${id === undefined ? '' : `id: ${id}\n`}data: ${data}\n\n`)

export class HttpEngine implements Engine {
  readonly #pool: Pool
  readonly #sentIds = new Set<string>()

  constructor (private readonly origin: string) {
    this.#pool = new Pool(origin, { ...clientOptions, connections: maxConnections })
  }

  async report (): Promise<Result<EngineReport, BackendError>> {
    return await this.#reportOver(this.#pool)
  }

  /** Whether the engine's run with this boot id goes on. Asks over a new connection, as what comes on an open one may have been sent earlier. */
  async #hasBoot (boot: string): Promise<boolean> {
    const client = new Client(this.origin, clientOptions)
    const report = await this.#reportOver(client)
    await client.destroy()
    return report.isOk() && report.value.boot === boot
  }

  async #reportOver (dispatcher: Dispatcher): Promise<Result<EngineReport, BackendError>> {
    try {
      const reply = await dispatcher.request({ method: 'GET', path: '/load', headersTimeout: reportTimeoutMs, bodyTimeout: reportTimeoutMs, ...limitInterim() })
      const report = Report.safeParse(JSON.parse(await readText(reply.body, replyBounds)))
      return report.success ? ok(report.data) : err(backendError('refused', 'the load report is not valid'))
    } catch (error) {
      return err(toBackendError(error))
    }
  }

  async load ({ label, fence, source }: EngineOrder & { source: string }): Promise<Result<string, BackendError>> {
    const reply = await this.#sendOrder('/v1/load_lora_adapter', fence, { lora_name: label, lora_path: source })
    return reply.map(bootOf)
  }

  async unload ({ label, fence }: EngineOrder): Promise<Result<void, BackendError>> {
    const reply = await this.#sendOrder('/v1/unload_lora_adapter', fence, { lora_name: label })
    return reply.map(() => undefined)
  }

  async cancel ({ id, fence }: { id: string, fence: number }): Promise<Result<void, BackendError>> {
    const reply = await this.#sendOrder('/v1/cancel', fence, { request_id: id })
    return reply.map(() => undefined)
  }

  async * cacheEvents (signal: AbortSignal): AsyncGenerator<CacheEvent> {
    try {
      const reply = await this.#pool.request({ method: 'GET', path: '/cache_events', signal, ...limitInterim() })
      if (reply.statusCode !== 200) {
        await reply.body.dump()
        return
      }
      for await (const { data } of parseEvents(reply.body)) {
        const event = CacheEvent.safeParse(JSON.parse(data))
        if (event.success) yield event.data
      }
    } catch {
      // The stream has ended. The caller opens another one, and a gap in the sequence reveals missed events.
    }
  }

  async generate (request: GenerationRequest): Promise<Result<EngineResponse, BackendError>> {
    try {
      const reply = await this.#post(request)
      const boot = bootOf(reply)
      requireFinalStatus(reply)
      const refusal = refusalCodes[reply.statusCode]
      if (refusal !== undefined) return err(backendError(refusal, await readTextStart(reply.body, refusalBounds), boot))
      const body = isEventStream(reply) ? this.#resumableEvents(request, reply, boot) : completeBody(reply, 'POST', async () => await this.#hasBoot(boot))
      return ok({ status: reply.statusCode, headers: endToEndHeaders(reply.headers), boot, body })
    } catch (error) {
      return err(toBackendError(error))
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }

  async #post (request: GenerationRequest, lastEventId?: string): Promise<Dispatcher.ResponseData> {
    const { call, id, fence, signal } = request
    const headers = {
      'content-type': 'application/json',
      'x-request-id': id,
      'x-fence': String(fence),
      ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId })
    }
    const reply = await this.#send(id, { method: 'POST', path: call.path, headers, body: requestBody(request), signal, ...limitInterim() })
    const echoed = reply.headers['x-request-id']
    if (echoed === undefined || echoed === id) return reply
    reply.body.on('error', () => {}).destroy()
    throw new Error(`a response to another request (${String(echoed)})`)
  }

  /** Sends a request with an id that was sent before over a connection of its own. */
  async #send (id: string, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    const isRepeated = this.#sentIds.has(id)
    this.#sentIds.add(id)
    const [oldest] = this.#sentIds
    if (this.#sentIds.size > maxRememberedIds && oldest !== undefined) this.#sentIds.delete(oldest)
    if (!isRepeated) return await this.#pool.request(options)
    const client = new Client(this.origin, clientOptions)
    try {
      return await client.request(options)
    } finally {
      // Closes it once the response has been read.
      void client.close()
    }
  }

  /** Yields complete events. When a connection is lost, resumes the stream on another one, up to `maxResumes` times. */
  async * #resumableEvents (request: GenerationRequest, first: Dispatcher.ResponseData, boot: string): AsyncGenerator<Uint8Array> {
    let lastEventId: string | undefined
    let cause = 'the stream ended early'
    for (let attempts = 0, reply: Dispatcher.ResponseData | undefined = first; reply !== undefined; attempts++) {
      try {
        for await (const event of parseEvents(reply.body)) {
          if (event.id !== undefined) lastEventId = event.id
          yield formatEvent(event)
          if (event.data === endOfStream) return
        }
      } catch (error) {
        cause = (error as Error).message
      }
      reply = request.signal.aborted || attempts >= maxResumes ? undefined : await this.#resume(request, lastEventId, boot)
    }
    throw new ResponseError(outcomeUnknown('answer_cut', { detail: cause }))
  }

  async #resume (request: GenerationRequest, lastEventId: string | undefined, boot: string): Promise<Dispatcher.ResponseData | undefined> {
    if (lastEventId === undefined) return undefined
    try {
      const reply = await this.#post(request, lastEventId)
      if (reply.statusCode === 200 && isEventStream(reply) && bootOf(reply) === boot) return reply
      await reply.body.dump()
      return undefined
    } catch {
      return undefined
    }
  }

  async #sendOrder (path: string, fence: number, order: Record<string, string>): Promise<Result<Dispatcher.ResponseData, BackendError>> {
    try {
      const headers = { 'content-type': 'application/json', 'x-fence': String(fence) }
      const reply = await this.#pool.request({ method: 'POST', path, headers, body: JSON.stringify(order), ...limitInterim() })
      if (reply.statusCode >= 300) return err(backendError(refusalCodes[reply.statusCode] ?? 'refused', await readTextStart(reply.body, refusalBounds), bootOf(reply)))
      await readText(reply.body, replyBounds)
      return ok(reply)
    } catch (error) {
      return err(toBackendError(error))
    }
  }
}

async function * parseEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<EventSourceMessage> {
  const parsed: EventSourceMessage[] = []
  const parser = createParser({ onEvent: event => parsed.push(event) })
  const decoder = new TextDecoder()
  for await (const event of rawEvents(body)) {
    parser.feed(decoder.decode(event, { stream: true }))
    yield * parsed.splice(0)
  }
}

/** Splits a body after each empty line, since the parser would keep an event that has no end. */
async function * rawEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  let event = new GatheredBytes()
  let isLineEmpty = true
  let previous = 0
  for await (const chunk of body) {
    let start = 0
    for (const [index, byte] of chunk.entries()) {
      const endsLine = byte === lineFeed || byte === carriageReturn
      const isSecondOfPair = byte === lineFeed && previous === carriageReturn
      previous = byte
      // The parser takes a carriage return for the end of a line only once it has the next byte.
      const completesPair = isSecondOfPair && event.length === 0 && start === index
      if (completesPair || (endsLine && !isSecondOfPair && isLineEmpty)) {
        event.add(chunk.subarray(start, index + 1))
        yield event.bytes
        event = new GatheredBytes()
        start = index + 1
      }
      if (!isSecondOfPair) isLineEmpty = endsLine
    }
    event.add(chunk.subarray(start))
    if (event.length > maxEventBytes) throw new Error(`event of more than ${maxEventBytes} bytes`)
  }
}
