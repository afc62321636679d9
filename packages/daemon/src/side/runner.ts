/**
 * Runners: how work is run at what this side process serves; one handler for each kind of backend server.
 *
 * `start` gives an `Err` with `not_run` only while nothing has been sent, and `unknown` from then on.
 */
import { adapterLabel, backoff, notRun, pause, unknown, type AdapterTarget, type Answer, type AnswerBody, type Failure, type Log, type ModelName, type Random, type Work } from '@finchpitch/core'
import { PrefixCache, type BackendFault, type Engine, type EngineReport, type PlainService } from '@finchpitch/backend'
import { type Catalog } from '@finchpitch/store'
import { err, ok, type Result } from 'neverthrow'
import { Gate, defaultMaxWaiting, type Release } from './gate.js'
import { Slots, watchBoot, type Pin } from './slots.js'

export interface Runner {
  readonly gate: Gate
  /** Why work can't be taken now; asked before anything is recorded or sent. */
  refusal: (work: Work) => Failure | undefined
  start: (work: Work, signal: AbortSignal) => Promise<Result<Answer, Failure>>
  /** Whether the work's target could start without a load. */
  resident: (work: Work) => boolean
  /** Runs until `signal` aborts. */
  watch: (signal: AbortSignal) => Promise<void>
}

/** Calls `done` once: with `true` when the body was read to its end, `false` when it failed or was given up. */
async function * releasing (body: AnswerBody, done: (whole: boolean) => void): AsyncGenerator<Uint8Array> {
  let whole = false
  try {
    yield * body
    whole = true
  } finally {
    done(whole)
  }
}

/** What a fault proves, in the caller's terms. */
const faultFailures: Record<BackendFault['code'], (detail: string) => Failure> = {
  unreachable: detail => notRun('backend_unreachable', { detail, retryAfterMs: 1000 }),
  lost: detail => unknown('connection_lost', { detail }),
  not_loaded: detail => notRun('engine_restarted', { detail }),
  fenced: detail => notRun('backend_refused', { detail }),
  busy: detail => notRun('overloaded', { detail, retryAfterMs: 1000 }),
  refused: detail => notRun('backend_refused', { detail })
}

const failureOf = ({ code, detail }: BackendFault): Failure => faultFailures[code](detail)

export interface ServiceRunnerOptions {
  service: PlainService
  fence: number
  capacity: number
  catalog: Catalog
}

export class ServiceRunner implements Runner {
  readonly gate: Gate

  constructor (private readonly options: ServiceRunnerOptions) {
    const weightOf = (team: string): number => options.catalog.team(team)?.weight ?? 1
    this.gate = new Gate({ capacity: options.capacity, maxWaiting: defaultMaxWaiting, weightOf })
  }

  refusal (work: Work): Failure | undefined {
    return this.gate.refusal(work)
  }

  resident (): boolean {
    return true
  }

  async start (work: Work, signal: AbortSignal): Promise<Result<Answer, Failure>> {
    const release = await this.gate.enter(work, Date.now() + work.patienceMs, signal)
    if (release.isErr()) return err(release.error)
    const answer = await this.options.service.call({ call: work.call, fence: this.options.fence, signal })
    if (answer.isErr()) {
      release.value()
      return err(failureOf(answer.error))
    }
    return ok({ ...answer.value, body: releasing(answer.value.body, release.value) })
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

const bootCheckMs = 1000
const maxPrefixBlocks = 100_000
const priorities = { desk: 0, caller: 1, batch: 10 } as const

const targetOf = (work: Work): AdapterTarget => {
  if (work.target.kind !== 'adapter') throw new Error('an engine runs adapters only')
  return work.target
}

export class EngineRunner implements Runner {
  readonly gate: Gate
  readonly slots: Slots
  readonly prefixes = new PrefixCache(maxPrefixBlocks)
  #boot: string

  constructor (private readonly options: EngineRunnerOptions) {
    const { report, catalog, engine, fence, log, random } = options
    const weightOf = (team: string): number => catalog.team(team)?.weight ?? 1
    this.gate = new Gate({ capacity: report.capacity, maxWaiting: defaultMaxWaiting, weightOf })
    this.slots = new Slots({ engine, fence, slots: report.slots, leftovers: report.loaded, log, random })
    this.#boot = report.boot
  }

  refusal (work: Work): Failure | undefined {
    return this.gate.refusal(work)
  }

  resident (work: Work): boolean {
    return this.slots.holds(this.#label(targetOf(work)))
  }

  async start (work: Work, signal: AbortSignal): Promise<Result<Answer, Failure>> {
    const target = targetOf(work)
    const deadline = Date.now() + work.patienceMs
    const label = this.#label(target)
    const pin = await this.slots.pin({ label, source: target.source, class: work.class, deadline }, signal)
    if (pin.isErr()) return err(pin.error)
    const release = await this.gate.enter(work, deadline, signal)
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
      watchBoot(engine, bootCheckMs, signal, boot => this.#see(boot)),
      this.slots.clearLeftovers(mayClear, signal),
      this.#followCache(signal)
    ])
  }

  async #followCache (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for await (const event of this.options.engine.cacheEvents(signal)) this.prefixes.take(event)
      await pause(bootCheckMs, signal)
    }
  }

  /** The fence in the name keeps this incarnation's slots apart from an earlier one's. */
  #label (target: AdapterTarget): string {
    return `${adapterLabel(target)}#${this.options.fence}`
  }

  async #generate (work: Work, pin: Pin, leave: Release, signal: AbortSignal): Promise<Result<Answer, Failure>> {
    const done = (settled: boolean): void => {
      leave()
      if (settled) pin.release()
      else void this.#releaseOnceEnded(work, pin)
    }
    const { engine, fence } = this.options
    const generation = { id: work.id, label: pin.label, call: work.call, priority: priorities[work.class], salt: work.team, fence, signal }
    const answer = await engine.generate(generation)
    if (answer.isErr()) {
      done(answer.error.code !== 'lost')
      if (answer.error.boot !== undefined) this.#see(answer.error.boot)
      return err(failureOf(answer.error))
    }
    if (answer.value.boot !== pin.boot) {
      done(true)
      this.#see(answer.value.boot)
      // It may have run, and on something else than the adapter: not one byte of it is believed.
      void answer.value.body[Symbol.asyncIterator]().return?.()
      return err(unknown('engine_restarted'))
    }
    return ok({ status: answer.value.status, headers: answer.value.headers, body: releasing(answer.value.body, done) })
  }

  /**
   * Without the answer's end the engine may still be running the request: its slot stays pinned until the engine
   * has said that it no longer does, or has restarted.
   */
  async #releaseOnceEnded ({ id }: Work, pin: Pin): Promise<void> {
    const { engine, fence, random } = this.options
    for (let failures = 1; pin.boot === this.#boot; failures++) {
      const cancelled = await engine.cancel({ id, fence })
      if (cancelled.isOk() || cancelled.error.code === 'fenced') break
      await pause(backoff(failures, random))
    }
    pin.release()
  }

  #see (boot: string): void {
    if (boot === this.#boot || boot === '') return
    this.#boot = boot
    this.slots.restarted(boot)
  }
}
