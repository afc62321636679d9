/**
 * Client through which a side process uses an HTTP service that is not a model engine.
 */
import { AnswerFailure, unknown, type Answer, type Call, type Headers } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { Pool } from 'undici'
import { faultOf, type BackendFault } from './fault.js'

const maxConnections = 64
const connectTimeoutMs = 1000

export interface ServiceCall {
  call: Call
  fence: number
  signal: AbortSignal
}

/** An HTTP service that is not a model engine. Requests are forwarded to it unchanged, except for some headers. */
export interface PlainService {
  call: (call: ServiceCall) => Promise<Result<Answer, BackendFault>>
}

/** Headers that are never forwarded: hop-by-hop headers, headers that each hop sets itself, and credentials. */
const unforwardedHeaders = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'authorization'])

export const endToEnd = (headers: Record<string, string | string[] | undefined>): Headers =>
  Object.fromEntries(Object.entries(headers)
    .filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !unforwardedHeaders.has(entry[0].toLowerCase()))
    .map(([name, value]) => [name.toLowerCase(), Array.isArray(value) ? value.join(', ') : value]))

/** Passes a body through. If its connection is lost before its end, throws an error that says that it is truncated. */
export async function * wholeBody (body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } catch (error) {
    throw new AnswerFailure(unknown('answer_cut', { detail: (error as Error).message }))
  }
}

export class HttpService implements PlainService {
  readonly #pool: Pool

  constructor (origin: string) {
    this.#pool = new Pool(origin, { connections: maxConnections, connectTimeout: connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0 })
  }

  async call ({ call, fence, signal }: ServiceCall): Promise<Result<Answer, BackendFault>> {
    try {
      const headers = { ...endToEnd(call.headers), 'finchpitch-fence': String(fence) }
      const body = call.body.length === 0 ? null : call.body
      const reply = await this.#pool.request({ method: call.method as 'GET', path: call.path, headers, body, signal })
      return ok({ status: reply.statusCode, headers: endToEnd(reply.headers), body: wholeBody(reply.body) })
    } catch (error) {
      return err(faultOf(error))
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}
