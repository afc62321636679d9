/**
 * The entry process of a fleet: accepts callers' requests and forwards them to backend servers.
 *
 * This class wires the parts together, runs the periodic tasks and carries out the planned stop. No state survives a restart:
 * facts come from the store or from peers, and the state of engines comes from side processes.
 */
import { setMaxListeners } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { ConnectionTurns, backoff, endUnreadableRequests, pause, type Log } from '@finchpitch/core'
import { bytesPerMb } from '@finchpitch/decisions'
import { Channel, type ChannelOptions } from '@finchpitch/wire'
import { nowMs, suspendedMs } from '../clock.js'
import { FactLink, forwardDelayMs } from '../fact-exchange.js'
import type { Fact } from '../fact.js'
import type { Facts } from '../facts.js'
import { maxWatchPauseMs, watchPauseMs, fallbackRetentionMs } from '../fact-watch.js'
import { SoftwareVersions } from '../software-versions.js'
import type { FactSource, HeaderNames, Limits } from '../ports.js'
import { DutySwitch } from '../duty-switch.js'
import { supervise } from '../supervise.js'
import { Balancer } from './servers/balancer.js'
import { CallerConnections } from './serving/caller-connections.js'
import { ConnectTimeout } from './servers/connect-timeout.js'
import { AttemptReporter } from './peers/attempt-reporter.js'
import { CrashTracker } from './servers/crash-tracker.js'
import { EntryCounters } from './counters.js'
import { FirstAttemptEstimator } from './serving/first-attempt-estimator.js'
import { KeptBytes } from './serving/kept-bytes.js'
import { KeyLease } from './peers/key-lease.js'
import { Contact } from './peers/contact.js'
import { EntryCountBound } from './peers/entry-count-bound.js'
import { LeaseKeeper } from './peers/lease-keeper.js'
import { PlainServices } from './servers/plain-services.js'
import { ProbeRequester } from './peers/probe-requester.js'
import { QuotaExchange } from './quotas/quota-exchange.js'
import { Quotas } from './quotas/quotas.js'
import { RetryBudget } from './waiting/retry-budget.js'
import { ServerLiveness } from './servers/server-liveness.js'
import { ServerPresences, sendHealthCheck } from './servers/server-presence.js'
import { ServerFaults } from './servers/server-faults.js'
import { ServerLimits } from './servers/server-limits.js'
import { ServerFeedbackHandler } from './servers/server-feedback-handler.js'
import { RequestHeap } from './serving/request-heap.js'
import { answerAfterCrash } from './serving/crash-response.js'
import { refuseForMemory } from './serving/memory-refusal.js'
import { ServiceRequest, type ServiceRequestOptions } from './serving/service-request.js'
import { SideLinks } from './peers/side-links.js'
import { ReadTurns } from './serving/read-turns.js'
import { PlannedStop } from './serving/planned-stop.js'
import { ListProver } from './peers/list-prover.js'
import { StreamOrigins } from './peers/stream-origins.js'
import { StoreWatch } from './peers/store-watch.js'
import { TableConfirmation } from './peers/table-confirmation.js'
import { TableWait } from './serving/table-wait.js'
import { RequestQueue } from './waiting/request-queue.js'

/** Interval of expiring state and updating the watch duty and the number of entries. */
const sweepIntervalMs = 200
/** A delay of the event loop that is logged. */
const loggedDelayMs = 250
/** During a planned stop, the interval of closing idle connections and of checking whether all requests have ended. */
const drainCheckIntervalMs = 60
/** Limit of a request's head until the routing table states one. */
const maxHeaderBytes = 65_536
/** Intermediaries may add headers to what a caller sends. */
const headerSlackBytes = 2048
/** Idle connections are kept open this much longer than callers may reuse them. */
const keepAliveSlackMs = 2000
const seedBackoff = { firstMs: 200, limitMs: 2000 }
/** Interval of checking whether a connection to another entry is still needed. */
const seedCheckIntervalMs = 1000
/**
 * Time for the load balancer to stop assigning new connections: it checks readiness every second and removes an entry after two
 * failed checks.
 */
const readinessNoticeMs = 2600
/** Reserved at the end of the grace period, so that the last responses are written and the process can exit before it is killed. */
const exitReserve = { maxMs: 700, share: 0.35 }
/** Part of the reserve in which the last responses are written. The rest is for the log and the exit. */
const flushShare = 0.4
const flushCheckIntervalMs = 10

export interface EntryProcessOptions {
  process: string
  domain: string
  sidePort: number
  seeds: () => string[]
  ownPeerAddress: string
  sources: FactSource[]
  facts: Facts
  headerNames: HeaderNames
  limits: () => Limits
  channel: ChannelOptions
  dial: (address: string) => Promise<Duplex>
  log: Log
}

export class EntryProcess {
  readonly counters = new EntryCounters()
  readonly server: Server
  readonly #balancer: Balancer
  readonly #sideLinks: SideLinks
  readonly #storeWatch: StoreWatch
  readonly #queue = new RequestQueue()
  readonly #keptBytes: KeptBytes
  readonly #callerConnections: CallerConnections
  readonly #connectionTurns: ConnectionTurns
  readonly #requestHeap = new RequestHeap()
  readonly #turns = new ReadTurns()
  readonly #softwareVersions: SoftwareVersions
  readonly #streamOrigins: StreamOrigins
  /** Shared by all requests. */
  readonly #requestOptions: ServiceRequestOptions
  readonly #retryBudget: RetryBudget
  readonly #connectTimeout = new ConnectTimeout()
  readonly #firstAttempts = new FirstAttemptEstimator()
  readonly #keyLease: KeyLease
  readonly #leaseKeeper: LeaseKeeper
  readonly #tableConfirmation: TableConfirmation
  readonly #entryCountBound = new EntryCountBound()
  readonly #contact = new Contact()
  /** Upper bound of the number of entries, as of the last sweep. */
  #maxEntries: number
  readonly #quotas: Quotas
  readonly #quotaExchange: QuotaExchange
  /** Whether connections to other entries are needed to receive facts. */
  readonly #seedDuty = new DutySwitch()
  readonly #serverFaults: ServerFaults
  readonly #serverLimits: ServerLimits
  readonly #plainServices: PlainServices
  readonly #feedbackHandler: ServerFeedbackHandler
  readonly #crashTracker: CrashTracker
  readonly #attemptReporter: AttemptReporter
  readonly #probeRequester: ProbeRequester
  readonly #stop = new AbortController()
  #stopping = false
  readonly #plannedStop = new PlannedStop()
  #running = 0

  constructor (private readonly options: EntryProcessOptions) {
    const { facts, domain, limits, log, process, sidePort, channel, dial, sources } = options
    this.#keyLease = new KeyLease(facts, limits)
    this.#keptBytes = new KeptBytes(() => limits().memoryMb, log)
    this.#softwareVersions = new SoftwareVersions(facts)
    this.#streamOrigins = new StreamOrigins({ domain, versions: this.#softwareVersions, prover: new ListProver(sources.find(({ kind }) => kind === 'server'), facts, this.#stop.signal), sideProcesses: () => this.#sideLinks.sideProcesses, channelTo: host => this.#sideLinks.channelTo(host), log })
    this.#maxEntries = this.#entryCountBound.update(undefined, 0)
    this.#attemptReporter = new AttemptReporter({ sideProcesses: () => this.#sideLinks.sideProcesses, channelTo: host => this.#sideLinks.channelTo(host), log })
    this.#serverLimits = new ServerLimits({
      entries: () => this.#maxEntries,
      reporter: this.#attemptReporter,
      exchangeNow: async () => await this.#quotaExchange.exchangeNow(),
      waiting: service => this.#queue.limitedAhead(service, Infinity),
      onChange: () => this.#queue.scheduleScan(),
      counters: this.counters,
      log
    })
    this.#plainServices = new PlainServices({
      facts,
      entries: () => this.#maxEntries,
      reporter: this.#attemptReporter,
      exchangeNow: async () => await this.#quotaExchange.exchangeNow(),
      onChange: () => this.#queue.scheduleScan(),
      counters: this.counters,
      log
    })
    this.#balancer = new Balancer(facts, domain, limits, () => this.#sideLinks, log, () => this.#sideLinks.entries ?? 1, this.#serverLimits, this.#plainServices)
    this.#sideLinks = new SideLinks({
      process,
      domain,
      facts,
      states: this.#balancer.states,
      sidePort,
      channel,
      dial,
      log,
      watching: () => this.#storeWatch.watching,
      ensureProof: () => this.#storeWatch.ensureProof(),
      onEngineChange: keys => this.#queue.scheduleScan(keys),
      granted: (host, channel, frame) => this.#quotaExchange.handleGrant(host, channel, frame),
      crashes: (frame, from) => {
        this.#crashTracker.handleReport(frame, from)
        this.#serverLimits.handleReport(frame, from)
        this.#plainServices.handleReport(frame, from)
        this.#retryBudget.handleReport(frame, from)
      },
      onReportAcknowledged: (host, { stamp, granted = false, stream }) => {
        if (stream !== undefined) return this.#streamOrigins.handleAnswer(host, stamp, stream)
        this.#attemptReporter.handleAck(host, stamp)
        this.#probeRequester.handleAnswer(host, stamp, granted)
      },
      onLocalConnect: side => {
        this.#crashTracker.sendAll(side)
        this.#serverLimits.sendAll(side)
      },
      onAppointmentsChange: () => this.#storeWatch.check()
    })
    this.#storeWatch = new StoreWatch({
      sources,
      facts,
      log,
      pauseMs: kind => this.#watchPauseMs(kind),
      lacksProof: () => this.#keyLease.watchDue,
      appointments: () => this.#sideLinks.appointments,
      onDutyChange: () => this.#sideLinks.updateFactDelay()
    })
    this.#quotas = new Quotas({ limits, entries: () => this.#maxEntries, startedAt: suspendedMs(), exchangeNow: async () => await this.#quotaExchange.exchangeNow(), counters: this.counters, log })
    this.#retryBudget = new RetryBudget({
      bounds: limits,
      entries: () => this.#contact.isLost ? Infinity : this.#maxEntries,
      startedAt: suspendedMs(),
      reporter: this.#attemptReporter,
      exchangeNow: async () => await this.#quotaExchange.exchangeNow(),
      log
    })
    this.#quotaExchange = new QuotaExchange({ quotas: this.#quotas, serverLimits: this.#serverLimits, plainServices: this.#plainServices, retries: this.#retryBudget, hosts: () => this.#sideLinks.hosts, channelTo: host => this.#sideLinks.channelTo(host), log })
    this.#leaseKeeper = new LeaseKeeper({ lease: this.#keyLease, facts, links: this.#sideLinks, watch: this.#storeWatch, log })
    this.#tableConfirmation = new TableConfirmation({ facts, limits, links: this.#sideLinks, watch: this.#storeWatch })
    this.#feedbackHandler = new ServerFeedbackHandler({ facts, balancer: this.#balancer, queue: this.#queue, serverLimits: this.#serverLimits })
    this.#serverFaults = new ServerFaults(this.#balancer, this.counters, log)
    this.#probeRequester = new ProbeRequester({ hosts: () => this.#sideLinks.hosts, channelTo: host => this.#sideLinks.channelTo(host), log })
    this.#crashTracker = new CrashTracker({ facts, liveness: new ServerLiveness(), reporter: this.#attemptReporter, requestProbe: async fingerprint => await this.#probeRequester.ask(fingerprint), onQuarantine: () => this.#queue.scheduleScan(), counters: this.counters, log })
    this.server = createServer({ maxHeaderSize: maxHeaderBytes, connectionsCheckingInterval: 1000, requestTimeout: 0 })
    this.#callerConnections = new CallerConnections(this.server, log)
    this.#connectionTurns = new ConnectionTurns(dropped => log.info('requests.dropped', { ...dropped }))
    endUnreadableRequests(this.server, this.#connectionTurns)
    this.#connectionTurns.keepUnwritten(this.server)
    this.#callerConnections.setMaxSockets(limits().maxSockets)
    this.#requestOptions = {
      facts,
      balancer: this.#balancer,
      queue: this.#queue,
      budget: this.#retryBudget,
      faults: this.#serverFaults,
      serverLimits: this.#serverLimits,
      plainServices: this.#plainServices,
      keptBytes: this.#keptBytes,
      feedbackHandler: this.#feedbackHandler,
      crashes: this.#crashTracker,
      presences: new ServerPresences(sendHealthCheck(options.headerNames.serverId)),
      connectTimeout: this.#connectTimeout,
      lease: this.#keyLease,
      quotas: this.#quotas,
      confirmation: this.#tableConfirmation,
      staleTableRetryMs: () => this.#leaseKeeper.retryMs,
      firstAttempts: this.#firstAttempts,
      names: options.headerNames,
      counters: this.counters,
      log,
      stop: this.#plannedStop,
      turns: this.#turns,
      streamOrigins: this.#streamOrigins,
      tableWait: new TableWait({ facts, lease: this.#keyLease }),
      closeAfterResponse: socket => this.#closesAfterResponse(socket)
    }
    this.server.on('request', (request, response) => { void this.#serve(request, response) })
    this.counters.gauge('finchpitch_requests_running', 'Requests in progress.', () => this.#running)
    this.counters.gauge('finchpitch_caller_connections', 'Open connections of callers.', () => this.#callerConnections.count)
    this.counters.gauge('finchpitch_caller_connections_refused', 'Connections of callers refused since the start, as too many were open.', () => this.#callerConnections.refused)
    this.counters.gauge('finchpitch_requests_dropped', 'Requests behind others on their connection that were not served since the start, as it had closed.', () => this.#connectionTurns.dropped)
    this.counters.gauge('finchpitch_request_heap_bytes', 'Estimated heap that requests in progress hold.', () => this.#requestHeap.reservedBytes)
    this.counters.gauge('finchpitch_requests_waiting', 'Requests waiting at the entry.', () => this.#queue.size)
    this.counters.gauge('finchpitch_servers_resting', 'Backend servers that asked this entry to back off.', () => this.#balancer.serversInBackoff)
    this.counters.gauge('finchpitch_engines_without_room', 'Engines that could load no further adapter.', () => this.#balancer.enginesWithoutRoom)
    this.counters.gauge('finchpitch_servers_limited', 'Backend servers that advertise a rate limit.', () => this.#serverLimits.size)
    this.counters.gauge('finchpitch_side_processes_connected', 'Side processes connected.', () => this.#sideLinks.connectedCount)
    this.counters.gauge('finchpitch_store_watched', 'Whether this entry watches the platform\'s store.', () => Number(this.#storeWatch.watching))
    this.counters.gauge('finchpitch_routing_table_version', 'Version of the current routing table.', () => facts.routes?.table.version ?? 0)
    this.counters.gauge('finchpitch_table_proof_age_seconds', 'Age in seconds of the last proof that the routing table is current; 0 if there is none.', () => Number.isFinite(facts.freshness.ageMs) ? facts.freshness.ageMs / 1000 : 0)
    this.counters.gauge('finchpitch_entries_assumed', 'Upper bound of the number of entries, by which quotas are divided.', () => this.#maxEntries)
    this.counters.gauge('finchpitch_resident_bytes', 'Resident memory of the process.', () => this.#keptBytes.memory.residentBytes)
    this.counters.gauge('finchpitch_memory_limit_bytes', 'Memory limit of the process; 0 if it has none.', () => (limits().memoryMb ?? 0) * bytesPerMb)
    this.counters.gauge('finchpitch_bytes_reserved', 'Bytes of request bodies that have been read or may be read.', () => this.#keptBytes.reserved)
    this.counters.keptBytes(kind => this.#keptBytes.of(kind))
    // Once for a batch: reconciling looks at all servers, so with each of a listing's servers the time would grow with their square.
    facts.onSettled(kinds => {
      if (kinds.has('table')) this.#applyTable()
      else if (kinds.has('server')) this.#reconcile()
      this.#queue.scheduleScan()
    })
  }

  get running (): number {
    return this.#running
  }

  /** How long a server whose store entry vanished is kept as a fallback. The entry that read of it may pause longer than this one. */
  get fallbackRetentionMs (): number {
    const { drainMs } = this.options.limits()
    return fallbackRetentionMs(maxWatchPauseMs(drainMs), drainMs)
  }

  /** Why this process is not ready for callers; `undefined` if it is. */
  get notReadyReason (): string | undefined {
    if (this.#stopping) return 'stopping'
    if (this.options.facts.routes === undefined) return 'no routing table yet'
    if (!this.#keyLease.held) return 'keys are not confirmed'
    return this.options.facts.servers.size === 0 ? 'no backend servers yet' : undefined
  }

  run (): void {
    const { signal } = this.#stop
    const { log, seeds } = this.options
    // Each task adds a listener; Node would warn of a leak.
    setMaxListeners(0, signal)
    this.#storeWatch.run(signal)
    void supervise('quota exchange', async () => await this.#quotaExchange.run(signal), signal, log)
    for (const seed of seeds()) void supervise('seed connection', async () => await this.#keepSeedConnection(seed), signal, log)
    void supervise('side links', async () => await this.#sideLinks.run(signal), signal, log)
    void supervise('sweep', async () => await this.#sweep(), signal, log)
  }

  /** Serves a connection from another entry until it ends. */
  async accept (stream: Duplex): Promise<void> {
    await this.#exchangeFacts(stream)
  }

  /**
   * Planned stop: lets the requests in progress finish, and answers the rest. Resolves when all responses are written, or shortly before
   * the process is killed.
   */
  async close (): Promise<void> {
    const startedAt = nowMs()
    const { graceMs } = this.options.limits()
    const reserveMs = Math.min(exitReserve.maxMs, graceMs * exitReserve.share)
    this.#stopping = true
    this.#plannedStop.begin(startedAt + graceMs - reserveMs)
    this.options.log.info('entry.stopping', { running: this.#running, waiting: this.#queue.size, leftMs: Math.round(this.#plannedStop.leftMs) })
    this.#queue.scheduleScan()
    const lateSweep = setInterval(() => this.#plannedStop.endLate(), drainCheckIntervalMs)
    await pause(Math.min(readinessNoticeMs, graceMs / 2))
    // From here on callers find their connection closed or refused. This tells them that nothing was read, so they go to another entry.
    this.server.close()
    this.#plannedStop.stopListening()
    const idleSweep = setInterval(() => this.server.closeIdleConnections(), drainCheckIntervalMs)
    await this.#allWritten(drainCheckIntervalMs, 0)
    const cut = this.#running
    this.#plannedStop.endLate()
    await this.#allWritten(flushCheckIntervalMs, reserveMs * flushShare)
    this.options.log.info('entry.stopped', { cut, running: this.#running, ms: Math.round(nowMs() - startedAt) })
    clearInterval(lateSweep)
    clearInterval(idleSweep)
    this.#stop.abort()
    this.#attemptReporter.close()
    this.#plainServices.close()
    this.#sideLinks.close()
  }

  /** Resolves once all responses have been written, or `extraMs` after the end of the planned stop. */
  async #allWritten (intervalMs: number, extraMs: number): Promise<void> {
    const leftMs = (): number => this.#plannedStop.leftMs + extraMs
    while (this.#requestHeap.reservedBytes > 0 && leftMs() > 0) await pause(Math.min(intervalMs, leftMs()))
  }

  async #serve (request: import('node:http').IncomingMessage, response: import('node:http').ServerResponse): Promise<void> {
    const reservation = this.#requestHeap.reserve(request, this.#connectionTurns.unreadBytes(request))
    if (reservation === undefined) return refuseForMemory(request, response, this.options)
    this.#running += 1
    try {
      const arrivedAt = nowMs()
      const turn = this.#connectionTurns.next(request, response)
      if (turn !== undefined && !await turn) return
      const serviceRequest = new ServiceRequest(this.#requestOptions, request, response, arrivedAt)
      await serviceRequest.serve()
    } catch (error) {
      this.options.log.error('request.crashed', { detail: (error as Error).stack })
      answerAfterCrash(response)
    } finally {
      this.#running -= 1
      reservation.releaseAfter(response)
    }
  }

  /**
   * Whether the response in progress is announced as the last of its connection. Requests that have arrived behind it are served first:
   * their callers sent them when nothing was announced.
   */
  #closesAfterResponse (socket: Socket): boolean {
    const turns = this.#connectionTurns
    if (turns.isEnding(socket)) return true
    return turns.isNewest(socket) && (this.#stopping || !this.#keyLease.held || this.#callerConnections.shouldClose(socket))
  }

  #watchPauseMs (kind: Fact['kind']): number {
    return watchPauseMs(kind, this.#sideLinks.watcherCount ?? 1, this.options.limits().drainMs)
  }

  #reconcile (): void {
    const { facts } = this.options
    const engines = [...facts.servers.values()].filter(server => facts.routes?.service(server.service)?.engine !== undefined)
    for (const server of facts.servers.values()) this.#balancer.state(server)
    this.#balancer.states.prune(facts.servers)
    this.#sideLinks.reconcile(engines)
  }

  #applyTable (): void {
    const limits = this.options.facts.routes?.table.limits
    if (limits === undefined) return
    this.#limitHeads(limits.headerBytes + headerSlackBytes)
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveSlackMs
    this.#quotas.setTeams(this.options.facts.routes?.table.teams ?? [])
    this.#reconcile()
  }

  /** Bounds the heads on connections opened from now on: Node passes the limit to the parser of each, though its types lack it. */
  #limitHeads (bytes: number): void {
    (this.server as Server & { maxHeaderSize: number }).maxHeaderSize = Math.min(bytes, maxHeaderBytes)
  }

  async #sweep (): Promise<void> {
    const { signal } = this.#stop
    while (!signal.aborted) {
      const dueAt = nowMs() + sweepIntervalMs
      await pause(sweepIntervalMs, signal)
      this.#recordDelay(nowMs() - dueAt)
      this.#callerConnections.setMaxSockets(this.options.limits().maxSockets)
      this.options.facts.expire()
      this.#softwareVersions.update()
      this.#crashTracker.expire()
      this.#serverLimits.expire(this.options.facts.servers.values())
      this.#plainServices.expire()
      this.#balancer.expire()
      this.#leaseKeeper.check()
      this.#storeWatch.check()
      this.#seedDuty.setActive(this.#needsSeeds)
      const { entries, connectedCount } = this.#sideLinks
      this.#contact.update(connectedCount > 0)
      this.#maxEntries = this.#entryCountBound.update(entries, this.options.facts.servers.size)
      this.#updateEntryCount(entries)
    }
  }

  /** Records by how much a timer was late. */
  #recordDelay (ms: number): void {
    this.counters.eventLoopDelay.observe(Math.max(0, ms) / 1000)
    if (ms >= loggedDelayMs) this.options.log.warn('event_loop.delayed', { ms: Math.round(ms), running: this.#running })
  }

  #updateEntryCount (entries: number | undefined): void {
    const before = this.#callerConnections.entries
    if (entries === undefined || entries === before) return
    this.#callerConnections.setEntryCount(entries)
    this.options.log.info('entries.counted', { entries, before })
  }

  /**
   * Keeps a connection to another entry open while it is needed. Entries exchange facts so that an entry which the store does
   * not answer can start before it knows any side process. Once local side processes respond, facts come from those, as a few entries
   * would otherwise have a channel to each of the others. No timer polls whether the connection is needed again: with one for each other
   * entry, an idle entry would wake up all the time.
   */
  async #keepSeedConnection (seed: string): Promise<void> {
    const { dial, ownPeerAddress } = this.options
    const { signal } = this.#stop
    if (seed === ownPeerAddress) return
    for (let failures = 1; !signal.aborted; failures++) {
      await this.#seedDuty.whenActive(signal)
      if (signal.aborted) return
      try {
        await this.#exchangeFacts(await dial(seed), () => this.#needsSeeds)
        failures = 0
      } catch (error) {
        this.options.log.debug('seed.unreachable', { seed, detail: (error as Error).message })
      }
      await pause(backoff(failures - 1, Math.random, seedBackoff), signal)
    }
  }

  /** Whether no local side process has sent an appointment, or facts of some kind have not been received yet. */
  get #needsSeeds (): boolean {
    return !this.options.facts.hasSynced || this.#sideLinks.appointments.length === 0
  }

  /** Exchanges facts with another entry until the channel ends or is no longer needed. */
  async #exchangeFacts (stream: Duplex, needed = (): boolean => true): Promise<void> {
    const { facts, log } = this.options
    const channel = new Channel(stream, this.options.channel)
    const check = setInterval(() => { if (!needed()) channel.close() }, seedCheckIntervalMs)
    const link = new FactLink(facts, channel, forwardDelayMs.entry, log)
    void channel.helloReceived.then(received => {
      if (!received) return
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
