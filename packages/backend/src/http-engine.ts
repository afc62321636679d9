/**
 * An engine over the OpenAI-style HTTP shape that engines publish, with adapter orders beside it.
 *
 * Streams are server-sent events. The engine numbers them (`id`), so a stream whose connection is cut goes on from
 * the last whole event (`Last-Event-ID`) at the same engine run. It is whole only once `[DONE]` has come.
 */
import { AnswerFailure, unknown } from '@finchpitch/core'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { err, ok, type Result } from 'neverthrow'
import { Pool, type Dispatcher } from 'undici'
import * as z from 'zod'
import { CacheEvent } from './cache-event.js'
import type { Engine, EngineOrder, EngineReport, GeneratedAnswer, Generation } from './engine.js'
import { backendFault, faultOf, type BackendFault, type BackendFaultCode } from './fault.js'
import { endToEnd, wholeBody } from './service.js'

const connections = 256
const connectMs = 1000
const reportMs = 1000
const resumes = 3
const streamEnd = '[DONE]'

const Report = z.object({
  boot: z.string(),
  running: z.number(),
  waiting: z.number(),
  capacity: z.number().int().positive(),
  slots: z.number().int().positive(),
  loaded: z.array(z.string()),
  using: z.array(z.string())
})

/** Statuses by which an engine says that it has not run the request. */
const refusals: Record<number, BackendFaultCode> = { 404: 'not_loaded', 412: 'fenced', 429: 'busy', 503: 'busy' }

const bootOf = (reply: Dispatcher.ResponseData): string => String(reply.headers['x-engine-boot'] ?? '')

const isStream = (reply: Dispatcher.ResponseData): boolean =>
  String(reply.headers['content-type'] ?? '').startsWith('text/event-stream')

const bodyFor = ({ call, label, priority, salt }: Generation): string => {
  const body = JSON.parse(Buffer.from(call.body).toString()) as Record<string, unknown>
  return JSON.stringify({ ...body, model: label, priority, cache_salt: salt })
}

const formatEvent = ({ id, data }: EventSourceMessage): Uint8Array =>
  Buffer.from(`${id === undefined ? '' : `id: ${id}\n`}data: ${data}\n\n`)

export class HttpEngine implements Engine {
  readonly #pool: Pool

  constructor (origin: string) {
    this.#pool = new Pool(origin, { connections, connectTimeout: connectMs, headersTimeout: 0, bodyTimeout: 0 })
  }

  async report (): Promise<Result<EngineReport, BackendFault>> {
    try {
      const reply = await this.#pool.request({ method: 'GET', path: '/load', headersTimeout: reportMs, bodyTimeout: reportMs })
      const report = Report.safeParse(await reply.body.json())
      return report.success ? ok(report.data) : err(backendFault('refused', 'the load report is not valid'))
    } catch (error) {
      return err(faultOf(error))
    }
  }

  async load ({ label, fence, source }: EngineOrder & { source: string }): Promise<Result<string, BackendFault>> {
    const reply = await this.#order('/v1/load_lora_adapter', fence, { lora_name: label, lora_path: source })
    return reply.map(bootOf)
  }

  async unload ({ label, fence }: EngineOrder): Promise<Result<void, BackendFault>> {
    const reply = await this.#order('/v1/unload_lora_adapter', fence, { lora_name: label })
    return reply.map(() => undefined)
  }

  async cancel ({ id, fence }: { id: string, fence: number }): Promise<Result<void, BackendFault>> {
    const reply = await this.#order('/v1/cancel', fence, { request_id: id })
    return reply.map(() => undefined)
  }

  async * cacheEvents (signal: AbortSignal): AsyncGenerator<CacheEvent> {
    try {
      const reply = await this.#pool.request({ method: 'GET', path: '/cache_events', signal })
      if (reply.statusCode !== 200) {
        await reply.body.dump()
        return
      }
      for await (const { data } of events(reply.body)) {
        const event = CacheEvent.safeParse(JSON.parse(data))
        if (event.success) yield event.data
      }
    } catch {
      // The stream has ended; whoever reads it opens another, and the sequence shows what was missed.
    }
  }

  async generate (generation: Generation): Promise<Result<GeneratedAnswer, BackendFault>> {
    try {
      const reply = await this.#send(generation)
      const boot = bootOf(reply)
      const refusal = refusals[reply.statusCode]
      if (refusal !== undefined) return err(backendFault(refusal, await reply.body.text(), boot))
      const body = isStream(reply) ? this.#resumed(generation, reply, boot) : wholeBody(reply.body)
      return ok({ status: reply.statusCode, headers: endToEnd(reply.headers), boot, body })
    } catch (error) {
      return err(faultOf(error))
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }

  #send (generation: Generation, lastEvent?: string): Promise<Dispatcher.ResponseData> {
    const { call, id, fence, signal } = generation
    const headers = {
      'content-type': 'application/json',
      'x-request-id': id,
      'x-fence': String(fence),
      ...(lastEvent === undefined ? {} : { 'last-event-id': lastEvent })
    }
    return this.#pool.request({ method: 'POST', path: call.path, headers, body: bodyFor(generation), signal })
  }

  /** Whole events from the engine, over as many connections as it takes. */
  async * #resumed (generation: Generation, first: Dispatcher.ResponseData, boot: string): AsyncGenerator<Uint8Array> {
    let lastEvent: string | undefined
    let cause = 'the stream ended early'
    for (let tries = 0, reply: Dispatcher.ResponseData | undefined = first; reply !== undefined; tries++) {
      try {
        for await (const event of events(reply.body)) {
          if (event.id !== undefined) lastEvent = event.id
          yield formatEvent(event)
          if (event.data === streamEnd) return
        }
      } catch (error) {
        cause = (error as Error).message
      }
      reply = generation.signal.aborted || tries >= resumes ? undefined : await this.#resume(generation, lastEvent, boot)
    }
    throw new AnswerFailure(unknown('answer_cut', { detail: cause }))
  }

  async #resume (generation: Generation, lastEvent: string | undefined, boot: string): Promise<Dispatcher.ResponseData | undefined> {
    if (lastEvent === undefined) return undefined
    try {
      const reply = await this.#send(generation, lastEvent)
      if (reply.statusCode === 200 && isStream(reply) && bootOf(reply) === boot) return reply
      await reply.body.dump()
      return undefined
    } catch {
      return undefined
    }
  }

  async #order (path: string, fence: number, order: Record<string, string>): Promise<Result<Dispatcher.ResponseData, BackendFault>> {
    try {
      const headers = { 'content-type': 'application/json', 'x-fence': String(fence) }
      const reply = await this.#pool.request({ method: 'POST', path, headers, body: JSON.stringify(order) })
      const text = await reply.body.text()
      if (reply.statusCode < 300) return ok(reply)
      return err(backendFault(refusals[reply.statusCode] ?? 'refused', text, bootOf(reply)))
    } catch (error) {
      return err(faultOf(error))
    }
  }
}

async function * events (body: AsyncIterable<Uint8Array>): AsyncGenerator<EventSourceMessage> {
  const ready: EventSourceMessage[] = []
  const parser = createParser({ onEvent: event => ready.push(event) })
  const text = new TextDecoder()
  for await (const piece of body) {
    parser.feed(text.decode(piece, { stream: true }))
    yield * ready.splice(0)
  }
}
