/**
 * Client through which a side process uses an HTTP service that is not a model engine.
 */
import type { HttpResponse, HttpRequest, Headers } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { Pool } from 'undici'
import { createConnector } from './connector.js'
import { limitInterim } from './interim-responses.js'
import { completeBody, listensAt, requireFinalStatus } from './response-body.js'
import { toBackendError, type BackendError } from './backend-error.js'

const maxConnections = 64
const connectTimeoutMs = 1000

export interface ServiceCall {
  call: HttpRequest
  fence: number
  signal: AbortSignal
}

/** An HTTP service that is not a model engine. Requests are forwarded to it unchanged, except for some headers. */
export interface PlainService {
  call: (call: ServiceCall) => Promise<Result<HttpResponse, BackendError>>
}

/** Headers that are never forwarded: hop-by-hop headers, headers that each hop sets itself, and credentials. */
const unforwardedHeaders = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'authorization'])

export const endToEndHeaders = (headers: Record<string, string | string[] | undefined>): Headers =>
  Object.fromEntries(Object.entries(headers)
    .filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !unforwardedHeaders.has(entry[0].toLowerCase()))
    .map(([name, value]) => [name.toLowerCase(), Array.isArray(value) ? value.join(', ') : value]))

export class HttpService implements PlainService {
  readonly #pool: Pool

  constructor (private readonly origin: string) {
    this.#pool = new Pool(origin, { connections: maxConnections, connect: createConnector(connectTimeoutMs), headersTimeout: 0, bodyTimeout: 0 })
  }

  async call ({ call, fence, signal }: ServiceCall): Promise<Result<HttpResponse, BackendError>> {
    try {
      const headers = { ...endToEndHeaders(call.headers), 'finchpitch-fence': String(fence) }
      const body = call.body.length === 0 ? null : call.body
      const reply = await this.#pool.request({ method: call.method as 'GET', path: call.path, headers, body, signal, ...limitInterim() })
      requireFinalStatus(reply)
      return ok({ status: reply.statusCode, headers: endToEndHeaders(reply.headers), body: completeBody(reply, call.method, listensAt(this.origin)) })
    } catch (error) {
      return err(toBackendError(error))
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}
