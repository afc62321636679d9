/**
 * The side process, a sidecar of one backend server and the only process that sends it requests.
 *
 * It queues or refuses requests, runs them, and deduplicates those with an idempotency key. One task reads each channel. Each
 * request runs in a task of its own; one with an idempotency key is run to its end even if its channel ends.
 */
import type { Duplex } from 'node:stream'
import { notRun, pause, servingName, servingOf, type Address, type HttpResponse, type Failure, type FailureDomain, type Incarnation, type Log, type ProcessId, type Serving, type Work } from '@finchpitch/core'
import type { Catalog } from '@finchpitch/store'
import { Channel, protocolVersion, type FrameOf, type LoadReport } from '@finchpitch/wire'
import { err, type Result } from 'neverthrow'
import { CatalogExchange } from '../catalog-exchange.js'
import { ResponseSender } from './response-sender.js'
import { IdempotencyRecords, defaultIdempotencyLimits } from './idempotency-records.js'
import type { Runner } from './runner.js'

export interface SideProcessOptions {
  process: ProcessId
  incarnation: Incarnation
  domain: FailureDomain
  address: () => Address
  serving: Serving
  runner: Runner
  catalog: Catalog
  log: Log
  /** Length of an epoch. Idempotency keys and their responses are kept for one to two epochs. */
  epochMs: number
}

export const defaultEpochMs = 10 * 60 * 1000

/** Requests in progress, queued ones included, beyond which further ones are refused. */
const maxRunning = 10_000

export class SideProcess {
  readonly idempotencyRecords: IdempotencyRecords
  readonly #channels = new Set<Channel>()
  readonly #tasks = new Set<Promise<void>>()
  readonly #shutdown = new AbortController()
  #draining = false

  constructor (private readonly options: SideProcessOptions) {
    this.idempotencyRecords = new IdempotencyRecords({ incarnation: options.incarnation, ...defaultIdempotencyLimits })
  }

  get load (): LoadReport {
    const { queue } = this.options.runner
    return { waiting: queue.waiting, running: queue.running, capacity: queue.capacity, epoch: this.idempotencyRecords.epoch, leaving: this.#draining }
  }

  get running (): number {
    return this.#tasks.size
  }

  /** Runs the background tasks until the side process is closed. */
  async run (): Promise<void> {
    await Promise.all([this.#advanceEpochs(), this.options.runner.watch(this.#shutdown.signal)])
  }

  /** Handles one connection until it ends. */
  async accept (stream: Duplex): Promise<void> {
    const { catalog, log } = this.options
    const channel = new Channel(stream, { hello: () => this.#hello(), heartbeat: () => this.#heartbeat() })
    const senders = new Map<number, ResponseSender>()
    const catalogExchange = new CatalogExchange(catalog, channel)
    let lastId = -1
    this.#channels.add(channel)
    void channel.helloReceived.then(greeted => { if (greeted) catalogExchange.observeRevision(channel.peer.revision) })
    for await (const frame of channel.frames()) {
      if (frame.type === 'run') {
        // Ids increase, so a duplicated frame is recognized and starts nothing.
        if (frame.id > lastId) this.#startRequest(frame, channel, senders, catalogExchange)
        lastId = Math.max(lastId, frame.id)
      }
      if (frame.type === 'cancel') senders.get(frame.id)?.cancel()
      else if (frame.type === 'credit') senders.get(frame.id)?.window.addCredit(frame.bytes)
      else catalogExchange.handleFrame(frame)
    }
    this.#channels.delete(channel)
    catalogExchange.close()
    for (const sender of senders.values()) sender.cancel()
    log.debug('channel.ended', { ...await channel.ended })
  }

  /** Starts draining: refuses new requests and notifies every peer. */
  startDraining (): void {
    this.#draining = true
    for (const channel of this.#channels) channel.send(this.#heartbeat())
  }

  /** Resolves once no request is running and all responses have been flushed. */
  async whenDrained (): Promise<void> {
    while (this.#tasks.size > 0) await Promise.race(this.#tasks)
    await Promise.all([...this.#channels].map(channel => channel.flushed()))
  }

  close (): void {
    this.#shutdown.abort()
    for (const channel of this.#channels) channel.close()
  }

  #hello (): FrameOf<'hello'> {
    const { process, incarnation, address, domain, catalog, serving } = this.options
    return { type: 'hello', protocol: protocolVersion, process, incarnation, address: address(), domain, revision: catalog.revision, serving, load: this.load }
  }

  #heartbeat (): FrameOf<'heartbeat'> {
    return { type: 'heartbeat', revision: this.options.catalog.revision, load: this.load }
  }

  async #advanceEpochs (): Promise<void> {
    while (!this.#shutdown.signal.aborted) {
      await pause(this.options.epochMs, this.#shutdown.signal)
      if (!this.#shutdown.signal.aborted) this.idempotencyRecords.advanceEpoch()
    }
  }

  #startRequest ({ id, work }: FrameOf<'run'>, channel: Channel, senders: Map<number, ResponseSender>, catalogExchange: CatalogExchange): void {
    const sender = new ResponseSender({ id, channel, load: () => this.load })
    senders.set(id, sender)
    const task = this.#serve(work, sender, catalogExchange).finally(() => {
      senders.delete(id)
      this.#tasks.delete(task)
    })
    this.#tasks.add(task)
  }

  async #serve (work: Work, sender: ResponseSender, catalogExchange: CatalogExchange): Promise<void> {
    const resident = this.options.runner.resident(work)
    const response = await this.#respond(work, sender.signal, catalogExchange)
    if (response.isErr()) this.options.log.debug('work.failed', { request: work.id, team: work.team, code: response.error.code, outcome: response.error.outcome })
    await sender.send(response, resident)
  }

  async #respond (work: Work, signal: AbortSignal, catalogExchange: CatalogExchange): Promise<Result<HttpResponse, Failure>> {
    const { once } = work
    if (once === undefined) return await this.#start(work, signal, catalogExchange)
    // A request with an idempotency key runs to its end even if its caller has gone: a retry gets the response.
    return await this.idempotencyRecords.run(work, once, () => this.#start(work, this.#shutdown.signal, catalogExchange))
  }

  async #start (work: Work, signal: AbortSignal, catalogExchange: CatalogExchange): Promise<Result<HttpResponse, Failure>> {
    const refusal = await this.#refusal(work, catalogExchange)
    if (refusal !== undefined) return err(refusal)
    return await this.options.runner.start(work, signal)
  }

  async #refusal (work: Work, catalogExchange: CatalogExchange): Promise<Failure | undefined> {
    const { serving, runner, catalog } = this.options
    if (this.#draining) return notRun('leaving')
    if (servingName(servingOf(work.target)) !== servingName(serving)) return notRun('no_backend', { detail: `This process serves ${servingName(serving)}.` })
    if (this.#tasks.size > maxRunning) return notRun('overloaded', { retryAfterMs: 1000 })
    if (work.revision < catalog.revision) return notRun('stale_revision', { revision: catalog.revision })
    if (work.revision > catalog.revision) await catalogExchange.pull()
    if (work.revision > catalog.revision) return notRun('stale_revision', { revision: catalog.revision })
    if (this.#draining) return notRun('leaving')
    return runner.refusalOf(work)
  }
}
