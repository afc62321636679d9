/**
 * HTTP server for the platform's object API with watches, backed by a `MemoryStore`, and for the instance list.
 */
import { createHash } from 'node:crypto'
import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Instance, StoredObject, WatchEvent } from '@finchpitch/store'
import type { Result } from 'neverthrow'
import { MemoryStore } from './memory-store.js'
import { HttpStandIn, readJson, sendJson } from './http-stand-in.js'

const objectsPath = '/apis/finchpitch/v1/objects'

const toItem = ({ name, version, value }: StoredObject): unknown => ({ metadata: { name, resourceVersion: version }, spec: value })

const statusByErrorCode = { unavailable: 503, ambiguous: 504, conflict: 409, too_old: 410, refused: 400 } as const

const toLine = (event: WatchEvent): unknown => {
  if (event.type === 'changed') return { type: 'MODIFIED', object: toItem(event.object) }
  if (event.type === 'deleted') return { type: 'DELETED', object: toItem({ name: event.name, version: event.version, value: null }) }
  return { type: 'ERROR', object: { code: statusByErrorCode[event.fault.code] } }
}

const sendResult = (response: ServerResponse, result: Result<StoredObject | undefined | void, { code: keyof typeof statusByErrorCode }>): void => {
  if (result.isErr() && result.error.code === 'ambiguous') response.destroy()
  else if (result.isErr()) sendJson(response, statusByErrorCode[result.error.code], {})
  else if (result.value === undefined) sendJson(response, 404, {})
  else sendJson(response, 200, toItem(result.value))
}

export class PlatformServer extends HttpStandIn {
  readonly store = new MemoryStore()
  instances: Instance[] = []
  /** Number of requests for the instance list. */
  listRequests = 0
  /** Requests for the instance list get status 503. */
  listUnavailable = false
  /** Requests for the instance list are answered once this resolves. */
  listHeld: Promise<void> | undefined
  /** Emits `list` with each request for the instance list. */
  readonly events = new EventEmitter()

  protected override async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform')
    if (url.pathname === '/instances') return await this.#listInstances(request, response)
    const name = decodeURIComponent(url.pathname.slice(objectsPath.length + 1))
    if (request.method === 'PUT') return await this.#put(name, request, response)
    if (request.method === 'DELETE') return sendResult(response, await this.store.remove(name, url.searchParams.get('resourceVersion') ?? ''))
    if (url.searchParams.has('watch')) return await this.#watch(name, url.searchParams.get('resourceVersion') ?? '0', response)
    if (name !== '') return sendResult(response, await this.store.get(name))
    const names = await this.store.list(url.searchParams.get('prefix') ?? '')
    sendJson(response, names.isOk() ? 200 : 503, { items: names.unwrapOr([]) })
  }

  async #listInstances (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.listRequests += 1
    this.events.emit('list')
    await this.listHeld
    if (this.listUnavailable) return sendJson(response, 503, {})
    const body = { items: this.instances }
    const tag = `"${createHash('sha256').update(JSON.stringify(body)).digest('base64url')}"`
    if (request.headers['if-none-match'] === tag) return sendJson(response, 304, undefined)
    sendJson(response, 200, body, { etag: tag })
  }

  async #put (name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request) as { metadata: { resourceVersion?: string }, spec: unknown }
    sendResult(response, await this.store.put(name, body.spec, body.metadata.resourceVersion ?? 'absent'))
  }

  async #watch (name: string, version: string, response: ServerResponse): Promise<void> {
    const disconnected = new AbortController()
    response.once('close', () => disconnected.abort())
    response.writeHead(200, { 'content-type': 'application/json' })
    response.flushHeaders()
    for await (const event of this.store.watch(name, version, disconnected.signal)) {
      response.write(`${JSON.stringify(toLine(event))}\n`)
      if (event.type === 'ended') break
    }
    response.end()
  }
}
