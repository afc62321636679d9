/**
 * A stand-in for the store of the users' platform: objects by kind and name, one revision counter, paged lists and long-polled watches.
 * It can reject, reset or not answer its calls, be slow to list, compact its change history and be restored from a backup.
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

/** The contents of the store at a point in time. */
export interface StoreBackup {
  revision: number
  objects: Map<string, Map<string, FleetObject>>
  changes: Change[]
}

/** The last write to an object that was undone by a restore; `spec` is absent for a removal. */
export interface LostWrite {
  kind: string
  name: string
  spec?: unknown
  /** The object's revision in the backup; 0 if it is not in there. */
  backupRevision: number
}

const pageSize = 500
const eraHeader = 'store-era'

export class ObjectServer extends HttpStandIn {
  /** The response to every call: status 503 for `busy`, a closed connection for `reset`, none for `silent`. */
  fault: 'none' | 'busy' | 'reset' | 'silent' = 'none'
  /** Delay before the response to a list call. */
  listDelayMs = 0
  calls = 0
  /** The number of writes; a restore does not reset it. */
  writeCount = 0
  #era = 0
  #revision = 0
  #compactedRevision = 0
  #objects = new Map<string, Map<string, FleetObject>>()
  #changes: Change[] = []
  #wakeCallbacks = new Set<() => void>()

  get revision (): number {
    return this.#revision
  }

  put (kind: string, name: string, spec: unknown): void {
    const objects = this.#objects.get(kind) ?? new Map<string, FleetObject>()
    this.#objects.set(kind, objects)
    const before = objects.get(name)
    this.#revision += 1
    this.writeCount += 1
    const createRev = before?.metadata.createRev ?? this.#revision
    const object = { metadata: { name, revision: this.#revision, createRev, finalizers: [], deleting: false }, spec, status: null }
    objects.set(name, object)
    this.#recordChange({ kind, revision: this.#revision, deleted: false, object })
  }

  remove (kind: string, name: string): void {
    const object = this.#objects.get(kind)?.get(name)
    if (object === undefined) return
    this.#objects.get(kind)?.delete(name)
    this.#revision += 1
    this.writeCount += 1
    this.#recordChange({ kind, revision: this.#revision, deleted: true, object })
  }

  /** Discards the change history: watches from an earlier revision get status 410. */
  compact (): void {
    this.#changes = []
    this.#compactedRevision = this.#revision
    this.#wakeAll()
  }

  backup (): StoreBackup {
    const objects = new Map([...this.#objects].map(([kind, named]) => [kind, new Map(named)]))
    return { revision: this.#revision, objects, changes: [...this.#changes] }
  }

  /** Restores a backup: later writes are lost and their revisions are reused. Returns the lost writes. */
  restore ({ revision, objects, changes }: StoreBackup): LostWrite[] {
    const lost = lostWrites(objects, this.#objects)
    this.#era += 1
    this.#revision = revision
    this.#objects = new Map([...objects].map(([kind, named]) => [kind, new Map(named)]))
    this.#changes = [...changes]
    this.#wakeAll()
    return lost
  }

  /** Repeats lost writes, as the operator and the servers do, except to objects that have changed since the restore. */
  repeatWrites (lost: readonly LostWrite[]): void {
    for (const { kind, name, spec, backupRevision } of lost) {
      if ((this.#objects.get(kind)?.get(name)?.metadata.revision ?? 0) !== backupRevision) continue
      if (spec === undefined) this.remove(kind, name)
      else this.put(kind, name, spec)
    }
  }

  protected override async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls += 1
    if (this.fault === 'busy') return this.#send(response, 503, {})
    if (this.fault === 'reset') {
      response.destroy()
      return
    }
    if (this.fault === 'silent') return
    const url = new URL(request.url ?? '/', 'http://store')
    const kind = url.pathname.split('/').at(-1) ?? ''
    if (request.method !== 'GET') return this.#send(response, 405, {})
    const watch = url.searchParams.get('watch')
    if (watch === null) await pause(this.listDelayMs)
    if (watch === null) return this.#list(kind, url.searchParams.get('after') ?? '', response)
    await this.#watch(kind, Number(watch), Number(url.searchParams.get('waitMs')), response)
  }

  #list (kind: string, after: string, response: ServerResponse): void {
    const sorted = [...this.#objects.get(kind)?.values() ?? []].sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
    const rest = sorted.filter(object => object.metadata.name > after)
    this.#send(response, 200, { items: rest.slice(0, pageSize), hasMore: rest.length > pageSize, storeRevision: this.#revision })
  }

  async #watch (kind: string, since: number, waitMs: number, response: ServerResponse): Promise<void> {
    const deadline = Date.now() + waitMs
    for (;;) {
      if (since < this.#compactedRevision || since > this.#revision) return this.#send(response, 410, {})
      const events = this.#changes.filter(change => change.kind === kind && change.revision > since)
      if (events.length > 0 || Date.now() >= deadline || response.destroyed) {
        if (this.fault === 'silent') return
        const bodies = events.map(({ deleted, object }) => ({ deleted, object }))
        return this.#send(response, 200, { events: bodies, storeRevision: this.#revision })
      }
      const changed = new AbortController()
      const wake = (): void => changed.abort()
      this.#wakeCallbacks.add(wake)
      await pause(deadline - Date.now(), changed.signal)
      this.#wakeCallbacks.delete(wake)
    }
  }

  #send (response: ServerResponse, status: number, body: unknown): void {
    sendJson(response, status, body, { [eraHeader]: String(this.#era) })
  }

  #recordChange (change: Change): void {
    this.#changes.push(change)
    this.#wakeAll()
  }

  #wakeAll (): void {
    for (const wake of this.#wakeCallbacks) wake()
  }
}

/** Writes and removals in `now` that are missing from `before`. */
const lostWrites = (before: StoreBackup['objects'], now: StoreBackup['objects']): LostWrite[] => {
  const lost: LostWrite[] = []
  for (const [kind, named] of now) {
    for (const [name, { spec, metadata }] of named) {
      const backupRevision = before.get(kind)?.get(name)?.metadata.revision ?? 0
      if (backupRevision !== metadata.revision) lost.push({ kind, name, spec, backupRevision })
    }
  }
  for (const [kind, named] of before) {
    for (const [name, { metadata }] of named) if (now.get(kind)?.has(name) !== true) lost.push({ kind, name, backupRevision: metadata.revision })
  }
  return lost
}
