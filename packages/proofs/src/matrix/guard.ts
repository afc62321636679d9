/**
 * A gate in front of the calls that one simulated process makes to the store, the instance list and its backend server, and of
 * the watch events and body chunks that they return. The engine's cache events pass ungated.
 *
 * All processes of the matrix share one event loop, so none can be stopped by the operating system. The gate can pause or kill
 * a process between any two steps instead: a paused process's calls wait until it is resumed, a killed one's never return.
 */
import type { BackendFault, CacheEvent, Engine, EngineOrder, EngineReport, GeneratedAnswer, Generation, PlainService, ServiceCall } from '@finchpitch/backend'
import type { Answer, AnswerBody } from '@finchpitch/core'
import type { Instance, InstanceList, ObjectStore, ResourceVersion, StoreFault, StoredObject, WatchEvent } from '@finchpitch/store'
import type { Result } from 'neverthrow'

/** The points at which a fault can be injected. */
export type Step =
  | 'claim' | 'claimed' | 'shard' | 'head.write' | 'head.written'
  | 'load' | 'loaded' | 'unload' | 'execute' | 'executed'
  | 'frame.run' | 'frame.head' | 'frame.chunk' | 'frame.end'

/** Called at each step; `label` identifies the request at the steps of a service call. */
export type Hit = (step: Step, process: string, label?: string) => void

export class Guard {
  #state: 'running' | 'paused' | 'killed' = 'running'
  readonly #resumeCallbacks = new Set<() => void>()
  readonly #killed = new AbortController()

  constructor (readonly process: string, private readonly onStep: Hit) {}

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
  get death (): AbortSignal {
    return this.#killed.signal
  }

  get killed (): boolean {
    return this.#state === 'killed'
  }

  /** Resolves once the process is running; never for a killed one. */
  async pass (): Promise<void> {
    while (this.#state !== 'running') await new Promise<void>(resolve => this.#resumeCallbacks.add(resolve))
  }

  /** Makes one call, reports the steps before and after it, and waits while the process is not running. */
  async call<T> (run: () => Promise<T>, before?: Step, after?: Step, label?: string): Promise<T> {
    await this.pass()
    if (before !== undefined) this.onStep(before, this.process, label)
    await this.pass()
    const value = await run()
    if (after !== undefined) this.onStep(after, this.process, label)
    await this.pass()
    return value
  }
}

const stepsOfWrite = (name: string): [Step?, Step?] => {
  if (name.startsWith('claims/')) return ['claim', 'claimed']
  if (name.startsWith('config/shard/')) return ['shard']
  return name === 'config/head' ? ['head.write', 'head.written'] : []
}

export class GuardedStore implements ObjectStore {
  constructor (private readonly gate: Guard, private readonly store: ObjectStore) {}

  get (name: string): Promise<Result<StoredObject | undefined, StoreFault>> {
    return this.gate.call(() => this.store.get(name))
  }

  list (prefix: string): Promise<Result<string[], StoreFault>> {
    return this.gate.call(() => this.store.list(prefix))
  }

  put (name: string, value: unknown, version: ResourceVersion | 'absent'): Promise<Result<StoredObject, StoreFault>> {
    return this.gate.call(() => this.store.put(name, value, version), ...stepsOfWrite(name))
  }

  remove (name: string, version: ResourceVersion): Promise<Result<void, StoreFault>> {
    return this.gate.call(() => this.store.remove(name, version))
  }

  async * watch (name: string, version: ResourceVersion, signal: AbortSignal): AsyncGenerator<WatchEvent> {
    for await (const event of this.store.watch(name, version, signal)) {
      await this.gate.pass()
      yield event
    }
  }
}

export class GuardedList implements InstanceList {
  constructor (private readonly gate: Guard, private readonly list: InstanceList) {}

  read (): Promise<Result<Instance[], StoreFault>> {
    return this.gate.call(() => this.list.read())
  }
}

async function * gatedBody (gate: Guard, body: AnswerBody): AsyncGenerator<Uint8Array> {
  for await (const chunk of body) {
    await gate.pass()
    yield chunk
  }
}

export class GuardedService implements PlainService {
  constructor (private readonly gate: Guard, private readonly service: PlainService) {}

  async call (call: ServiceCall): Promise<Result<Answer, BackendFault>> {
    const answer = await this.gate.call(() => this.service.call(call), 'execute', 'executed', Buffer.from(call.call.body).toString())
    return answer.map(value => ({ ...value, body: gatedBody(this.gate, value.body) }))
  }
}

export class GuardedEngine implements Engine {
  constructor (private readonly gate: Guard, private readonly engine: Engine) {}

  report (): Promise<Result<EngineReport, BackendFault>> {
    return this.gate.call(() => this.engine.report())
  }

  load (order: EngineOrder & { source: string }): Promise<Result<string, BackendFault>> {
    return this.gate.call(() => this.engine.load(order), 'load', 'loaded')
  }

  unload (order: EngineOrder): Promise<Result<void, BackendFault>> {
    return this.gate.call(() => this.engine.unload(order), 'unload')
  }

  cancel (order: { id: string, fence: number }): Promise<Result<void, BackendFault>> {
    return this.gate.call(() => this.engine.cancel(order))
  }

  cacheEvents (signal: AbortSignal): AsyncIterable<CacheEvent> {
    return this.engine.cacheEvents(signal)
  }

  async generate (generation: Generation): Promise<Result<GeneratedAnswer, BackendFault>> {
    const signal = AbortSignal.any([generation.signal, this.gate.death])
    const answer = await this.gate.call(() => this.engine.generate({ ...generation, signal }), 'execute', 'executed')
    return answer.map(value => ({ ...value, body: gatedBody(this.gate, value.body) }))
  }
}
