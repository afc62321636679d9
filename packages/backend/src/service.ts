/**
 * Client through which a side process uses an HTTP service that is not a model engine.
 *
 * A response without a length or chunks ends with its connection, which the operating system closes in order also where the service is
 * killed. It is complete only if the service still accepts connections then.
 */
import { ResponseError, outcomeUnknown, refusesConnections, type HttpResponse, type HttpRequest, type Headers } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { Pool, type Dispatcher } from 'undici'
import { toBackendError, type BackendError } from './backend-error.js'

const maxConnections = 64
const connectTimeoutMs = 1000
const defaultPorts: Record<string, number> = { 'http:': 80, 'https:': 443 }

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

/** Passes a body through. If its connection is lost before its end, throws an error that says that it is truncated. */
export async function * reportTruncation (body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } catch (error) {
    throw new ResponseError(outcomeUnknown('answer_cut', { detail: (error as Error).message }))
  }
}

const bodylessStatuses = new Set([204, 304])

/** Whether the body of a response ends with its connection. */
const endsWithConnection = (method: string, { statusCode, headers }: Dispatcher.ResponseData): boolean =>
  method !== 'HEAD' && !bodylessStatuses.has(statusCode) && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined

/** Passes a body through that ends with its connection. Throws at its end if the service has ended too. */
async function * confirmEnd (body: AsyncIterable<Uint8Array>, address: string): AsyncGenerator<Uint8Array> {
  yield * body
  if (await refusesConnections(address)) throw new Error('the service ended with a response without a length')
}

export class HttpService implements PlainService {
  readonly #pool: Pool

  constructor (private readonly origin: string) {
    this.#pool = new Pool(origin, { connections: maxConnections, connectTimeout: connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0 })
  }

  async call ({ call, fence, signal }: ServiceCall): Promise<Result<HttpResponse, BackendError>> {
    try {
      const headers = { ...endToEndHeaders(call.headers), 'finchpitch-fence': String(fence) }
      const body = call.body.length === 0 ? null : call.body
      const reply = await this.#pool.request({ method: call.method as 'GET', path: call.path, headers, body, signal })
      const responseBody = endsWithConnection(call.method, reply) ? confirmEnd(reply.body, this.#address) : reply.body
      return ok({ status: reply.statusCode, headers: endToEndHeaders(reply.headers), body: reportTruncation(responseBody) })
    } catch (error) {
      return err(toBackendError(error))
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }

  /** `host:port`. */
  get #address (): string {
    const { hostname, port, protocol } = new URL(this.origin)
    return `${hostname}:${port === '' ? defaultPorts[protocol] ?? 80 : port}`
  }
}
