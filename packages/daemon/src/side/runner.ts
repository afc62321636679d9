/**
 * Runners send requests to the backend server of a side process; there is one class for each kind of backend server.
 *
 * `start` fails with the outcome `not_run` only where it is proved that the backend server hasn't run the request, else `unknown`.
 */
import { adapterLabel, backoff, notRun, pause, outcomeUnknown, type AdapterTarget, type HttpResponse, type ResponseBody, type Failure, type Log, type ModelName, type Random, type Work } from '@finchpitch/core'
import { PrefixCacheMirror, type BackendError, type Engine, type EngineReport, type PlainService } from '@finchpitch/backend'
import { type Catalog } from '@finchpitch/store'
import { err, ok, type Result } from 'neverthrow'
import { AdmissionQueue, defaultMaxQueued, type Release } from './admission-queue.js'
import { AdapterSlots, pollBootId, type Pin } from './adapter-slots.js'

export interface Runner {
  readonly queue: AdmissionQueue
  /** The failure of a request that has to be refused now, if any; checked before anything is recorded or sent. */
  refusalOf: (work: Work) => Failure | undefined
  start: (work: Work, signal: AbortSignal) => Promise<Result<HttpResponse, Failure>>
  /** Whether the request could start without loading an adapter first. */
  resident: (work: Work) => boolean
  /** Runs the background tasks until `signal` aborts. */
  watch: (signal: AbortSignal) => Promise<void>
}

/** Calls `done` once: with `true` when the body was read to its end, with `false` when it failed or was abandoned. */
async function * withCompletion (body: ResponseBody, done: (complete: boolean) => void): AsyncGenerator<Uint8Array> {
  let complete = false
  try {
    yield * body
    complete = true
  } finally {
    done(complete)
  }
}

/** The failure reported to the caller for each error. One that doesn't prove that the request hasn't run gives `unknown`. */
const failuresByErrorCode: Record<BackendError['code'], (detail: string) => Failure> = {
  unreachable: detail => notRun('backend_unreachable', { detail, retryAfterMs: 1000 }),
  lost: detail => outcomeUnknown('connection_lost', { detail }),
  not_loaded: detail => notRun('engine_restarted', { detail }),
  fenced: detail => notRun('backend_refused', { detail }),
  busy: detail => notRun('overloaded', { detail, retryAfterMs: 1000 }),
  refused: detail => notRun('backend_refused', { detail })
}

const failureOf = ({ code, detail }: BackendError): Failure => failuresByErrorCode[code](detail)

export interface ServiceRunnerOptions {
  service: PlainService
  fence: number
  capacity: number
  catalog: Catalog
}

export class ServiceRunner implements Runner {
  readonly queue: AdmissionQueue

  constructor (private readonly options: ServiceRunnerOptions) {
    const weightOf = (team: string): number => options.catalog.team(team)?.weight ?? 1
    this.queue = new AdmissionQueue({ capacity: options.capacity, maxQueued: defaultMaxQueued, weightOf })
  }

  refusalOf (work: Work): Failure | undefined {
    return this.queue.overloadFailure(work)
  }

  resident (): boolean {
    return true
  }

  async start (work: Work, signal: AbortSignal): Promise<Result<HttpResponse, Failure>> {
    const release = await this.queue.admit(work, Date.now() + work.patienceMs, signal)
    if (release.isErr()) return err(release.error)
    const response = await this.options.service.call({ call: work.call, fence: this.options.fence, signal })
    if (response.isErr()) {
      release.value()
      return err(failureOf(response.error))
    }
    return ok({ ...response.value, body: withCompletion(response.value.body, release.value) })
  }

  watch (): Promise<void> {
    return Promise.resolve()
  }
}

export interface EngineRunnerOptions {
  model: ModelName
  engine: Engine
  fence: number
  report: EngineReport
  catalog: Catalog
  log: Log
  random: Random
}

const bootPollMs = 1000
const maxPrefixBlocks = 100_000
const enginePriorities = { desk: 0, caller: 1, batch: 10 } as const

const adapterTargetOf = (work: Work): AdapterTarget => {
  if (work.target.kind !== 'adapter') throw new Error('engines serve adapters, not plain services')
  return work.target
}

export class EngineRunner implements Runner {
  readonly queue: AdmissionQueue
  readonly slots: AdapterSlots
  readonly prefixes = new PrefixCacheMirror(maxPrefixBlocks)
  #boot: string

  constructor (private readonly options: EngineRunnerOptions) {
    const { report, catalog, engine, fence, log, random } = options
    const weightOf = (team: string): number => catalog.team(team)?.weight ?? 1
    this.queue = new AdmissionQueue({ capacity: report.capacity, maxQueued: defaultMaxQueued, weightOf })
    this.slots = new AdapterSlots({ engine, fence, slots: report.slots, leftovers: report.loaded, log, random })
    this.#boot = report.boot
  }

  refusalOf (work: Work): Failure | undefined {
    return this.queue.overloadFailure(work)
  }

  resident (work: Work): boolean {
    return this.slots.isLoaded(this.#labelOf(adapterTargetOf(work)))
  }

  async start (work: Work, signal: AbortSignal): Promise<Result<HttpResponse, Failure>> {
    const target = adapterTargetOf(work)
    const deadline = Date.now() + work.patienceMs
    const label = this.#labelOf(target)
    const pin = await this.slots.pin({ label, source: target.source, class: work.class, deadline }, signal)
    if (pin.isErr()) return err(pin.error)
    const release = await this.queue.admit(work, deadline, signal)
    if (release.isErr()) {
      pin.value.release()
      return err(release.error)
    }
    return this.#generate(work, pin.value, release.value, signal)
  }

  async watch (signal: AbortSignal): Promise<void> {
    const { engine, catalog, model } = this.options
    const mayClear = (): boolean => catalog.model(model)?.checksFences === true
    await Promise.all([
      pollBootId(engine, bootPollMs, signal, boot => this.#updateBoot(boot)),
      this.slots.clearLeftovers(mayClear, signal),
      this.#followCacheEvents(signal)
    ])
  }

  async #followCacheEvents (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for await (const event of this.options.engine.cacheEvents(signal)) this.prefixes.apply(event)
      await pause(bootPollMs, signal)
    }
  }

  /** The label under which the engine loads the adapter. The fencing token in it tells the slots of different incarnations apart. */
  #labelOf (target: AdapterTarget): string {
    return `${adapterLabel(target)}#${this.options.fence}`
  }

  async #generate (work: Work, pin: Pin, release: Release, signal: AbortSignal): Promise<Result<HttpResponse, Failure>> {
    const done = (ended: boolean): void => {
      release()
      if (ended) pin.release()
      else void this.#cancelThenRelease(work, pin)
    }
    const { engine, fence } = this.options
    const request = { id: work.id, label: pin.label, call: work.call, priority: enginePriorities[work.class], salt: work.team, fence, signal }
    const response = await engine.generate(request)
    if (response.isErr()) {
      done(response.error.code !== 'lost')
      if (response.error.boot !== undefined) this.#updateBoot(response.error.boot)
      return err(failureOf(response.error))
    }
    if (response.value.boot !== pin.boot) {
      done(true)
      this.#updateBoot(response.value.boot)
      // The restarted engine may have run the request on something other than the adapter, so its response is discarded.
      void response.value.body[Symbol.asyncIterator]().return?.()
      return err(outcomeUnknown('engine_restarted'))
    }
    return ok({ status: response.value.status, headers: response.value.headers, body: withCompletion(response.value.body, done) })
  }

  /**
   * Without the end of the response, the engine may still be running the request: the slot stays pinned until the engine confirms
   * the cancellation or has restarted.
   */
  async #cancelThenRelease ({ id }: Work, pin: Pin): Promise<void> {
    const { engine, fence, random } = this.options
    for (let failures = 1; pin.boot === this.#boot; failures++) {
      const cancelled = await engine.cancel({ id, fence })
      if (cancelled.isOk() || cancelled.error.code === 'fenced') break
      await pause(backoff(failures, random))
    }
    pin.release()
  }

  #updateBoot (boot: string): void {
    if (boot === this.#boot || boot === '') return
    this.#boot = boot
    this.slots.handleRestart(boot)
  }
}
