/**
 * The side process, a sidecar of one engine and the only process that sends it load and unload orders.
 *
 * It polls the engine's state several times a second, decides at most one order at a time, and publishes the loaded adapters and
 * the load to all subscribers of the engine. It also relays updates of engines in other failure domains to the entries of its
 * own. It persists nothing: after a restart, the engine reports what is loaded and the entries repeat their demands.
 */
import type { Duplex } from 'node:stream'
import { isDeepStrictEqual } from 'node:util'
import { hostOf, pause } from '@finchpitch/core'
import { tokenLifeMs } from '@finchpitch/decisions'
import { Channel, type Frame } from '@finchpitch/wire'
import { quotaBoundOf, type EngineAccount, type EngineOrder, type EngineOrders, type Limits } from '../ports.js'
import type { SidePeering } from '../redial.js'
import { parseRef, refKey } from '../server.js'
import { revisionFields } from '../store-revision.js'
import type { EngineSpec } from '../table.js'
import { WarmCopies } from '../warm-copies.js'
import { accountAfter } from './account-after.js'
import { Demands } from './demands.js'
import type { Reader } from './reader.js'
import type { HeldKeys } from '../engine-mirror.js'
import { LoadRate, type LoadShare } from './load-rate.js'
import { LoadTimes, type LoadSource } from './load-times.js'
import { nextLookMs, restMs } from './look-pace.js'
import { OrderGiver } from './order-giver.js'
import type { SideCounters } from './counters.js'
import { EngineNews, difference } from './news.js'
import { place } from './placement.js'
import { QuotaBank } from './quota-bank.js'
import { Readers } from './readers.js'

/** Loads that a new process assumes its predecessor to have started just before, to keep within the rate limit. */
const assumedLoads = 1

export interface SideOptions extends SidePeering {
  process: string
  domain: string
  engineAddress: string
  engine: EngineOrders
  limits: () => Limits
  counters: SideCounters
}

export class FleetSide {
  readonly demands = new Demands()
  readonly #rateLimiter = new LoadRate()
  #account: EngineAccount | undefined
  /** Whether `#account` was predicted from the last order rather than reported by the engine. */
  #isPredicted = false
  #failedPolls = 0
  readonly #orderSender: OrderGiver
  #wake = (): void => {}
  readonly #loadTimes = new LoadTimes()
  readonly #subscribers: Readers
  readonly #host: string
  #held: HeldKeys = new Map()
  #coming: string[] = []
  readonly #warm = new WarmCopies()
  readonly #quotaBank = new QuotaBank()
  /** Number of changes to the loaded keys or the loads in progress. */
  #changes = 0

  constructor (private readonly options: SideOptions) {
    for (let each = 0; each < assumedLoads; each++) this.#rateLimiter.started()
    this.#orderSender = new OrderGiver({ ...options, replaced: () => this.#handleEngineReplaced() })
    const { counters, engineAddress } = options
    this.#host = hostOf(engineAddress)
    this.#subscribers = new Readers({ ...options, host: this.#host, news: () => this.#engineUpdate() })
    counters.gauge('finchpitch_engine_requests_running', 'Requests running at the engine, as it reports them.', () => this.#account?.running ?? 0)
    counters.gauge('finchpitch_engine_requests_waiting', 'Requests waiting at the engine, as it reports them.', () => this.#account?.waiting ?? 0)
    counters.gauge('finchpitch_engine_cache_tokens_used', 'Cache tokens in use that can not be evicted, as the engine reports them.', () => this.#account?.cacheUsed ?? 0)
    counters.gauge('finchpitch_engine_cache_tokens', 'Cache capacity of the engine in tokens, as it reports it.', () => this.#account?.cacheTotal ?? 0)
    counters.gauge('finchpitch_peers_connected', 'Connected entries and side processes.', () => this.#subscribers.size)
    counters.gauge('finchpitch_engines_relayed', 'Engines in other failure domains whose updates are relayed.', () => this.#subscribers.relayed)
  }

  /** Serves the connection of one peer until it ends. */
  async accept (stream: Duplex): Promise<void> {
    const { log, facts, domain } = this.options
    const channel = new Channel(stream, this.options.channel)
    const greeted = channel.greeted.then(welcome => welcome ? this.#join(channel) : undefined)
    for await (const frame of channel.frames()) {
      const subscriber = await greeted
      if (subscriber !== undefined) this.#handleFrame(frame, subscriber)
    }
    const subscriber = await greeted
    const end = await channel.ended
    if (subscriber === undefined) return
    this.#subscribers.leave(subscriber)
    this.demands.forget(channel.peer.process)
    log.info('reader.lost', { reader: channel.peer.process, reason: end.reason, detail: end.reason === 'fault' ? `${end.fault.message}, ${end.fault.path}` : undefined, ...revisionFields(facts.revision), domain })
  }

  /** Polls the engine and sends it orders until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = await this.#runOnce(signal)
      this.#publish()
      if (waitMs > 0) await this.#sleep(waitMs, signal)
    }
  }

  async #runOnce (signal: AbortSignal): Promise<number> {
    this.options.facts.expire()
    if (!this.#isPredicted && !await this.#poll()) return restMs
    this.#isPredicted = false
    const account = this.#account
    const spec = this.#spec()
    if (account === undefined || spec === undefined || !this.#orderSender.ready || signal.aborted) return restMs
    this.#settleLoaded(account)
    const placement = place({
      spec,
      account,
      demands: this.demands.current(),
      newest: key => this.options.facts.version(key)?.version,
      popularity: key => this.demands.popularity(key),
      uses: key => this.demands.uses(key),
      mayLoad: key => isAdapter(key) || this.#canLoad(spec)
    })
    if (placement.type === 'declined') {
      this.#decline(placement.key, placement.reason)
      // Other demands may have to be declined as well.
      return 0
    }
    if (placement.type === 'order') return await this.#sendOrder(account, placement.order, placement.reason)
    return nextLookMs({ account, demanded: this.demands.keys(), dueInMs: maxMs => this.#loadTimes.lookInMs(maxMs) })
  }

  async #poll (): Promise<boolean> {
    const { engine, log } = this.options
    const account = await engine.account()
    if (account.isErr()) {
      if (this.#failedPolls === 0) log.warn('engine.lost', { detail: account.error })
      this.#failedPolls += 1
      this.#account = undefined
      return false
    }
    if (this.#failedPolls > 0) log.info('engine.regained', { failures: this.#failedPolls })
    this.#failedPolls = 0
    this.#account = account.value
    this.#orderSender.noteAccount(account.value.server)
    this.#orderSender.noteStart(account.value.bornAt)
    this.#noteLeaving()
    return true
  }

  #noteLeaving (): void {
    const { server, bornAt } = this.#orderSender
    if (this.#account?.leaving === true && server !== undefined) this.options.facts.noteLeaving({ id: server, bornAt }, 'its account')
  }

  /** Called when the engine was replaced or restarted: its cached adapters and loads in progress are lost. */
  #handleEngineReplaced (): void {
    this.#warm.clear()
    this.#loadTimes.clear()
  }

  #serviceName (): string | undefined {
    const { facts, engineAddress } = this.options
    return [...facts.servers.values()].find(server => server.address === engineAddress)?.service
  }

  #spec (): EngineSpec | undefined {
    const service = this.#serviceName()
    return service === undefined ? undefined : this.options.facts.routes?.service(service)?.engine
  }

  #rateShare (spec: EngineSpec): LoadShare {
    const { facts, limits } = this.options
    const service = this.#serviceName() ?? ''
    const engines = facts.serversOf(service).map(server => server.address).sort()
    const { loadOverage: overage, loadWindowMs: windowMs } = limits()
    const place = Math.max(0, engines.indexOf(this.options.engineAddress))
    return { loadsPerSecond: spec.loadsPerSecond, overage, windowMs, engines: Math.max(1, engines.length), place }
  }

  #canLoad (spec: EngineSpec): boolean {
    return this.#rateLimiter.may(this.#rateShare(spec))
  }

  #settleLoaded (account: EngineAccount): void {
    for (const [key, version] of loadedKeys(account)) {
      this.#recordLoaded(key, version)
      if (this.demands.has(key)) this.demands.settle(key, true)
    }
  }

  #recordLoaded (key: string, version: number): void {
    const load = this.#loadTimes.held(key, version)
    if (load === undefined) return
    this.options.counters.loads.observe(load.ms / 1000)
    this.options.log.info('adapter.held', { key, version, ms: Math.round(load.ms), from: load.from, orders: this.#account?.orders })
  }

  #decline (key: string, reason: string): void {
    this.demands.settle(key, false)
    this.options.counters.declined.inc({ reason })
    this.options.log.info('demand.declined', { key, reason, orders: this.#account?.orders })
    this.#subscribers.decline(key, reason)
  }

  async #sendOrder (account: EngineAccount, order: EngineOrder, reason: string): Promise<number> {
    const { outcome, at, waitMs } = await this.#orderSender.give(order, reason)
    this.#adoptPrediction(accountAfter(account, order, outcome))
    const { operation, model, adapter, version } = order
    const key = refKey({ model, adapter })
    if (operation === 'load' && adapter === undefined && (outcome === 'accepted' || outcome === 'unknown')) this.#rateLimiter.started()
    if (operation === 'load' && outcome === 'accepted') this.#loadTimes.started(key, { at, version, from: this.#loadSourceOf(key) })
    else this.#loadTimes.forget(key)
    return waitMs
  }

  /**
   * Continues with the predicted state after an order instead of polling again. Most loads take two orders, an unload and a load;
   * with a poll after each of them, a side process polled four times per load.
   */
  #adoptPrediction (account: EngineAccount | undefined): void {
    if (account === undefined) return
    this.#account = account
    this.#isPredicted = true
  }

  #loadSourceOf (key: string): LoadSource {
    if (!isAdapter(key)) return 'model'
    return this.#warm.version(key) === undefined ? 'cold' : 'warm'
  }

  #join (channel: Channel): Reader {
    const subscriber = this.#subscribers.join(channel)
    this.#wake()
    return subscriber
  }

  #handleFrame (frame: Frame, subscriber: Reader): void {
    const entry = subscriber.channel.peer.process
    this.#subscribers.take(frame, subscriber)
    if (frame.type === 'uses' && this.demands.used(entry, frame.uses, frame.unread) && this.demands.any) this.#wake()
    if (frame.type === 'fences') {
      this.options.facts.saw(frame.highest)
      const { fence } = this.#orderSender
      if (fence > 0 && frame.highest > fence) this.options.log.info('fence.behind', { fence, highest: frame.highest })
    }
    if (frame.type === 'quota') subscriber.channel.send(this.#quotaBank.exchange(entry, frame, team => this.#tokenLifeMs(team)))
    if (frame.type === 'want') {
      this.demands.ask(frame)
      subscriber.want(frame.key)
      this.options.log.info('demand.asked', { key: frame.key, entry, waiting: frame.waiting, priority: frame.priority })
      this.#wake()
    }
  }

  #tokenLifeMs (name: string): number | undefined {
    const { facts, limits } = this.options
    const quota = facts.routes?.team(name)?.quota
    return quota === undefined ? undefined : tokenLifeMs(quota, quotaBoundOf(limits()))
  }

  #publish (): void {
    const account = this.#account
    const held = account === undefined ? this.#held : loadedKeys(account)
    const coming = account?.coming.map(each => each.key) ?? []
    if (!isDeepStrictEqual(held, this.#held) || !isDeepStrictEqual(coming, this.#coming)) {
      this.#changes += 1
      for (const key of difference(this.#held, held).went) this.#warm.keep(key, this.#held.get(key) ?? 0)
    }
    this.#held = held
    this.#coming = coming
    this.#subscribers.tell()
  }

  #engineUpdate (): EngineNews {
    const account = this.#account
    const { near, strangers } = this.#subscribers.entries
    return new EngineNews({
      host: this.#host,
      changes: this.#changes,
      held: this.#held,
      coming: this.#coming,
      warm: () => this.#warm.all(),
      reachable: account !== undefined,
      server: this.#orderSender.server,
      bornAt: this.#orderSender.bornAt,
      leaving: account?.leaving ?? false,
      waiting: account?.waiting ?? 0,
      running: account?.running ?? 0,
      unread: this.demands.unread,
      entries: near,
      strangers,
      fence: this.#orderSender.fence,
      batchSize: this.#spec()?.batchSize
    })
  }

  async #sleep (ms: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    this.#wake = () => woken.abort()
    const stop = (): void => woken.abort()
    signal.addEventListener('abort', stop)
    await pause(ms, woken.signal)
    signal.removeEventListener('abort', stop)
  }

  close (): void {
    this.#subscribers.close()
  }
}

const loadedKeys = (account: EngineAccount): HeldKeys => {
  const held = new Map<string, number>()
  for (const model of account.models) {
    held.set(model.name, model.version)
    for (const [adapter, version] of Object.entries(model.adapters)) held.set(refKey({ model: model.name, adapter }), version)
  }
  return held
}

/** Whether a key names an adapter rather than a model. */
export const isAdapter = (key: string): boolean => parseRef(key).adapter !== undefined
