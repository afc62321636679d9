/**
 * The fleet's entry: takes callers' requests and relays them to backend servers.
 *
 * It keeps nothing over a restart: facts come from the store or from peers, holdings from side processes.
 */
import { setMaxListeners } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { Duplex } from 'node:stream'
import { backoff, pause, type Log } from '@finchpitch/core'
import { Channel, type ChannelOptions } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { FactLink, forwardDelayMs } from '../fact-exchange.js'
import type { Fact } from '../fact.js'
import type { Facts } from '../facts.js'
import { watchPauseMs, fallbackRetentionMs } from '../fact-watch.js'
import type { FactSource, HeaderNames, Limits } from '../ports.js'
import { DutySwitch } from '../duty-switch.js'
import { Balancer } from './balancer.js'
import { CallerConnections } from './caller-connections.js'
import { ConnectTimeout } from './connect-timeout.js'
import { TryNewsExchange } from './try-news-exchange.js'
import { Crashes } from './crashes.js'
import { EntryCounters } from './counters.js'
import { FirstAttemptEstimator } from './first-attempt-estimator.js'
import { KeyLease } from './key-lease.js'
import { EntryCeiling } from './entry-ceiling.js'
import { LeaseKeeper } from './lease-keeper.js'
import { outageRetryAfterMs } from './local-replies.js'
import { ProbeExchange } from './probe-exchange.js'
import { QuotaExchange } from './quota-exchange.js'
import { Quotas } from './quotas.js'
import { RetryBudget } from './retry-budget.js'
import { ServerLiveness } from './server-liveness.js'
import { ServerFaults } from './server-faults.js'
import { ServerLimits } from './server-limits.js'
import { ServerFeedbackHandler } from './server-feedback-handler.js'
import { ServiceRequest } from './service-request.js'
import { SideLinks } from './side-links.js'
import { StoreWatch } from './store-watch.js'
import { TableConfirmation } from './table-confirmation.js'
import { RequestQueue } from './request-queue.js'

/** How often it looks at what lapses, at its duty and at how many entries there are. */
const sweepMs = 200
/** In a planned stop, how often it looks whether everything has ended. */
const stopCheckMs = 60
/** Over what callers may send; the configuration's own limit is far lower. */
const mostHeaderBytes = 65_536
/** Beyond the rest that callers may take up a connection after. */
const idleSlackMs = 2000
/** A new entry has the routing table within some 0.2 s, where there is one to be had. */
const learningMs = 500
const seedSpan = { firstMs: 200, limitMs: 2000 }
/** How often it is looked at whether another entry is still needed to learn from. */
const seedCheckMs = 1000
/** The balancer asks each second and takes an entry out after two refusals; then no new connections come. */
const noticeMs = 2600
/** Left of the time until the kill, for the process to end by itself. */
const exitMs = 700

export interface FleetEntryOptions {
  process: string
  domain: string
  sidePort: number
  seeds: () => string[]
  ownPeerAddress: string
  sources: FactSource[]
  facts: Facts
  names: HeaderNames
  limits: () => Limits
  channel: ChannelOptions
  dial: (address: string) => Promise<Duplex>
  log: Log
}

export class FleetEntry {
  readonly counters = new EntryCounters()
  readonly server: Server
  readonly #balancer: Balancer
  readonly #links: SideLinks
  readonly #watch: StoreWatch
  readonly #room = new RequestQueue()
  readonly #connections: CallerConnections
  readonly #budget: RetryBudget
  readonly #connects = new ConnectTimeout()
  readonly #firstTries = new FirstAttemptEstimator()
  readonly #lease: KeyLease
  readonly #leaseKeeper: LeaseKeeper
  readonly #confirmation: TableConfirmation
  readonly #ceiling = new EntryCeiling()
  /** The most entries that may exist, as last looked at. */
  #mostEntries: number
  readonly #quotas: Quotas
  readonly #quotaExchange: QuotaExchange
  /** Other entries are needed to learn from. */
  readonly #seedTurn = new DutySwitch()
  readonly #faults: ServerFaults
  readonly #serverLimits: ServerLimits
  readonly #words: ServerFeedbackHandler
  readonly #crashes: Crashes
  readonly #tryNews: TryNewsExchange
  readonly #probes: ProbeExchange
  readonly #stop = new AbortController()
  readonly #startedAt = nowMs()
  #closing = false
  /** No longer listening; what still comes does so on connections that were open. */
  #closed = false
  #running = 0

  constructor (private readonly options: FleetEntryOptions) {
    const { facts, domain, limits, log, process, sidePort, channel, dial, sources } = options
    this.#lease = new KeyLease(facts, limits)
    this.#mostEntries = this.#ceiling.of(undefined, 0)
    this.#tryNews = new TryNewsExchange({ places: () => this.#links.places, channelTo: host => this.#links.channelTo(host), log })
    this.#serverLimits = new ServerLimits({
      entries: () => this.#mostEntries,
      exchange: this.#tryNews,
      exchanged: async () => await this.#quotaExchange.exchanged(),
      waiting: service => this.#room.limitedAhead(service, Infinity),
      changed: () => this.#room.scheduleScan(),
      counters: this.counters,
      log
    })
    this.#balancer = new Balancer(facts, domain, limits, () => this.#links, log, () => this.#links.entries ?? 1, this.#serverLimits)
    this.#links = new SideLinks({
      process,
      domain,
      facts,
      states: this.#balancer.states,
      sidePort,
      channel,
      dial,
      log,
      watching: () => this.#watch.watching,
      prove: () => this.#watch.prove(),
      changed: keys => this.#room.scheduleScan(keys),
      granted: (host, channel, frame) => this.#quotaExchange.take(host, channel, frame),
      crashes: (frame, from) => {
        this.#crashes.take(frame, from)
        this.#serverLimits.take(frame, from)
      },
      crashesNoted: (host, stamp, granted) => {
        this.#tryNews.noted(host, stamp)
        this.#probes.noted(host, stamp, granted)
      },
      joinedNear: side => {
        this.#crashes.greet(side)
        this.#serverLimits.greet(side)
      },
      appointmentsChanged: () => this.#watch.check()
    })
    this.#watch = new StoreWatch({
      sources,
      facts,
      log,
      restMs: kind => this.#restMs(kind),
      unproven: () => this.#lease.watchDue,
      appointments: () => this.#links.appointments,
      changed: () => this.#links.watchingChanged()
    })
    this.#quotas = new Quotas({ limits, entries: () => this.#mostEntries, bring: (team, tokens) => this.#quotaExchange.bring(team, tokens) })
    this.#quotaExchange = new QuotaExchange({ quotas: this.#quotas, serverLimits: this.#serverLimits, hosts: () => this.#links.hosts, channelTo: host => this.#links.channelTo(host), log })
    this.#leaseKeeper = new LeaseKeeper({ lease: this.#lease, facts, links: this.#links, watch: this.#watch, log })
    this.#confirmation = new TableConfirmation({ facts, limits, links: this.#links, watch: this.#watch })
    this.#words = new ServerFeedbackHandler({ facts, balancer: this.#balancer, queue: this.#room, serverLimits: this.#serverLimits })
    this.#faults = new ServerFaults(this.#balancer, this.counters, log)
    this.#probes = new ProbeExchange({ hosts: () => this.#links.hosts, channelTo: host => this.#links.channelTo(host), log })
    this.#crashes = new Crashes({ facts, ends: new ServerLiveness(), exchange: this.#tryNews, askProbe: async fingerprint => await this.#probes.ask(fingerprint), quarantined: () => this.#room.scheduleScan(), counters: this.counters, log })
    this.#budget = new RetryBudget(limits, () => this.#links.entries)
    this.server = createServer({ maxHeaderSize: mostHeaderBytes, connectionsCheckingInterval: 1000, requestTimeout: 0 })
    this.#connections = new CallerConnections(this.server)
    this.server.on('request', (request, response) => { void this.#serve(request, response) })
    this.counters.gauge('finchpitch_requests_running', 'Requests in progress.', () => this.#running)
    this.counters.gauge('finchpitch_requests_waiting', 'Requests waiting at the entry.', () => this.#room.size)
    this.counters.gauge('finchpitch_servers_resting', 'Backend servers that have asked this entry for rest.', () => this.#balancer.serversInBackoff)
    this.counters.gauge('finchpitch_servers_limited', 'Backend servers that name how many requests they take.', () => this.#serverLimits.size)
    this.counters.gauge('finchpitch_side_processes_connected', 'Side processes connected.', () => this.#links.connected)
    this.counters.gauge('finchpitch_store_watched', 'Whether this entry watches the platform\'s store.', () => Number(this.#watch.watching))
    this.counters.gauge('finchpitch_routing_table_version', 'Version of the routing table in force.', () => facts.routes?.table.version ?? 0)
    this.counters.gauge('finchpitch_table_proof_age_seconds', 'Since the routing table was last surely the newest; 0 where nothing was proved.', () => Number.isFinite(facts.freshness.ageMs) ? facts.freshness.ageMs / 1000 : 0)
    this.counters.gauge('finchpitch_entries_assumed', 'The most entries that may exist, by which quotas are divided.', () => this.#mostEntries)
    facts.onChange(fact => {
      if (fact.kind === 'server') this.#reconcile()
      if (fact.kind === 'table') this.#applyTable()
      this.#room.scheduleScan()
    })
  }

  get running (): number {
    return this.#running
  }

  /** How long a server whose entry vanished stays in reserve. */
  get reserveMs (): number {
    return fallbackRetentionMs(this.#restMs('server'), this.options.limits().drainMs)
  }

  /** Why it should not be sent callers; `undefined` when it should. */
  get unready (): string | undefined {
    if (this.#closing) return 'stopping'
    if (this.options.facts.routes === undefined) return 'no routing table yet'
    if (!this.#lease.held) return 'keys are not confirmed'
    return this.options.facts.servers.size === 0 ? 'no backend servers yet' : undefined
  }

  run (): void {
    const { signal } = this.#stop
    // One for each task; there is no leak to be warned of.
    setMaxListeners(0, signal)
    this.#watch.run(signal)
    void this.#quotaExchange.run(signal)
    for (const seed of this.options.seeds()) void this.#keepSeed(seed)
    void this.#links.tend(signal)
    void this.#sweep()
  }

  /** Another entry's connection, to its end. */
  async accept (stream: Duplex): Promise<void> {
    await this.#exchange(stream)
  }

  /** Ends whole what is in progress. Resolves when nothing is left, or just before the kill. */
  async close (): Promise<void> {
    const started = performance.now()
    const { graceMs } = this.options.limits()
    this.#closing = true
    this.options.log.info('entry.stopping', { running: this.#running, waiting: this.#room.size })
    await pause(Math.min(noticeMs, graceMs / 2))
    // From here on callers meet a closed connection, which tells them that nothing was read, and go elsewhere.
    this.server.close()
    this.#closed = true
    const sweep = setInterval(() => this.server.closeIdleConnections(), stopCheckMs)
    while (this.#running > 0 && performance.now() - started < graceMs - exitMs) await pause(stopCheckMs)
    this.options.log.info('entry.stopped', { running: this.#running, ms: Math.round(performance.now() - started) })
    clearInterval(sweep)
    this.#stop.abort()
    this.#tryNews.close()
    this.#links.close()
  }

  async #serve (request: import('node:http').IncomingMessage, response: import('node:http').ServerResponse): Promise<void> {
    const { facts, names, log } = this.options
    this.#running += 1
    try {
      const served = new ServiceRequest({
        facts, balancer: this.#balancer, room: this.#room, budget: this.#budget, faults: this.#faults, serverLimits: this.#serverLimits, words: this.#words, crashes: this.#crashes, connects: this.#connects, lease: this.#lease, quotas: this.#quotas, confirmation: this.#confirmation, staleTableRetryMs: () => this.#leaseKeeper.retryMs, firstAttempts: this.#firstTries, names, counters: this.counters, log, stopping: this.#closed, tableLoaded: () => this.#learned(), noTableRetryMs: () => this.#blindRetryMs, closeAfterResponse: () => this.#closing || !this.#lease.held || this.#connections.shouldClose(request.socket)
      }, request, response)
      await served.serve()
    } catch (error) {
      log.error('request.crashed', { detail: (error as Error).stack })
      response.destroy()
    } finally {
      this.#running -= 1
    }
  }

  #restMs (kind: Fact['kind']): number {
    return watchPauseMs(kind, this.#links.watchers ?? 1, this.options.limits().drainMs)
  }

  /**
   * Callers reach a process that has just started before it has read the store, some 0.1 s later. Each would be told to
   * come back in 0.5 s, and is served after that tenth of a second instead.
   */
  async #learned (): Promise<void> {
    const { facts } = this.options
    const leftMs = learningMs - (nowMs() - this.#startedAt)
    const known = (): boolean => facts.routes !== undefined && this.#lease.held
    if (known() || leftMs <= 0) return
    const learned = new AbortController()
    const look = (): void => { if (known()) learned.abort() }
    const forget = [facts.onChange(look), facts.freshness.onProof(look)]
    await pause(leftMs, learned.signal)
    for (const each of forget) each()
  }

  /** Soon while it is only starting; later once neither the store nor a peer had the table in the time that takes. */
  get #blindRetryMs (): number {
    return nowMs() - this.#startedAt < learningMs ? learningMs : outageRetryAfterMs
  }

  #reconcile (): void {
    const { facts } = this.options
    const engines = [...facts.servers.values()].filter(server => facts.routes?.service(server.service)?.engine !== undefined)
    for (const server of facts.servers.values()) this.#balancer.state(server)
    this.#balancer.states.prune(facts.servers)
    this.#links.reconcile(engines)
  }

  #applyTable (): void {
    const limits = this.options.facts.routes?.table.limits
    if (limits === undefined) return
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + idleSlackMs
    this.#quotas.follow(this.options.facts.routes?.table.teams ?? [])
    this.#reconcile()
  }

  async #sweep (): Promise<void> {
    const { signal } = this.#stop
    while (!signal.aborted) {
      await pause(sweepMs, signal)
      this.options.facts.expire()
      this.#crashes.expire()
      this.#serverLimits.expire(this.options.facts.servers.values())
      this.#balancer.expire()
      this.#leaseKeeper.check()
      this.#watch.check()
      this.#seedTurn.setActive(this.#needsSeeds)
      const { entries } = this.#links
      this.#mostEntries = this.#ceiling.of(entries, this.options.facts.servers.size)
      this.#noteEntries(entries ?? 0)
    }
  }

  #noteEntries (entries: number): void {
    const before = this.#connections.entries
    if (entries === before) return
    this.#connections.setEntryCount(entries)
    this.options.log.info('entries.counted', { entries, before })
  }

  /**
   * Entries tell each other facts too, for one that the store turns away before it knows any side process. Once side
   * processes near answer, those do: with all entries joined to three of them for good, each of the three had 67 channels
   * with two heartbeats a second. What waits to be needed again has no timer: 15 entries that asked themselves for each of
   * 15 others made an entry at rest wake 95 times a second.
   */
  async #keepSeed (seed: string): Promise<void> {
    const { dial, ownPeerAddress } = this.options
    const { signal } = this.#stop
    if (seed === ownPeerAddress) return
    for (let failures = 1; !signal.aborted; failures++) {
      await this.#seedTurn.whenActive(signal)
      if (signal.aborted) return
      try {
        await this.#exchange(await dial(seed), () => this.#needsSeeds)
        failures = 0
      } catch (error) {
        this.options.log.debug('seed.unreachable', { seed, detail: (error as Error).message })
      }
      await pause(backoff(failures - 1, Math.random, seedSpan), signal)
    }
  }

  /** Nobody near says who watches the store, or not everything was read yet. */
  get #needsSeeds (): boolean {
    return !this.options.facts.hasSynced || this.#links.appointments.length === 0
  }

  /** Until the channel ends, or is no longer `needed`. */
  async #exchange (stream: Duplex, needed = (): boolean => true): Promise<void> {
    const { facts, log } = this.options
    const channel = new Channel(stream, this.options.channel)
    const check = setInterval(() => { if (!needed()) channel.close() }, seedCheckMs)
    const link = new FactLink(facts, channel, forwardDelayMs.entry, log)
    void channel.greeted.then(welcome => {
      if (!welcome) return
      link.start(forwardDelayMs.newcomer)
      log.info('peer.joined', { peer: channel.peer.process })
    })
    for await (const frame of channel.frames()) {
      link.handleFrame(frame)
    }
    clearInterval(check)
    link.stop()
    log.info('peer.lost', { reason: (await channel.ended).reason })
  }
}
