/**
 * Client of the platform's object API over HTTP and JSON. The API follows Kubernetes conventions:
 * `metadata.resourceVersion`, status 409 on a conflict, 410 for a watch from a version that is no longer kept, and
 * watches as newline-delimited JSON.
 */
import { GatheredBytes, readText } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { Pool, errors } from 'undici'
import * as z from 'zod'
import { storeError, type ObjectStore, type ResourceVersion, type StoreError, type StoredObject, type WatchEvent } from './object-store.js'
import { platformBodyBounds } from './platform-body.js'

const root = '/apis/finchpitch/v1/objects'
const maxConnections = 8
const lineFeed = 0x0a
const callTimeoutMs = 1000
/** A watch that has received nothing for this long is ended, since its connection may be dead. */
const watchIdleTimeoutMs = 30_000

const Item = z.object({
  metadata: z.object({ name: z.string(), resourceVersion: z.string() }),
  spec: z.unknown()
})
const NameList = z.object({ items: z.array(z.string()) })
const WatchLine = z.object({ type: z.enum(['MODIFIED', 'DELETED', 'ERROR']), object: z.unknown() })

const toObject = (body: unknown): StoredObject => {
  const item = Item.parse(body)
  return { name: item.metadata.name, version: item.metadata.resourceVersion, value: item.spec }
}

type Method = 'GET' | 'PUT' | 'DELETE'

interface Reply {
  method: Method
  status: number
  body: unknown
}

/** Error codes of failed connection attempts: nothing was sent, so the call had no effect. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

const errorCodesByStatus: Record<number, StoreError['code']> = { 409: 'conflict', 410: 'too_old', 429: 'unavailable', 503: 'unavailable' }

async function * linesOf (body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  let line = new GatheredBytes()
  for await (const chunk of body) {
    let start = 0
    for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, start)) {
      line.add(chunk.subarray(start, end))
      yield line.bytes.toString()
      line = new GatheredBytes()
      start = end + 1
    }
    line.add(chunk.subarray(start))
    if (line.length > platformBodyBounds.maxBytes) throw new Error(`a line of more than ${platformBodyBounds.maxBytes} bytes`)
  }
}

export class HttpStore implements ObjectStore {
  readonly #pool: Pool

  constructor (origin: string, private readonly token?: string) {
    this.#pool = new Pool(origin, { connections: maxConnections, headersTimeout: callTimeoutMs, bodyTimeout: watchIdleTimeoutMs, connectTimeout: callTimeoutMs })
  }

  async get (name: string): Promise<Result<StoredObject | undefined, StoreError>> {
    const reply = await this.#call('GET', `${root}/${name}`)
    if (reply.isErr()) return err(reply.error)
    if (reply.value.status === 404) return ok(undefined)
    return this.#resultOf(reply.value, toObject)
  }

  async list (prefix: string): Promise<Result<string[], StoreError>> {
    const reply = await this.#call('GET', `${root}?prefix=${encodeURIComponent(prefix)}`)
    return reply.andThen(value => this.#resultOf(value, body => NameList.parse(body).items))
  }

  async put (name: string, value: unknown, version: ResourceVersion | 'absent'): Promise<Result<StoredObject, StoreError>> {
    const metadata = version === 'absent' ? { name } : { name, resourceVersion: version }
    const reply = await this.#call('PUT', `${root}/${name}`, { metadata, spec: value })
    return reply.andThen(found => this.#resultOf(found, toObject))
  }

  async remove (name: string, version: ResourceVersion): Promise<Result<void, StoreError>> {
    const reply = await this.#call('DELETE', `${root}/${name}?resourceVersion=${version}`)
    if (reply.isErr()) return err(reply.error)
    if (reply.value.status === 404) return ok(undefined)
    return this.#resultOf(reply.value, () => undefined)
  }

  async * watch (name: string, version: ResourceVersion, signal: AbortSignal): AsyncGenerator<WatchEvent> {
    try {
      const path = `${root}/${name}?watch=true&resourceVersion=${version}`
      const { statusCode, body } = await this.#pool.request({ method: 'GET', path, headers: this.#headers(), signal })
      if (statusCode !== 200) {
        await body.dump()
        yield { type: 'ended', fault: storeError(errorCodesByStatus[statusCode] ?? 'refused', `status ${statusCode}`) }
        return
      }
      for await (const line of linesOf(body)) yield this.#event(line)
      yield { type: 'ended', fault: storeError('unavailable', 'the watch was closed') }
    } catch (error) {
      yield { type: 'ended', fault: storeError('unavailable', (error as Error).message) }
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }

  #event (line: string): WatchEvent {
    const { type, object } = WatchLine.parse(JSON.parse(line))
    if (type === 'ERROR') return { type: 'ended', fault: storeError('too_old') }
    const item = toObject(object)
    return type === 'DELETED' ? { type: 'deleted', name: item.name, version: item.version } : { type: 'changed', object: item }
  }

  #headers (): Record<string, string> {
    return this.token === undefined ? {} : { authorization: `Bearer ${this.token}` }
  }

  async #call (method: Method, path: string, body?: unknown): Promise<Result<Reply, StoreError>> {
    try {
      const headers = { ...this.#headers(), ...(body === undefined ? {} : { 'content-type': 'application/json' }) }
      const payload = body === undefined ? null : JSON.stringify(body)
      const reply = await this.#pool.request({ method, path, headers, body: payload, bodyTimeout: callTimeoutMs })
      const text = await readText(reply.body, platformBodyBounds)
      return ok({ method, status: reply.statusCode, body: text === '' ? undefined : JSON.parse(text) })
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? ''
      const hadNoEffect = method === 'GET' || connectErrorCodes.has(code) || error instanceof errors.ConnectTimeoutError
      return err(storeError(hadNoEffect ? 'unavailable' : 'ambiguous', (error as Error).message))
    }
  }

  #resultOf<T> (reply: Reply, read: (body: unknown) => T): Result<T, StoreError> {
    const { method, status, body } = reply
    if (status < 200 || status >= 300) return err(storeError(errorCodesByStatus[status] ?? 'refused', `status ${status}`))
    try {
      return ok(read(body))
    } catch (error) {
      // The store has broken off its answer, or another server answered.
      return err(storeError(method === 'GET' ? 'unavailable' : 'ambiguous', `status ${status} with an invalid body: ${(error as Error).message}`))
    }
  }
}
