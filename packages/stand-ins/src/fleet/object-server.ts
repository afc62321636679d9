/**
 * A stand-in for the users' platform's store: objects by kind and name, one revision counter, lists and long-polled
 * watches. It can be down, turn callers away, cut its watches and forget its history.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pause } from '@finchpitch/core'
import { HttpStandIn, sendJson } from '../http-stand-in.js'

export interface FleetObject {
  metadata: { name: string, revision: number, createRev: number, finalizers: string[], deleting: boolean }
  spec: unknown
  status: unknown
}

interface Change {
  kind: string
  revision: number
  deleted: boolean
  object: FleetObject
}

const pageSize = 500

export class ObjectServer extends HttpStandIn {
  /** Every call is answered so: 503, a reset, or not at all. */
  fault: 'none' | 'busy' | 'reset' | 'silent' = 'none'
  /** How long a list takes. */
  listMs = 0
  calls = 0
  #revision = 0
  #oldest = 0
  #objects = new Map<string, Map<string, FleetObject>>()
  #changes: Change[] = []
  #wake = new Set<() => void>()

  get revision (): number {
    return this.#revision
  }

  put (kind: string, name: string, spec: unknown): void {
    const objects = this.#objects.get(kind) ?? new Map<string, FleetObject>()
    this.#objects.set(kind, objects)
    const before = objects.get(name)
    this.#revision += 1
    const createRev = before?.metadata.createRev ?? this.#revision
    const object = { metadata: { name, revision: this.#revision, createRev, finalizers: [], deleting: false }, spec, status: null }
    objects.set(name, object)
    this.#changed({ kind, revision: this.#revision, deleted: false, object })
  }

  remove (kind: string, name: string): void {
    const object = this.#objects.get(kind)?.get(name)
    if (object === undefined) return
    this.#objects.get(kind)?.delete(name)
    this.#revision += 1
    this.#changed({ kind, revision: this.#revision, deleted: true, object })
  }

  /** Forgets the history: watches from before get 410. */
  compact (): void {
    this.#changes = []
    this.#oldest = this.#revision
    this.#wakeAll()
  }

  protected override async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls += 1
    if (this.fault === 'busy') return sendJson(response, 503, {})
    if (this.fault === 'reset') {
      response.destroy()
      return
    }
    if (this.fault === 'silent') return
    const url = new URL(request.url ?? '/', 'http://store')
    const kind = url.pathname.split('/').at(-1) ?? ''
    if (request.method !== 'GET') return sendJson(response, 405, {})
    const watch = url.searchParams.get('watch')
    if (watch === null) await pause(this.listMs)
    if (watch === null) return this.#list(kind, url.searchParams.get('after') ?? '', response)
    await this.#watch(kind, Number(watch), Number(url.searchParams.get('waitMs')), response)
  }

  #list (kind: string, after: string, response: ServerResponse): void {
    const sorted = [...this.#objects.get(kind)?.values() ?? []].sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
    const rest = sorted.filter(object => object.metadata.name > after)
    sendJson(response, 200, { items: rest.slice(0, pageSize), hasMore: rest.length > pageSize, storeRevision: this.#revision })
  }

  async #watch (kind: string, since: number, waitMs: number, response: ServerResponse): Promise<void> {
    const until = Date.now() + waitMs
    for (;;) {
      if (since < this.#oldest) return sendJson(response, 410, {})
      const events = this.#changes.filter(change => change.kind === kind && change.revision > since)
      if (events.length > 0 || Date.now() >= until || response.destroyed) {
        if (this.fault === 'silent') return
        const bodies = events.map(({ deleted, object }) => ({ deleted, object }))
        return sendJson(response, 200, { events: bodies, storeRevision: this.#revision })
      }
      const woken = new AbortController()
      const wake = (): void => woken.abort()
      this.#wake.add(wake)
      await pause(until - Date.now(), woken.signal)
      this.#wake.delete(wake)
    }
  }

  #changed (change: Change): void {
    this.#changes.push(change)
    this.#wakeAll()
  }

  #wakeAll (): void {
    for (const wake of this.#wake) wake()
  }
}
