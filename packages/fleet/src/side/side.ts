/**
 * The fleet's side process: the only giver of orders to the engine beside it.
 *
 * It reads the engine's account several times a second, decides at most one order at a time, and tells those that follow
 * the engine what it holds and how full it is. To the entries near it passes on what others tell of engines elsewhere. It keeps nothing over a restart: the account says what the engine
 * holds, the entries say again what they wait for.
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

/** Loads that a new incarnation assumes its predecessor to have begun just before. */
const assumedStarts = 1

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
  readonly #rate = new LoadRate()
  #account: EngineAccount | undefined
  /** The account is what follows from the last order, not yet from a look. */
  #foreseen = false
  #failures = 0
  readonly #orders: OrderGiver
  #wake = (): void => {}
  readonly #loads = new LoadTimes()
  readonly #readers: Readers
  readonly #host: string
  #held: HeldKeys = new Map()
  #coming: string[] = []
  readonly #warm = new WarmCopies()
  readonly #bank = new QuotaBank()
  /** Counts changes of what is held or coming. */
  #changes = 0

  constructor (private readonly options: SideOptions) {
    for (let each = 0; each < assumedStarts; each++) this.#rate.started()
    this.#orders = new OrderGiver({ ...options, replaced: () => this.#replaced() })
    const { counters, engineAddress } = options
    this.#host = hostOf(engineAddress)
    this.#readers = new Readers({ ...options, host: this.#host, news: () => this.#news() })
    counters.gauge('finchpitch_engine_requests_running', 'Requests that the engine runs, by its account.', () => this.#account?.running ?? 0)
    counters.gauge('finchpitch_engine_requests_waiting', 'Requests that wait at the engine, by its account.', () => this.#account?.waiting ?? 0)
    counters.gauge('finchpitch_engine_cache_tokens_used', 'Tokens of memory that can not give way, by the engine\'s account.', () => this.#account?.cacheUsed ?? 0)
    counters.gauge('finchpitch_engine_cache_tokens', 'Tokens of memory that the engine has.', () => this.#account?.cacheTotal ?? 0)
    counters.gauge('finchpitch_peers_connected', 'Entries and side processes connected.', () => this.#readers.size)
    counters.gauge('finchpitch_engines_relayed', 'Engines elsewhere whose news are passed on.', () => this.#readers.relayed)
  }

  /** One entry's connection, to its end. */
  async accept (stream: Duplex): Promise<void> {
    const { log, facts, domain } = this.options
    const channel = new Channel(stream, this.options.channel)
    const greeted = channel.greeted.then(welcome => welcome ? this.#join(channel) : undefined)
    for await (const frame of channel.frames()) {
      const reader = await greeted
      if (reader !== undefined) this.#take(frame, reader)
    }
    const reader = await greeted
    const end = await channel.ended
    if (reader === undefined) return
    this.#readers.leave(reader)
    this.demands.forget(channel.peer.process)
    log.info('reader.lost', { reader: channel.peer.process, reason: end.reason, detail: end.reason === 'fault' ? `${end.fault.message}, ${end.fault.path}` : undefined, ...revisionFields(facts.revision), domain })
  }

  /** Looks at the engine and gives it orders until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = await this.#step(signal)
      this.#publish()
      if (waitMs > 0) await this.#rest(waitMs, signal)
    }
  }

  async #step (signal: AbortSignal): Promise<number> {
    this.options.facts.expire()
    if (!this.#foreseen && !await this.#look()) return restMs
    this.#foreseen = false
    const account = this.#account
    const spec = this.#spec()
    if (account === undefined || spec === undefined || !this.#orders.ready || signal.aborted) return restMs
    this.#settleMet(account)
    const placement = place({
      spec,
      account,
      demands: this.demands.current(),
      newest: key => this.options.facts.version(key)?.version,
      popularity: key => this.demands.popularity(key),
      uses: key => this.demands.uses(key),
      mayLoad: key => isAdapter(key) || this.#mayLoad(spec)
    })
    if (placement.type === 'declined') {
      this.#decline(placement.key, placement.reason)
      // There may be more that have waited long enough.
      return 0
    }
    if (placement.type === 'order') return await this.#give(account, placement.order, placement.reason)
    return nextLookMs({ account, demanded: this.demands.keys(), dueInMs: mostMs => this.#loads.lookInMs(mostMs) })
  }

  async #look (): Promise<boolean> {
    const { engine, log } = this.options
    const account = await engine.account()
    if (account.isErr()) {
      if (this.#failures === 0) log.warn('engine.lost', { detail: account.error })
      this.#failures += 1
      this.#account = undefined
      return false
    }
    if (this.#failures > 0) log.info('engine.regained', { failures: this.#failures })
    this.#failures = 0
    this.#account = account.value
    this.#orders.noteAccount(account.value.server)
    this.#orders.noteStart(account.value.bornAt)
    this.#noteLeaving()
    return true
  }

  #noteLeaving (): void {
    const { server, bornAt } = this.#orders
    if (this.#account?.leaving === true && server !== undefined) this.options.facts.noteLeaving({ id: server, bornAt }, 'its account')
  }

  /** The engine is another one: nothing at hand, and nothing on its way. */
  #replaced (): void {
    this.#warm.clear()
    this.#loads.clear()
  }

  #serviceName (): string | undefined {
    const { facts, engineAddress } = this.options
    return [...facts.servers.values()].find(server => server.address === engineAddress)?.service
  }

  #spec (): EngineSpec | undefined {
    const service = this.#serviceName()
    return service === undefined ? undefined : this.options.facts.routes?.service(service)?.engine
  }

  #share (spec: EngineSpec): LoadShare {
    const { facts, limits } = this.options
    const service = this.#serviceName() ?? ''
    const engines = facts.serversOf(service).map(server => server.address).sort()
    const { loadOverage: overage, loadWindowMs: windowMs } = limits()
    const place = Math.max(0, engines.indexOf(this.options.engineAddress))
    return { loadsPerSecond: spec.loadsPerSecond, overage, windowMs, engines: Math.max(1, engines.length), place }
  }

  #mayLoad (spec: EngineSpec): boolean {
    return this.#rate.may(this.#share(spec))
  }

  #settleMet (account: EngineAccount): void {
    for (const [key, version] of heldOf(account)) {
      this.#loaded(key, version)
      if (this.demands.has(key)) this.demands.settle(key, true)
    }
  }

  #loaded (key: string, version: number): void {
    const load = this.#loads.held(key, version)
    if (load === undefined) return
    this.options.counters.loads.observe(load.ms / 1000)
    this.options.log.info('adapter.held', { key, version, ms: Math.round(load.ms), from: load.from, orders: this.#account?.orders })
  }

  #decline (key: string, reason: string): void {
    this.demands.settle(key, false)
    this.options.counters.declined.inc({ reason })
    this.options.log.info('demand.declined', { key, reason, orders: this.#account?.orders })
    this.#readers.decline(key, reason)
  }

  async #give (account: EngineAccount, order: EngineOrder, reason: string): Promise<number> {
    const { outcome, at, waitMs } = await this.#orders.give(order, reason)
    this.#foresee(accountAfter(account, order, outcome))
    const { operation, model, adapter, version } = order
    const key = refKey({ model, adapter })
    if (operation === 'load' && adapter === undefined && (outcome === 'accepted' || outcome === 'unknown')) this.#rate.started()
    if (operation === 'load' && outcome === 'accepted') this.#loads.started(key, { at, version, from: this.#sourceOf(key) })
    else this.#loads.forget(key)
    return waitMs
  }

  /**
   * Goes on from the account after an order instead of looking again. With a look after each of the two orders that most
   * loads take, a side process made four looks for a load.
   */
  #foresee (account: EngineAccount | undefined): void {
    if (account === undefined) return
    this.#account = account
    this.#foreseen = true
  }

  #sourceOf (key: string): LoadSource {
    if (!isAdapter(key)) return 'model'
    return this.#warm.version(key) === undefined ? 'cold' : 'warm'
  }

  #join (channel: Channel): Reader {
    const reader = this.#readers.join(channel)
    this.#wake()
    return reader
  }

  #take (frame: Frame, reader: Reader): void {
    const entry = reader.channel.peer.process
    this.#readers.take(frame, reader)
    if (frame.type === 'uses' && this.demands.used(entry, frame.uses, frame.unread) && this.demands.any) this.#wake()
    if (frame.type === 'fences') {
      this.options.facts.saw(frame.highest)
      const { fence } = this.#orders
      if (fence > 0 && frame.highest > fence) this.options.log.info('fence.behind', { fence, highest: frame.highest })
    }
    if (frame.type === 'quota') reader.channel.send(this.#bank.exchange(entry, frame, team => this.#tokenLifeMs(team)))
    if (frame.type === 'want') {
      this.demands.ask(frame)
      reader.want(frame.key)
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
    const held = account === undefined ? this.#held : heldOf(account)
    const coming = account?.coming.map(each => each.key) ?? []
    if (!isDeepStrictEqual(held, this.#held) || !isDeepStrictEqual(coming, this.#coming)) {
      this.#changes += 1
      for (const key of difference(this.#held, held).went) this.#warm.keep(key, this.#held.get(key) ?? 0)
    }
    this.#held = held
    this.#coming = coming
    this.#readers.tell()
  }

  #news (): EngineNews {
    const account = this.#account
    const { near, strangers } = this.#readers.entries
    return new EngineNews({
      host: this.#host,
      changes: this.#changes,
      held: this.#held,
      coming: this.#coming,
      warm: () => this.#warm.all(),
      reachable: account !== undefined,
      server: this.#orders.server,
      bornAt: this.#orders.bornAt,
      leaving: account?.leaving ?? false,
      waiting: account?.waiting ?? 0,
      running: account?.running ?? 0,
      unread: this.demands.unread,
      entries: near,
      strangers,
      fence: this.#orders.fence,
      batchSize: this.#spec()?.batchSize
    })
  }

  async #rest (ms: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    this.#wake = () => woken.abort()
    const stop = (): void => woken.abort()
    signal.addEventListener('abort', stop)
    await pause(ms, woken.signal)
    signal.removeEventListener('abort', stop)
  }

  close (): void {
    this.#readers.close()
  }
}

const heldOf = (account: EngineAccount): HeldKeys => {
  const held = new Map<string, number>()
  for (const model of account.models) {
    held.set(model.name, model.version)
    for (const [adapter, version] of Object.entries(model.adapters)) held.set(refKey({ model: model.name, adapter }), version)
  }
  return held
}

/** Whether a key names an adapter, not a model. */
export const isAdapter = (key: string): boolean => parseRef(key).adapter !== undefined
