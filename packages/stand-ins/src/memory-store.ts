/**
 * An in-memory stand-in for the platform's object API. It can be unavailable or slow, lose the responses to writes, truncate its watch
 * history, and close, silence or duplicate its watches.
 *
 * It counts all calls and records all accepted writes, so that a test can detect reverted and duplicate writes without asking the
 * system under test.
 */
import { pause } from '@finchpitch/core'
import { storeError, type ObjectStore, type ResourceVersion, type StoreError, type StoredObject, type WatchEvent } from '@finchpitch/store'
import { err, ok, type Result } from 'neverthrow'

const maxRetainedEvents = 100

type Listener = (event: WatchEvent) => void

export class MemoryStore implements ObjectStore {
  /** Every call fails without effect. */
  down = false
  /** Delay added to every call except watches. */
  delayMs = 0
  /** Number of next calls of `put` that take effect, but whose responses are lost. */
  responsesToLose = 0
  /** Watches stay open but receive no events. */
  silentWatches = false
  /** Each event is delivered twice. */
  duplicateEvents = false
  calls = { reads: 0, writes: 0, watches: 0 }
  /** Names of the objects that were asked for. */
  readonly namesRead = new Set<string>()
  readonly writes: StoredObject[] = []
  readonly #objects = new Map<string, StoredObject>()
  readonly #events: WatchEvent[] = []
  readonly #listeners = new Map<string, Set<Listener>>()
  #version = 0

  async get (name: string): Promise<Result<StoredObject | undefined, StoreError>> {
    this.calls.reads += 1
    this.namesRead.add(name)
    const error = await this.#delayOrFail()
    return error === undefined ? ok(structuredClone(this.#objects.get(name))) : err(error)
  }

  async list (prefix: string): Promise<Result<string[], StoreError>> {
    this.calls.reads += 1
    const error = await this.#delayOrFail()
    return error === undefined ? ok([...this.#objects.keys()].filter(name => name.startsWith(prefix)).sort()) : err(error)
  }

  async put (name: string, value: unknown, version: ResourceVersion | 'absent'): Promise<Result<StoredObject, StoreError>> {
    this.calls.writes += 1
    const error = await this.#delayOrFail()
    if (error !== undefined) return err(error)
    const current = this.#objects.get(name)
    if ((current?.version ?? 'absent') !== version) return err(storeError('conflict'))
    const object = this.#write(name, value)
    if (!this.#losesResponse()) return ok(structuredClone(object))
    return err(storeError('ambiguous', 'the response to the write was lost'))
  }

  async remove (name: string, version: ResourceVersion): Promise<Result<void, StoreError>> {
    this.calls.writes += 1
    const error = await this.#delayOrFail()
    if (error !== undefined) return err(error)
    const current = this.#objects.get(name)
    if (current === undefined) return ok(undefined)
    if (current.version !== version) return err(storeError('conflict'))
    this.#objects.delete(name)
    this.#emit({ type: 'deleted', name, version: String(++this.#version) })
    return ok(undefined)
  }

  async * watch (name: string, version: ResourceVersion, signal: AbortSignal): AsyncGenerator<WatchEvent> {
    this.calls.watches += 1
    if (this.down) return yield { type: 'ended', fault: storeError('unavailable') }
    const oldest = this.#events[0]
    if (oldest !== undefined && Number(version) + 1 < versionOf(oldest) && this.#events.length >= maxRetainedEvents) {
      return yield { type: 'ended', fault: storeError('too_old') }
    }
    const pending = this.#events.filter(event => nameOf(event) === name && versionOf(event) > Number(version))
    let wake = (): void => {}
    const listener: Listener = event => {
      pending.push(event)
      wake()
    }
    const listeners = this.#listeners.get(name) ?? new Set()
    this.#listeners.set(name, listeners.add(listener))
    const stop = (): void => wake()
    signal.addEventListener('abort', stop)
    try {
      while (!signal.aborted) {
        const event = pending.shift()
        if (event !== undefined) yield event
        else await new Promise<void>(resolve => { wake = resolve })
      }
      yield { type: 'ended', fault: storeError('unavailable', 'the watch was closed') }
    } finally {
      listeners.delete(listener)
      signal.removeEventListener('abort', stop)
    }
  }

  /** Ends every watch, as a restart of the object API does. */
  closeWatches (): void {
    for (const listeners of this.#listeners.values()) {
      for (const listener of listeners) listener({ type: 'ended', fault: storeError('unavailable', 'the object API restarted') })
    }
  }

  async #delayOrFail (): Promise<StoreError | undefined> {
    if (this.delayMs > 0) await pause(this.delayMs)
    return this.down ? storeError('unavailable', 'the store is down') : undefined
  }

  #losesResponse (): boolean {
    if (this.responsesToLose === 0) return false
    this.responsesToLose -= 1
    return true
  }

  #write (name: string, value: unknown): StoredObject {
    const object = { name, version: String(++this.#version), value: structuredClone(value) }
    this.#objects.set(name, object)
    this.writes.push(object)
    this.#emit({ type: 'changed', object })
    return object
  }

  #emit (event: WatchEvent): void {
    this.#events.push(event)
    if (this.#events.length > maxRetainedEvents) this.#events.shift()
    if (this.silentWatches) return
    for (const listener of this.#listeners.get(nameOf(event)) ?? []) {
      listener(event)
      if (this.duplicateEvents) listener(event)
    }
  }
}

const nameOf = (event: WatchEvent): string =>
  event.type === 'changed' ? event.object.name : event.type === 'deleted' ? event.name : ''

const versionOf = (event: WatchEvent): number =>
  event.type === 'changed' ? Number(event.object.version) : event.type === 'deleted' ? Number(event.version) : 0
