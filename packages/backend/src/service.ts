/**
 * A plain service, as the side process beside it uses it.
 */
import { AnswerFailure, unknown, type Answer, type Call, type Headers } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { Pool } from 'undici'
import { faultOf, type BackendFault } from './fault.js'

const connections = 64
const connectMs = 1000

export interface ServiceCall {
  call: Call
  fence: number
  signal: AbortSignal
}

export interface PlainService {
  call: (call: ServiceCall) => Promise<Result<Answer, BackendFault>>
}

/** Headers that belong to one connection and never travel on. */
const hopHeaders = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'authorization'])

export const endToEnd = (headers: Record<string, string | string[] | undefined>): Headers =>
  Object.fromEntries(Object.entries(headers)
    .filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !hopHeaders.has(entry[0].toLowerCase()))
    .map(([name, value]) => [name.toLowerCase(), Array.isArray(value) ? value.join(', ') : value]))

/** A body that ends in a failure of its own when the connection is cut before its end. */
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
    this.#pool = new Pool(origin, { connections, connectTimeout: connectMs, headersTimeout: 0, bodyTimeout: 0 })
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
