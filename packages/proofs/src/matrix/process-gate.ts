/**
 * A gate in front of the calls that one simulated process makes to the store, the instance list and its backend server, and of
 * the watch events and body chunks that they return. The engine's cache events pass ungated.
 *
 * All processes of the matrix share one event loop, so none can be stopped by the operating system. The gate can pause or kill
 * a process between any two steps instead: a paused process's calls wait until it is resumed, a killed one's never return.
 */
import type { BackendError, CacheEvent, Engine, EngineOrder, EngineReport, EngineResponse, GenerationRequest, PlainService, ServiceCall } from '@finchpitch/backend'
import type { HttpResponse, ResponseBody } from '@finchpitch/core'
import type { Instance, InstanceList, ObjectStore, ResourceVersion, StoreError, StoredObject, WatchEvent } from '@finchpitch/store'
import type { Result } from 'neverthrow'

/** The points at which a fault can be injected. */
export type Step =
  | 'claim' | 'claimed' | 'shard' | 'head.write' | 'head.written'
  | 'load' | 'loaded' | 'unload' | 'execute' | 'executed'
  | 'frame.run' | 'frame.head' | 'frame.chunk' | 'frame.end'

/** Called at each step; `label` identifies the request at the steps of a service call. */
export type StepListener = (step: Step, process: string, label?: string) => void

export class ProcessGate {
  #state: 'running' | 'paused' | 'killed' = 'running'
  readonly #resumeCallbacks = new Set<() => void>()
  readonly #killed = new AbortController()

  constructor (readonly process: string, private readonly onStep: StepListener) {}

  pause (): void {
    if (this.#state === 'running') this.#state = 'paused'
  }

  resume (): void {
    if (this.#state !== 'paused') return
    this.#state = 'running'
    for (const wakeUp of this.#resumeCallbacks) wakeUp()
    this.#resumeCallbacks.clear()
  }

  kill (): void {
    this.#state = 'killed'
    this.#killed.abort()
  }

  /** Aborted when the process is killed, since its connections to a backend server close then. */
  get killSignal (): AbortSignal {
    return this.#killed.signal
  }

  get killed (): boolean {
    return this.#state === 'killed'
  }

  /** Resolves once the process is running; never for a killed one. */
  async waitUntilRunning (): Promise<void> {
    while (this.#state !== 'running') await new Promise<void>(resolve => this.#resumeCallbacks.add(resolve))
  }

  /** Makes one call, reports the steps before and after it, and waits while the process is not running. */
  async call<T> (run: () => Promise<T>, before?: Step, after?: Step, label?: string): Promise<T> {
    await this.waitUntilRunning()
    if (before !== undefined) this.onStep(before, this.process, label)
    await this.waitUntilRunning()
    const value = await run()
    if (after !== undefined) this.onStep(after, this.process, label)
    await this.waitUntilRunning()
    return value
  }
}

const stepsOfWrite = (name: string): [Step?, Step?] => {
  if (name.startsWith('claims/')) return ['claim', 'claimed']
  if (name.startsWith('config/shard/')) return ['shard']
  return name === 'config/head' ? ['head.write', 'head.written'] : []
}

export class GatedStore implements ObjectStore {
  constructor (private readonly gate: ProcessGate, private readonly store: ObjectStore) {}

  get (name: string): Promise<Result<StoredObject | undefined, StoreError>> {
    return this.gate.call(() => this.store.get(name))
  }

  list (prefix: string): Promise<Result<string[], StoreError>> {
    return this.gate.call(() => this.store.list(prefix))
  }

  put (name: string, value: unknown, version: ResourceVersion | 'absent'): Promise<Result<StoredObject, StoreError>> {
    return this.gate.call(() => this.store.put(name, value, version), ...stepsOfWrite(name))
  }

  remove (name: string, version: ResourceVersion): Promise<Result<void, StoreError>> {
    return this.gate.call(() => this.store.remove(name, version))
  }

  async * watch (name: string, version: ResourceVersion, signal: AbortSignal): AsyncGenerator<WatchEvent> {
    for await (const event of this.store.watch(name, version, signal)) {
      await this.gate.waitUntilRunning()
      yield event
    }
  }
}

export class GatedInstanceList implements InstanceList {
  constructor (private readonly gate: ProcessGate, private readonly list: InstanceList) {}

  read (): Promise<Result<Instance[], StoreError>> {
    return this.gate.call(() => this.list.read())
  }
}

async function * gatedBody (gate: ProcessGate, body: ResponseBody): AsyncGenerator<Uint8Array> {
  for await (const chunk of body) {
    await gate.waitUntilRunning()
    yield chunk
  }
}

export class GatedService implements PlainService {
  constructor (private readonly gate: ProcessGate, private readonly service: PlainService) {}

  async call (call: ServiceCall): Promise<Result<HttpResponse, BackendError>> {
    const response = await this.gate.call(() => this.service.call(call), 'execute', 'executed', Buffer.from(call.call.body).toString())
    return response.map(value => ({ ...value, body: gatedBody(this.gate, value.body) }))
  }
}

export class GatedEngine implements Engine {
  constructor (private readonly gate: ProcessGate, private readonly engine: Engine) {}

  report (): Promise<Result<EngineReport, BackendError>> {
    return this.gate.call(() => this.engine.report())
  }

  load (order: EngineOrder & { source: string }): Promise<Result<string, BackendError>> {
    return this.gate.call(() => this.engine.load(order), 'load', 'loaded')
  }

  unload (order: EngineOrder): Promise<Result<void, BackendError>> {
    return this.gate.call(() => this.engine.unload(order), 'unload')
  }

  cancel (order: { id: string, fence: number }): Promise<Result<void, BackendError>> {
    return this.gate.call(() => this.engine.cancel(order))
  }

  cacheEvents (signal: AbortSignal): AsyncIterable<CacheEvent> {
    return this.engine.cacheEvents(signal)
  }

  async generate (request: GenerationRequest): Promise<Result<EngineResponse, BackendError>> {
    const signal = AbortSignal.any([request.signal, this.gate.killSignal])
    const response = await this.gate.call(() => this.engine.generate({ ...request, signal }), 'execute', 'executed')
    return response.map(value => ({ ...value, body: gatedBody(this.gate, value.body) }))
  }
}
