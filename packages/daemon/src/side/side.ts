/**
 * The side process: the only way in to its backend server.
 *
 * It admits, refuses, runs and remembers. One task reads each channel; each request runs in a task of its own and
 * outlives the channel where it may not be repeated.
 */
import type { Duplex } from 'node:stream'
import { notRun, pause, servingName, servingOf, type Address, type Answer, type Failure, type FailureDomain, type Incarnation, type Log, type ProcessId, type Serving, type Work } from '@finchpitch/core'
import type { Catalog } from '@finchpitch/store'
import { Channel, protocolVersion, type FrameOf, type Load } from '@finchpitch/wire'
import { err, type Result } from 'neverthrow'
import { CatalogExchange } from '../catalog-exchange.js'
import { Exchange } from './exchange.js'
import { Executions, defaultLimits } from './executions.js'
import type { Runner } from './runner.js'

export interface SideOptions {
  process: ProcessId
  incarnation: Incarnation
  domain: FailureDomain
  address: () => Address
  serving: Serving
  runner: Runner
  catalog: Catalog
  log: Log
  /** How long a key window lasts; kept answers live for one to two of these. */
  epochMs: number
}

export const defaultEpochMs = 10 * 60 * 1000

const startedAtOnce = 10_000

export class Side {
  readonly executions: Executions
  readonly #channels = new Set<Channel>()
  readonly #running = new Set<Promise<void>>()
  readonly #stop = new AbortController()
  #leaving = false

  constructor (private readonly options: SideOptions) {
    this.executions = new Executions({ incarnation: options.incarnation, ...defaultLimits })
  }

  get load (): Load {
    const { gate } = this.options.runner
    return { waiting: gate.waiting, running: gate.running, capacity: gate.capacity, epoch: this.executions.epoch, leaving: this.#leaving }
  }

  get running (): number {
    return this.#running.size
  }

  /** Runs the side's own tasks until it is closed. */
  async run (): Promise<void> {
    await Promise.all([this.#countEpochs(), this.options.runner.watch(this.#stop.signal)])
  }

  /** Takes one connection and reads it to its end. */
  async accept (stream: Duplex): Promise<void> {
    const { catalog, log } = this.options
    const channel = new Channel(stream, { hello: () => this.#hello(), heartbeat: () => this.#heartbeat() })
    const exchanges = new Map<number, Exchange>()
    const configuration = new CatalogExchange(catalog, channel)
    let last = -1
    this.#channels.add(channel)
    void channel.greeted.then(greeted => { if (greeted) configuration.see(channel.peer.revision) })
    for await (const frame of channel.frames()) {
      if (frame.type === 'run') {
        // A frame that came twice is one request.
        if (frame.id > last) this.#begin(frame, channel, exchanges, configuration)
        last = Math.max(last, frame.id)
      }
      if (frame.type === 'cancel') exchanges.get(frame.id)?.cancel()
      else if (frame.type === 'credit') exchanges.get(frame.id)?.window.give(frame.bytes)
      else configuration.take(frame)
    }
    this.#channels.delete(channel)
    configuration.close()
    for (const exchange of exchanges.values()) exchange.cancel()
    log.debug('channel.ended', { ...await channel.ended })
  }

  /** Refuses new work from now on and tells every peer. */
  leave (): void {
    this.#leaving = true
    for (const channel of this.#channels) channel.send(this.#heartbeat())
  }

  /** Resolves once nothing runs and every answer has left. */
  async drained (): Promise<void> {
    while (this.#running.size > 0) await Promise.race(this.#running)
    await Promise.all([...this.#channels].map(channel => channel.flushed()))
  }

  close (): void {
    this.#stop.abort()
    for (const channel of this.#channels) channel.close()
  }

  #hello (): FrameOf<'hello'> {
    const { process, incarnation, address, domain, catalog, serving } = this.options
    return { type: 'hello', protocol: protocolVersion, process, incarnation, address: address(), domain, revision: catalog.revision, serving, load: this.load }
  }

  #heartbeat (): FrameOf<'heartbeat'> {
    return { type: 'heartbeat', revision: this.options.catalog.revision, load: this.load }
  }

  async #countEpochs (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await pause(this.options.epochMs, this.#stop.signal)
      if (!this.#stop.signal.aborted) this.executions.advance()
    }
  }

  #begin ({ id, work }: FrameOf<'run'>, channel: Channel, exchanges: Map<number, Exchange>, configuration: CatalogExchange): void {
    const exchange = new Exchange({ id, channel, load: () => this.load })
    exchanges.set(id, exchange)
    const task = this.#serve(work, exchange, configuration).finally(() => {
      exchanges.delete(id)
      this.#running.delete(task)
    })
    this.#running.add(task)
  }

  async #serve (work: Work, exchange: Exchange, configuration: CatalogExchange): Promise<void> {
    const resident = this.options.runner.resident(work)
    const answer = await this.#answer(work, exchange.signal, configuration)
    if (answer.isErr()) this.options.log.debug('work.failed', { request: work.id, team: work.team, code: answer.error.code, outcome: answer.error.outcome })
    await exchange.send(answer, resident)
  }

  async #answer (work: Work, signal: AbortSignal, configuration: CatalogExchange): Promise<Result<Answer, Failure>> {
    const { once } = work
    if (once === undefined) return await this.#start(work, signal, configuration)
    // A request that may not be repeated runs to its end, also when nobody waits for it any more.
    return await this.executions.run(work, once, () => this.#start(work, this.#stop.signal, configuration))
  }

  async #start (work: Work, signal: AbortSignal, configuration: CatalogExchange): Promise<Result<Answer, Failure>> {
    const refusal = await this.#refusal(work, configuration)
    if (refusal !== undefined) return err(refusal)
    return await this.options.runner.start(work, signal)
  }

  async #refusal (work: Work, configuration: CatalogExchange): Promise<Failure | undefined> {
    const { serving, runner, catalog } = this.options
    if (this.#leaving) return notRun('leaving')
    if (servingName(servingOf(work.target)) !== servingName(serving)) return notRun('no_backend', { detail: `This process serves ${servingName(serving)}.` })
    if (this.#running.size > startedAtOnce) return notRun('overloaded', { retryAfterMs: 1000 })
    if (work.revision < catalog.revision) return notRun('stale_revision', { revision: catalog.revision })
    if (work.revision > catalog.revision) await configuration.pull()
    if (work.revision > catalog.revision) return notRun('stale_revision', { revision: catalog.revision })
    if (this.#leaving) return notRun('leaving')
    return runner.refusal(work)
  }
}
