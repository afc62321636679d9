/**
 * The entry instance, a stateless proxy: what it holds in memory is only a cache.
 *
 * It authenticates and resolves callers' requests, dispatches them to side processes and streams the responses back. It also
 * serves the configuration to its peers, and watches the store while it is one of the few watchers of its failure domain.
 */
import type { Duplex } from 'node:stream'
import { deadlineIn, notRun, pause, notRunThisAttempt, type Address, type HttpResponse, type Failure, type FailureDomain, type Incarnation, type Log, type ProcessId, type Random, type Work } from '@finchpitch/core'
import type { CallerRequest } from '@finchpitch/callers'
import { Claims, StoreSource, catchUp, defaultBucketCount, defaultClaimRetentionMs, watchConfiguration, type Catalog, type Instance, type InstanceList, type ObjectStore } from '@finchpitch/store'
import { Channel, protocolVersion, type Dial, type FrameOf } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'
import { pollInstances } from '../instance-poll.js'
import { keepUplink, exchangeConfiguration, selectWatchers } from '../uplink.js'
import { Dispatcher } from './dispatcher.js'
import { resolveRequest } from './resolve.js'
import { SidePool } from './side-pool.js'
import { TeamLimits } from './team-limits.js'

export interface EntryOptions {
  process: ProcessId
  incarnation: Incarnation
  domain: FailureDomain
  address: () => Address
  store: ObjectStore
  instances: InstanceList
  catalog: Catalog
  dial: Dial
  log: Log
  random: Random
}

/** Interval at which the entry checks whether it is a watcher. */
const dutyCheckMs = 1000
const timeoutMarginMs = 250
const minTimeoutShare = 0.8

export class Entry {
  readonly sides: SidePool
  readonly #dispatcher: Dispatcher
  readonly #teamLimits = new TeamLimits()
  readonly #shutdown = new AbortController()
  readonly #uplinkPeers = new Set<Channel>()
  #instances: Instance[] = []
  #running = 0

  constructor (private readonly options: EntryOptions) {
    const { catalog, dial, log, random, store } = options
    this.sides = new SidePool({ dial, channel: this.#channelOptions, catalog, log, random })
    const claims = new Claims({ store, random, bucketCount: defaultBucketCount, keptMs: defaultClaimRetentionMs })
    this.#dispatcher = new Dispatcher({ sides: this.sides, claims, catalog, catchUp: () => this.catchUp(), log, random })
    catalog.onUpdate(() => this.#broadcastRevision())
  }

  get running (): number {
    return this.#running
  }

  get ready (): boolean {
    return this.options.catalog.head !== undefined
  }

  get instances (): readonly Instance[] {
    return this.#instances
  }

  /** Runs the background tasks until the entry is closed. */
  async run (): Promise<void> {
    const { instances, log, random, process, domain, catalog, dial } = this.options
    const { signal } = this.#shutdown
    const onUpdate = (list: Instance[]): void => {
      this.#instances = list
      this.sides.updateInstances(list)
    }
    await Promise.all([
      pollInstances({ list: instances, log, random, onUpdate, signal }),
      this.#watchStore(),
      keepUplink({ process, domain, instances: async () => this.#instances, catalog, channel: this.#channelOptions, dial, log, random, signal })
    ])
  }

  /** Handles the connection of a peer that has this entry as its uplink, until it ends. */
  async accept (stream: Duplex): Promise<void> {
    const channel = new Channel(stream, this.#channelOptions)
    this.#uplinkPeers.add(channel)
    await exchangeConfiguration(channel, this.options.catalog)
    this.#uplinkPeers.delete(channel)
  }

  /** Serves one request, which is in progress until the response body has been read or abandoned. */
  async serve (request: CallerRequest, signal: AbortSignal): Promise<Result<HttpResponse, Failure>> {
    const resolved = resolveRequest(request, this.options.catalog)
    if (resolved.isErr()) return err(this.#failureBeforeLookup(request, resolved.error))
    const release = this.#teamLimits.admit(resolved.value.team)
    if (release.isErr()) return err(this.#failureBeforeLookup(request, release.error))
    const deadline = deadlineIn(request.patienceMs, signal)
    this.#running += 1
    const done = (): void => {
      deadline.clear()
      release.value()
      this.#running -= 1
    }
    const response = await this.#run(request, { ...resolved.value.work, patienceMs: sideTimeoutMs(request.patienceMs) }, deadline.signal)
    if (response.isOk()) return ok({ ...response.value, body: withCompletion(response.value.body, done) })
    done()
    return err(response.error.code === 'cancelled' && !signal.aborted ? { ...response.error, code: 'deadline' } : response.error)
  }

  /** Issues a ticket, an idempotency key that doesn't depend on the store, for the target that `request` names. */
  async ticket (request: CallerRequest): Promise<Result<string, Failure>> {
    const resolved = resolveRequest(request, this.options.catalog)
    if (resolved.isErr()) return err(resolved.error)
    const ticket = await this.#dispatcher.ticket(resolved.value.work)
    return ticket === undefined ? err(notRun('no_backend', { retryAfterMs: dutyCheckMs })) : ok(ticket)
  }

  /** Brings the catalog up to date, from the store or, if that fails, from the connected side processes. */
  async catchUp (): Promise<void> {
    const updated = await catchUp(this.options.catalog, new StoreSource(this.options.store))
    if (updated.isErr()) await Promise.all(this.sides.openConnections.map(peer => peer.pull()))
  }

  close (): void {
    this.#shutdown.abort()
    for (const channel of this.#uplinkPeers) channel.close()
    this.sides.close()
  }

  get #channelOptions (): { hello: () => FrameOf<'hello'>, heartbeat: () => FrameOf<'heartbeat'> } {
    const { process, incarnation, domain, address, catalog } = this.options
    return {
      hello: () => ({ type: 'hello', protocol: protocolVersion, process, incarnation, address: address(), domain, revision: catalog.revision }),
      heartbeat: () => ({ type: 'heartbeat', revision: catalog.revision })
    }
  }

  #broadcastRevision (): void {
    const frame: FrameOf<'heartbeat'> = { type: 'heartbeat', revision: this.options.catalog.revision }
    for (const channel of this.#uplinkPeers) channel.send(frame)
    this.sides.broadcast(frame)
  }

  #run (request: CallerRequest, work: Work, signal: AbortSignal): Promise<Result<HttpResponse, Failure>> {
    return request.once === undefined
      ? this.#dispatcher.run(work, request.repeatable, signal)
      : this.#dispatcher.runOnce(work, request.once, signal)
  }

  /** Adapts a failure that precedes the lookup of the idempotency key: only a first attempt is then known not to have run. */
  #failureBeforeLookup (request: CallerRequest, failure: Failure): Failure {
    return request.once === undefined || request.once.firstTry ? failure : notRunThisAttempt(failure)
  }

  /** Watches the store while this entry is one of the watchers of its failure domain, or knows of none. */
  async #watchStore (): Promise<void> {
    const { store, catalog, log, random } = this.options
    while (!this.#shutdown.signal.aborted) {
      if (this.#isWatcher()) {
        const duty = new AbortController()
        const watching = watchConfiguration({ store, catalog, log, random, signal: duty.signal })
        while (this.#isWatcher() && !this.#shutdown.signal.aborted) await pause(dutyCheckMs, this.#shutdown.signal)
        duty.abort()
        await watching
      }
      await pause(dutyCheckMs, this.#shutdown.signal)
    }
  }

  #isWatcher (): boolean {
    const watchers = selectWatchers(this.#instances, this.options.domain)
    return watchers.length === 0 || watchers.some(each => each.process === this.options.process)
  }
}

/** The side process times out a little before the caller, so that its refusal still arrives as a proof that nothing ran. */
const sideTimeoutMs = (patienceMs: number): number => Math.max(patienceMs - timeoutMarginMs, patienceMs * minTimeoutShare)

/** Calls `done` once the body has been read, has failed or is abandoned. */
async function * withCompletion (body: AsyncIterable<Uint8Array>, done: () => void): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } finally {
    done()
  }
}
