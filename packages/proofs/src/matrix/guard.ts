/**
 * A guard on everything that one process does outside itself, so that it can be paused, or killed, between any two
 * steps. A killed process's calls never come back.
 */
import type { BackendFault, CacheEvent, Engine, EngineOrder, EngineReport, GeneratedAnswer, Generation, PlainService, ServiceCall } from '@finchpitch/backend'
import type { Answer, AnswerBody } from '@finchpitch/core'
import type { Instance, InstanceList, ObjectStore, ResourceVersion, StoreFault, StoredObject, WatchEvent } from '@finchpitch/store'
import type { Result } from 'neverthrow'

/** Where a fault can strike. */
export type Step =
  | 'claim' | 'claimed' | 'shard' | 'head.write' | 'head.written'
  | 'load' | 'loaded' | 'unload' | 'execute' | 'executed'
  | 'frame.run' | 'frame.head' | 'frame.chunk' | 'frame.end'

/** `label` is the request's, where the step is one of a request's execution. */
export type Hit = (step: Step, process: string, label?: string) => void

export class Guard {
  #state: 'running' | 'paused' | 'killed' = 'running'
  readonly #waiting = new Set<() => void>()
  readonly #death = new AbortController()

  constructor (readonly process: string, private readonly hit: Hit) {}

  pause (): void {
    if (this.#state === 'running') this.#state = 'paused'
  }

  resume (): void {
    if (this.#state !== 'paused') return
    this.#state = 'running'
    for (const wake of this.#waiting) wake()
    this.#waiting.clear()
  }

  kill (): void {
    this.#state = 'killed'
    this.#death.abort()
  }

  /** Aborts with the process, as its connections end with it. */
  get death (): AbortSignal {
    return this.#death.signal
  }

  get killed (): boolean {
    return this.#state === 'killed'
  }

  /** Goes on once the process runs. */
  async pass (): Promise<void> {
    while (this.#state !== 'running') await new Promise<void>(resolve => this.#waiting.add(resolve))
  }

  /** One call, with the steps before and after it. */
  async call<T> (run: () => Promise<T>, before?: Step, after?: Step, label?: string): Promise<T> {
    await this.pass()
    if (before !== undefined) this.hit(before, this.process, label)
    await this.pass()
    const value = await run()
    if (after !== undefined) this.hit(after, this.process, label)
    await this.pass()
    return value
  }
}

const storeSteps = (name: string): [Step?, Step?] => {
  if (name.startsWith('claims/')) return ['claim', 'claimed']
  if (name.startsWith('config/shard/')) return ['shard']
  return name === 'config/head' ? ['head.write', 'head.written'] : []
}

export class GuardedStore implements ObjectStore {
  constructor (private readonly guard: Guard, private readonly store: ObjectStore) {}

  get (name: string): Promise<Result<StoredObject | undefined, StoreFault>> {
    return this.guard.call(() => this.store.get(name))
  }

  list (prefix: string): Promise<Result<string[], StoreFault>> {
    return this.guard.call(() => this.store.list(prefix))
  }

  put (name: string, value: unknown, version: ResourceVersion | 'absent'): Promise<Result<StoredObject, StoreFault>> {
    return this.guard.call(() => this.store.put(name, value, version), ...storeSteps(name))
  }

  remove (name: string, version: ResourceVersion): Promise<Result<void, StoreFault>> {
    return this.guard.call(() => this.store.remove(name, version))
  }

  async * watch (name: string, version: ResourceVersion, signal: AbortSignal): AsyncGenerator<WatchEvent> {
    for await (const event of this.store.watch(name, version, signal)) {
      await this.guard.pass()
      yield event
    }
  }
}

export class GuardedList implements InstanceList {
  constructor (private readonly guard: Guard, private readonly list: InstanceList) {}

  read (): Promise<Result<Instance[], StoreFault>> {
    return this.guard.call(() => this.list.read())
  }
}

async function * guardedBody (guard: Guard, body: AnswerBody): AsyncGenerator<Uint8Array> {
  for await (const chunk of body) {
    await guard.pass()
    yield chunk
  }
}

export class GuardedService implements PlainService {
  constructor (private readonly guard: Guard, private readonly service: PlainService) {}

  async call (call: ServiceCall): Promise<Result<Answer, BackendFault>> {
    const answer = await this.guard.call(() => this.service.call(call), 'execute', 'executed', Buffer.from(call.call.body).toString())
    return answer.map(value => ({ ...value, body: guardedBody(this.guard, value.body) }))
  }
}

export class GuardedEngine implements Engine {
  constructor (private readonly guard: Guard, private readonly engine: Engine) {}

  report (): Promise<Result<EngineReport, BackendFault>> {
    return this.guard.call(() => this.engine.report())
  }

  load (order: EngineOrder & { source: string }): Promise<Result<string, BackendFault>> {
    return this.guard.call(() => this.engine.load(order), 'load', 'loaded')
  }

  unload (order: EngineOrder): Promise<Result<void, BackendFault>> {
    return this.guard.call(() => this.engine.unload(order), 'unload')
  }

  cancel (order: { id: string, fence: number }): Promise<Result<void, BackendFault>> {
    return this.guard.call(() => this.engine.cancel(order))
  }

  cacheEvents (signal: AbortSignal): AsyncIterable<CacheEvent> {
    return this.engine.cacheEvents(signal)
  }

  async generate (generation: Generation): Promise<Result<GeneratedAnswer, BackendFault>> {
    const signal = AbortSignal.any([generation.signal, this.guard.death])
    const answer = await this.guard.call(() => this.engine.generate({ ...generation, signal }), 'execute', 'executed')
    return answer.map(value => ({ ...value, body: guardedBody(this.guard, value.body) }))
  }
}
