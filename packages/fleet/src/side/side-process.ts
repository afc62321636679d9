/**
 * The side process, a sidecar of one engine and the only process that sends it load and unload orders.
 *
 * It polls the engine's status several times a second, decides at most one order at a time, and publishes the loaded adapters and
 * the load to all subscribers of the engine. It also relays updates of engines in other failure domains to the entries of its
 * own. It persists nothing: after a restart, the engine reports what is loaded and the entries repeat their demands.
 */
import type { Duplex } from 'node:stream'
import { hostOf } from '@finchpitch/core'
import { LoadConcurrency, PaceEstimate, isPaceChangeLogged, isPaceChangeSignificant, tokenLifetimeMs, type Pace } from '@finchpitch/decisions'
import { Channel, type Frame, type FrameOf } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { quotaBoundOf, type EngineStatus, type EngineOrder, type EngineControl, type Limits } from '../ports.js'
import type { SideConnectionOptions } from '../keep-connected.js'
import { parseRef, refKey } from '../server.js'
import { revisionFields } from '../store-revision.js'
import type { EngineSpec } from '../table.js'
import { supervise } from '../supervise.js'
import { WarmCopies } from '../warm-copies.js'
import { statusAfterOrder } from './status-after-order.js'
import { Demands } from './demands.js'
import type { Subscriber } from './subscriber.js'
import type { LoadedVersions } from '../engine-mirror.js'
import { LoadRateLimiter, type LoadRateShare } from './load-rate-limiter.js'
import { LoadTimeEstimator, type LoadSource } from './load-time-estimator.js'
import { nextPollDelayMs, idlePollMs } from './poll-delay.js'
import { OrderSender } from './order-sender.js'
import type { SideCounters } from './counters.js'
import { contentsOf, isSameList, isSameVersions } from './engine-contents.js'
import { EngineUpdate, diffKeys, type EngineSnapshot } from './engine-update.js'
import { decidePlacement, maxConcurrentLoads, minConcurrentLoads, roomIn, type EngineRoom } from './placement.js'
import { QuotaBank } from './quota-bank.js'
import { Subscribers } from './subscribers.js'

/** The time until a slot is free is published in steps of this size, since each change is sent. */
const slotStepMs = 50

/** An engine that was slow and got few requests for this long is assumed to have the usual pace, so that it is tried again. */
const paceTtlMs = 10_000

/** The room of an engine that can't be sent orders. */
const noRoom: EngineRoom = { room: 0, queued: 0 }

/** Loads that a new process assumes its previous incarnation to have started just before, to keep within the rate limit. */
const assumedLoads = 1

export interface SideProcessOptions extends SideConnectionOptions {
  process: string
  domain: string
  engineAddress: string
  engine: EngineControl
  limits: () => Limits
  counters: SideCounters
}

export class SideProcess {
  readonly demands = new Demands()
  readonly #rateLimiter = new LoadRateLimiter()
  #status: EngineStatus | undefined
  /** Whether `#status` was predicted from the last order rather than reported by the engine. */
  #isPredicted = false
  #failedPolls = 0
  readonly #orderSender: OrderSender
  #endSleep = (): void => {}
  /** Something to act on arrived since the current round began. */
  #isWoken = false
  readonly #loadTimes = new LoadTimeEstimator()
  readonly #subscribers: Subscribers
  readonly #host: string
  #held: LoadedVersions = new Map()
  #coming: readonly string[] = []
  readonly #warm = new WarmCopies()
  readonly #quotaBank = new QuotaBank()
  /** The update that was published last. It is published again while nothing has changed, so that its encoded frames are kept. */
  #update: EngineUpdate | undefined
  /** The room that was published last. */
  #room = noRoom
  readonly #loadConcurrency = new LoadConcurrency({ least: minConcurrentLoads, most: maxConcurrentLoads })
  #paceEstimate = new PaceEstimate()
  /** The pace that was published last. */
  #pace: Pace | undefined
  /** The pace that was logged last. */
  #loggedPace: Pace | undefined
  #paceMeasuredAt = -Infinity
  /** Number of changes to the loaded keys or the loads in progress. */
  #changes = 0

  constructor (private readonly options: SideProcessOptions) {
    for (let each = 0; each < assumedLoads; each++) this.#rateLimiter.recordLoad()
    this.#orderSender = new OrderSender({ ...options, onEngineReplaced: () => this.#handleEngineReplaced() })
    const { counters, engineAddress } = options
    this.#host = hostOf(engineAddress)
    this.#subscribers = new Subscribers({ ...options, host: this.#host, engineUpdate: () => this.#engineUpdate() })
    counters.gauge('finchpitch_engine_requests_running', 'Requests running at the engine, as it reports them.', () => this.#status?.running ?? 0)
    counters.gauge('finchpitch_engine_requests_waiting', 'Requests waiting at the engine, as it reports them.', () => this.#status?.waiting ?? 0)
    counters.gauge('finchpitch_engine_cache_tokens_used', 'Cache tokens in use that can not be evicted, as the engine reports them.', () => this.#status?.cacheUsed ?? 0)
    counters.gauge('finchpitch_engine_cache_tokens', 'Cache capacity of the engine in tokens, as it reports it.', () => this.#status?.cacheTotal ?? 0)
    counters.gauge('finchpitch_engine_room', 'Adapters that the engine could load now: free slots and idle adapters, less the demands that wait for one.', () => this.#room.room)
    counters.gauge('finchpitch_demands_queued', 'Adapters that entries demand and that wait for a slot.', () => this.#room.queued)
    counters.gauge('finchpitch_engine_loads_allowed', 'Loads of adapters that may be in progress at the engine.', () => this.#loadConcurrency.limit)
    counters.gauge('finchpitch_engine_prefill_ms', 'Prefill time in ms per 1000 prompt tokens, as entries measure it; 0 if unknown.', () => this.#pace?.prefillMs ?? 0)
    counters.gauge('finchpitch_engine_token_ms', 'Run time in ms per stated output token, as entries measure it; 0 if unknown.', () => this.#pace?.tokenMs ?? 0)
    counters.gauge('finchpitch_peers_connected', 'Connected entries and side processes.', () => this.#subscribers.size)
    counters.gauge('finchpitch_engines_relayed', 'Engines in other failure domains whose updates are relayed.', () => this.#subscribers.relayedCount)
  }

  /** Serves the connection of one peer until it ends. */
  async accept (stream: Duplex): Promise<void> {
    const { log, facts, domain } = this.options
    const channel = new Channel(stream, this.options.channel)
    const greeted = channel.helloReceived.then(welcome => welcome ? this.#join(channel) : undefined)
    for await (const frame of channel.frames()) {
      const subscriber = await greeted
      if (subscriber !== undefined) this.#handleFrame(frame, subscriber)
    }
    const subscriber = await greeted
    const end = await channel.ended
    if (subscriber === undefined) return
    this.#subscribers.remove(subscriber)
    this.demands.forgetEntry(channel.peer.process)
    log.info('reader.lost', { reader: channel.peer.process, reason: end.reason, detail: end.reason === 'fault' ? `${end.fault.message}, ${end.fault.path}` : undefined, ...revisionFields(facts.revision), domain })
  }

  /** Polls the engine and sends it orders until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.#wake(), { once: true })
    await supervise('engine control', async () => await this.#control(signal), signal, this.options.log)
  }

  async #control (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#isWoken = false
      const waitMs = await this.#runOnce(signal)
      this.#publish()
      if (waitMs > 0 && !this.#isWoken) await this.#sleep(waitMs, signal)
    }
  }

  async #runOnce (signal: AbortSignal): Promise<number> {
    this.options.facts.expire()
    if (!this.#isPredicted && !await this.#poll()) return idlePollMs
    this.#isPredicted = false
    const status = this.#status
    const spec = this.#spec()
    if (status === undefined || spec === undefined || signal.aborted) return idlePollMs
    this.#settleLoaded(status)
    const placement = decidePlacement({
      spec,
      status,
      demands: this.demands.prioritized(),
      newestVersion: key => this.options.facts.version(key)?.version,
      popularity: key => this.demands.popularity(key),
      uses: key => this.demands.uses(key),
      maxLoads: this.#loadConcurrency.limit,
      canLoad: key => isAdapterKey(key) || this.#canLoad(spec)
    })
    if (placement.type === 'declined') {
      this.#decline(placement.key, placement.reason)
      // Other demands may have to be declined as well.
      return 0
    }
    if (placement.type === 'order') return await this.#sendOrder(status, placement.order, placement.reason)
    return nextPollDelayMs({ status, demandedKeys: this.demands.keys(), dueInMs: maxMs => this.#loadTimes.nextPollInMs(maxMs) })
  }

  async #poll (): Promise<boolean> {
    const { engine, log } = this.options
    const status = await engine.status()
    if (status.isErr()) {
      if (this.#failedPolls === 0) log.warn('engine.lost', { detail: status.error })
      this.#failedPolls += 1
      this.#status = undefined
      return false
    }
    if (this.#failedPolls > 0) log.info('engine.regained', { failures: this.#failedPolls })
    this.#failedPolls = 0
    this.#status = status.value
    this.#orderSender.updateEngineId(status.value.server)
    this.#orderSender.recordEngineStart(status.value.bornAt)
    this.#markDraining()
    return true
  }

  #markDraining (): void {
    const { server, bornAt } = this.#orderSender
    if (this.#status?.leaving === true && server !== undefined) this.options.facts.markDraining({ id: server, bornAt }, 'its account')
  }

  /** Called when the engine was replaced or restarted: its cached adapters and loads in progress are lost, and it may have another pace. */
  #handleEngineReplaced (): void {
    this.#warm.clear()
    this.#update = undefined
    this.#loadTimes.clear()
    this.#paceEstimate = new PaceEstimate()
    this.#pace = undefined
    this.#loggedPace = undefined
  }

  #serviceName (): string | undefined {
    const { facts, engineAddress } = this.options
    for (const { address, service } of facts.servers.values()) if (address === engineAddress) return service
    return undefined
  }

  #spec (): EngineSpec | undefined {
    const service = this.#serviceName()
    return service === undefined ? undefined : this.options.facts.routes?.service(service)?.engine
  }

  #rateShare (spec: EngineSpec): LoadRateShare {
    const { facts, limits } = this.options
    const service = this.#serviceName() ?? ''
    const engines = facts.serversOf(service).map(server => server.address).sort()
    const { loadOverage: overage, loadWindowMs: windowMs } = limits()
    const engineIndex = Math.max(0, engines.indexOf(this.options.engineAddress))
    return { loadsPerSecond: spec.loadsPerSecond, overage, windowMs, engineCount: Math.max(1, engines.length), engineIndex }
  }

  #canLoad (spec: EngineSpec): boolean {
    return this.#rateLimiter.allows(this.#rateShare(spec))
  }

  #settleLoaded (status: EngineStatus): void {
    for (const [key, version] of contentsOf(status).held) {
      this.#recordLoaded(key, version)
      if (this.demands.has(key)) this.demands.resolve(key, true)
    }
  }

  #recordLoaded (key: string, version: number): void {
    const load = this.#loadTimes.held(key, version)
    if (load === undefined) return
    this.options.counters.loads.observe(load.ms / 1000)
    this.options.log.info('adapter.held', { key, version, ms: Math.round(load.ms), from: load.from, orders: this.#status?.orders })
    if (load.from === 'cold') this.#limitLoads(load.ms)
  }

  /** Loads from the weight store that take long are slowed down by those of other engines. */
  #limitLoads (ms: number): void {
    const now = nowMs()
    const { limit: before } = this.#loadConcurrency
    if (!this.#loadConcurrency.record({ startedAt: now - ms, ms }, now)) return
    const { limit, leastMs } = this.#loadConcurrency
    this.options.log.info('engine.loads_limited', { limit, before, ms: Math.round(ms), leastMs: Math.round(leastMs) })
  }

  #decline (key: string, reason: string): void {
    this.demands.resolve(key, false)
    this.options.counters.declined.inc({ reason })
    this.options.log.info('demand.declined', { key, reason, orders: this.#status?.orders })
    this.#subscribers.decline(key, reason)
  }

  async #sendOrder (status: EngineStatus, order: EngineOrder, reason: string): Promise<number> {
    const { outcome, at, waitMs } = await this.#orderSender.send(order, reason)
    this.#adoptPrediction(statusAfterOrder(status, order, outcome))
    const { operation, model, adapter, version } = order
    const key = refKey({ model, adapter })
    if (operation === 'load' && adapter === undefined && (outcome === 'accepted' || outcome === 'unknown')) this.#rateLimiter.recordLoad()
    if (operation === 'load' && outcome === 'accepted') this.#loadTimes.startLoad(key, { at, version, from: this.#loadSourceOf(key) })
    else this.#loadTimes.forget(key)
    return waitMs
  }

  /**
   * Continues with the predicted status after an order instead of polling again. Most loads take two orders, an unload and a load;
   * with a poll after each of them, a side process polled four times per load.
   */
  #adoptPrediction (status: EngineStatus | undefined): void {
    if (status === undefined) return
    this.#status = status
    this.#isPredicted = true
  }

  #loadSourceOf (key: string): LoadSource {
    if (!isAdapterKey(key)) return 'model'
    return this.#warm.version(key) === undefined ? 'cold' : 'warm'
  }

  #join (channel: Channel): Subscriber {
    const subscriber = this.#subscribers.add(channel)
    this.#wake()
    return subscriber
  }

  #handleFrame (frame: Frame, subscriber: Subscriber): void {
    const entry = subscriber.channel.peer.process
    this.#subscribers.handleFrame(frame, subscriber)
    if (frame.type === 'uses') this.#handleUses(entry, frame)
    // A removal that this process derives from a listing has to count as later than what its dependents have read.
    if (frame.type === 'fences') this.options.facts.observeRevision(frame.highest)
    if (frame.type === 'quota') subscriber.channel.send(this.#quotaBank.exchange(entry, frame, team => this.#tokenLifetimeMs(team)))
    if (frame.type === 'want') {
      this.demands.ask(entry, frame)
      if (frame.waiting > 0) subscriber.recordDemand(frame.key)
      this.options.log.info('demand.asked', { key: frame.key, entry, waiting: frame.waiting, priority: frame.priority, keep: frame.keep })
      this.#wake()
    }
  }

  /** The end of an adapter's last use may let a demand be met. Room gained or lost is published at once, as entries demand by it. */
  #handleUses (entry: string, { uses, unread, pace }: FrameOf<'uses'>): void {
    if (pace !== undefined) this.#recordPace(pace)
    const { idle, used } = this.demands.recordUses(entry, uses, unread)
    if (idle && this.demands.hasPending) return this.#wake()
    if ((idle || used) && (this.#currentRoom(this.#spec()).room > 0) !== (this.#room.room > 0)) this.#publish()
  }

  /** A significant change is published with the next update. */
  #recordPace (sums: NonNullable<FrameOf<'uses'>['pace']>): void {
    const now = nowMs()
    this.#paceEstimate.add(sums, now)
    const pace = this.#paceEstimate.at(now)
    if (pace !== undefined) this.#paceMeasuredAt = now
    if (pace === undefined || !isPaceChangeSignificant(this.#pace, pace)) return
    this.#pace = pace
    if (isPaceChangeLogged(this.#loggedPace, pace)) this.#logPace(pace)
  }

  #logPace (pace: Pace): void {
    const { server } = this.#orderSender
    this.options.log.info('engine.pace', { server, ...rounded(pace), before: this.#loggedPace === undefined ? undefined : rounded(this.#loggedPace) })
    this.#loggedPace = pace
  }

  #currentRoom (spec: EngineSpec | undefined): EngineRoom {
    const status = this.#status
    if (status === undefined || spec === undefined) return noRoom
    return roomIn({ spec, status, uses: key => this.demands.uses(key) }, this.demands.keys())
  }

  #tokenLifetimeMs (name: string): number | undefined {
    const { facts, limits } = this.options
    const quota = facts.routes?.team(name)?.quota
    return quota === undefined ? undefined : tokenLifetimeMs(quota, quotaBoundOf(limits()))
  }

  #publish (): void {
    const { held, coming } = this.#status === undefined ? { held: this.#held, coming: [] } : contentsOf(this.#status)
    if (!isSameVersions(held, this.#held) || !isSameList(coming, this.#coming)) {
      this.#changes += 1
      for (const key of diffKeys(this.#held, held).went) this.#warm.add(key, this.#held.get(key) ?? 0)
      this.#held = held
      this.#coming = coming
    }
    this.#subscribers.publish()
  }

  #engineUpdate (): EngineUpdate {
    const snapshot = this.#snapshot()
    if (this.#update?.hasSameState(snapshot) !== true) this.#update = new EngineUpdate(snapshot)
    return this.#update
  }

  #snapshot (): EngineSnapshot {
    const status = this.#status
    const spec = this.#spec()
    const { near, strangers } = this.#subscribers.entries
    if (nowMs() - this.#paceMeasuredAt > paceTtlMs) this.#pace = undefined
    const { room, queued } = this.#room = this.#currentRoom(spec)
    return {
      host: this.#host,
      changes: this.#changes,
      held: this.#held,
      coming: this.#coming,
      warm: () => this.#warm.all(),
      reachable: status !== undefined,
      server: this.#orderSender.server,
      bornAt: this.#orderSender.bornAt,
      leaving: status?.leaving ?? false,
      waiting: status?.waiting ?? 0,
      running: status?.running ?? 0,
      unread: this.demands.unread,
      room,
      slotMs: room > 0 ? 0 : Math.ceil(this.demands.slotMs(queued) / slotStepMs) * slotStepMs,
      prefillMs: this.#pace?.prefillMs,
      tokenMs: this.#pace?.tokenMs,
      entries: near,
      strangers,
      batchSize: spec?.batchSize
    }
  }

  #wake (): void {
    this.#isWoken = true
    this.#endSleep()
  }

  /** Resolves after `ms`, or earlier on `#wake` or when `signal` aborts. */
  #sleep (ms: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      // The signal may have aborted while the engine was polled.
      if (signal.aborted) return resolve()
      const timer = setTimeout(resolve, ms)
      this.#endSleep = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  close (): void {
    this.#subscribers.close()
  }
}

const rounded = ({ prefillMs, tokenMs }: Pace): Pace => ({ prefillMs: Math.round(prefillMs * 10) / 10, tokenMs: Math.round(tokenMs * 100) / 100 })

/** Whether a key names an adapter rather than a model. */
export const isAdapterKey = (key: string): boolean => parseRef(key).adapter !== undefined
