/**
 * An entry's connections to all side processes, and a local copy of the state of their engines.
 *
 * A side process listens on the host of its engine, on a port that is the same on all machines. Updates of a local engine come
 * from its own side process; those of a remote engine, one in another failure domain, are relayed by a local side process
 * (`update-sources.ts`). Load requests and reports of adapter use go straight to the engine's own side process.
 */
import { hostOf, pause } from '@finchpitch/core'
import type { Appointment, Channel, Frame, FrameOf, EngineUpdateFrame } from '@finchpitch/wire'
import { nowMs } from '../../clock.js'
import { EngineMirror } from '../../engine-mirror.js'
import type { SideConnectionOptions } from '../../keep-connected.js'
import type { BackendServer } from '../../server.js'
import type { ReportTarget } from './attempt-reporter.js'
import { countEntries, countWatchers, type DomainEntries } from './entry-count.js'
import { UpdateSources, rendezvousHost, type SourceHosts } from './update-sources.js'
import type { ServerStates } from '../servers/server-states.js'
import { SideLink } from './side-link.js'

/**
 * Delay of a report of adapter use. An adapter whose last request has ended can be unloaded, and slots are scarce under load, so
 * it is short.
 */
const usesDelayMs = 40
/**
 * Interval of maintenance. Changes of adapter use have a timer of their own, which the first change starts: when all servers
 * were checked every 50 ms instead, an idle entry woke up 20 times a second for nothing.
 */
const maintenanceIntervalMs = 200
/** Adapter use is reported again at this interval even if unchanged, since a side process forgets what is no longer reported. */
const usesRepeatMs = 1000
/** Upper bound of the random first round, higher than the number of side processes so that any of them may come first. */
const maxFirstRound = 10_000

export interface SideLinksOptions extends SideConnectionOptions {
  process: string
  domain: string
  states: ServerStates
  /** If this entry watches the store, gets a proof from there that the routing table is current, unless it has a recent one. */
  ensureProof: () => Promise<void>
  /** Whether this entry watches the store. */
  watching: () => boolean
  /** Called after changes that may let queued requests go on: those for these adapters, or all. */
  onEngineChange: (keys: string[] | undefined) => void
  /** Called when the side process at `host` answers a quota request. */
  granted: (host: string, channel: Channel, frame: FrameOf<'quota_grant'>) => void
  /** Called for attempt reports of other entries: crashes of servers under requests, completed runs, and advertised limits. */
  crashes: (frame: FrameOf<'crashes'>, from: string) => void
  /** Called when the side process at `host` acknowledges an attempt report, or answers a question. */
  onReportAcknowledged: (host: string, frame: FrameOf<'crashes_noted'>) => void
  /** Called when the channel to a local side process is open. */
  onLocalConnect: (channel: Channel) => void
  /** Called when `appointments` may have changed. */
  onAppointmentsChange: () => void
}

/** A demand for an adapter, for which `waiting` requests wait; `priority` is the rank of the most urgent one. */
export interface LoadDemand {
  key: string
  waiting: number
  priority: number
  version: number | undefined
  /** The engine has no room, so the demand waits for a slot. */
  keep: boolean
}

/** An engine, with the link to its side process and a copy of its state. */
interface LinkedEngine {
  domain: string
  link: SideLink
  mirror: EngineMirror
}

export class SideLinks {
  /** By the host that an engine shares with its side process. */
  readonly #engines = new Map<string, LinkedEngine>()
  /** By server, since selection looks up each engine several times per choice. Servers are replaced, not changed. */
  #byServer = new WeakMap<BackendServer, LinkedEngine>()
  readonly #sources: UpdateSources
  /** Requests for proofs rotate through the side processes, from a random start so that entries begin with different ones. */
  #proofRounds = Math.floor(Math.random() * maxFirstRound)
  #usesTimer: NodeJS.Timeout | undefined
  /** Servers whose adapter use has changed since the last report. */
  readonly #changedUses = new Set<string>()
  /** Hosts of the engines at which this entry's demands wait for a slot, by key. */
  readonly #queuedAt = new Map<string, string>()

  constructor (private readonly options: SideLinksOptions) {
    this.#sources = new UpdateSources(options.log)
  }

  /** Opens links for new engines and closes those of engines that are gone. */
  reconcile (engines: readonly BackendServer[]): void {
    const domains = new Map(engines.map(engine => [hostOf(engine.address), engine.domain]))
    for (const [host, { link }] of this.#engines) {
      if (domains.has(host)) continue
      link.close()
      this.#engines.delete(host)
      this.#byServer = new WeakMap()
    }
    for (const [host, domain] of domains) {
      if (!this.#engines.has(host)) this.#engines.set(host, this.#addEngine(host, domain))
    }
  }

  /** Number of entries, as reported by the side processes; `undefined` until one has reported. */
  get entries (): number | undefined {
    return countEntries(this.#domainEntries)
  }

  /** Number of entries that watch the store; `undefined` until a side process has reported. */
  get watcherCount (): number | undefined {
    return countWatchers(this.#domainEntries)
  }

  /** The last appointment from each responsive local side process: whether this entry has to watch the store. */
  get appointments (): Appointment[] {
    return [...this.#engines.values()].filter(({ link }) => link.isLocal).map(({ link }) => link.appointment).filter(each => each !== undefined)
  }

  /** Hosts of all side processes. */
  get hosts (): string[] {
    return [...this.#engines.keys()]
  }

  /** All side processes. Remote ones count as responsive, since only a frame sent to them shows whether they are. */
  get sideProcesses (): ReportTarget[] {
    return [...this.#engines].map(([host, { domain, link }]) => ({ host, domain, responsive: link.isResponsive || !link.isLocal }))
  }

  /** The channel to the side process at a host if it is open. If it is not, this starts to open it. */
  channelTo (host: string): Channel | undefined {
    return this.#engines.get(host)?.link.channel
  }

  /** Whether the store answers none of the entries in this failure domain. */
  get outage (): boolean {
    return this.appointments.some(each => each.outage)
  }

  /**
   * Requests a proof that the routing table is current from the next responsive local side process and, with `includeRemote`,
   * also from the next remote one.
   */
  requestProof (includeRemote: boolean): void {
    const links = [...this.#engines.values()].map(({ link }) => link)
    this.#proofRounds += 1
    for (const candidates of [links.filter(link => link.isLocal && link.isResponsive), includeRemote ? links.filter(link => !link.isLocal) : []]) {
      candidates[this.#proofRounds % candidates.length]?.requestProof()
    }
  }

  /** Updates the delay of facts after this entry has started or stopped watching the store. */
  updateFactDelay (): void {
    for (const { link } of this.#engines.values()) link.updateFactDelay()
  }

  get #domainEntries (): DomainEntries[] {
    return [...this.#engines.values()].map(({ domain, mirror }) =>
      ({ domain, entries: mirror.hasUpdates ? mirror.entries : undefined, strangers: mirror.strangers }))
  }

  get connectedCount (): number {
    return [...this.#engines.values()].filter(({ link }) => link.connected).length
  }

  /** Whether the engine's side process can be asked to load the adapter. */
  canRequestLoad (engine: BackendServer, key: string): boolean {
    const linked = this.#linkedEngine(engine)
    return linked !== undefined && !linked.mirror.lost && linked.link.canRequestLoad(key)
  }

  /**
   * Whether the engine was asked to load the adapter recently, so that it will probably do so although it has not reported it
   * yet. This keeps the next request for the adapter from asking another engine: on 8 engines with some 850 loads a minute,
   * loads of adapters that were already being loaded elsewhere fell from 72 to 24.
   */
  isLoadRequested (engine: BackendServer, key: string): boolean {
    return this.#linkedEngine(engine)?.link.isLoadRequested(key) === true
  }

  /** Whether a demand for the adapter waits for a slot of the engine. */
  isLoadQueued (engine: BackendServer, key: string): boolean {
    return this.#linkedEngine(engine)?.link.isLoadQueued(key) === true
  }

  /** Number of loads requested from the engine that a report which arrived at `reportedAt` may not include. */
  loadsRequestedSince (engine: BackendServer, reportedAt: number): number {
    return this.#linkedEngine(engine)?.link.loadsRequestedSince(reportedAt) ?? 0
  }

  /** Withdraws the demand for the adapter that waits for a slot, unless it waits at `exceptHost`. */
  withdraw (key: string, exceptHost?: string): void {
    const host = this.#queuedAt.get(key)
    if (host === undefined || host === exceptHost) return
    this.#queuedAt.delete(key)
    this.#engines.get(host)?.link.withdraw(key)
  }

  /** Whether the engine probably still caches the adapter after unloading it. */
  warm (engine: BackendServer, key: string): boolean {
    return this.#linkedEngine(engine)?.mirror.warm.version(key) !== undefined
  }

  /**
   * Asks the engine's side process to load the adapter, unless it was asked recently. `waiting`: how many requests wait for it.
   * `keep`: the engine has no room, so the demand waits for a slot. A demand that waits at another engine is withdrawn.
   */
  requestLoad (engine: BackendServer, { key, waiting, priority, version, keep }: LoadDemand): void {
    const host = hostOf(engine.address)
    const request = { key, waiting, priority, keep, ...(version === undefined ? {} : { version }) }
    if (this.#engines.get(host)?.link.requestLoad(request) !== true) return
    this.withdraw(key, host)
    if (keep) this.#queuedAt.set(key, host)
    else this.#queuedAt.delete(key)
    this.options.log.info('adapter.wanted', { key, server: engine.id, waiting, priority, keep })
  }

  /**
   * Schedules a report to the side process of a server at which requests were started, got their first byte or ended. `urgent`: a
   * demand may wait there for the slot of an adapter whose last use has ended, so the report is sent at once.
   */
  scheduleUsesReport (id: string, urgent = false): void {
    if (urgent) return this.#sendUsesAtOnce(id)
    this.#changedUses.add(id)
    this.#usesTimer ??= setTimeout(() => this.#sendChangedUses(), usesDelayMs)
  }

  /** Maintains the links until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    for (let round = 1; !signal.aborted; round++) {
      await pause(maintenanceIntervalMs, signal)
      const full = round % (usesRepeatMs / maintenanceIntervalMs) === 0
      if (full) {
        this.#sendAllUses()
        for (const { link } of this.#engines.values()) link.check()
        this.#dropExpiredDemands()
      }
      const hosts = this.#sourceHosts()
      this.#selectSources(hosts)
      this.#selectFactSource(hosts)
    }
  }

  /** Forgets demands that are no longer repeated: their requests have ended or wait elsewhere. */
  #dropExpiredDemands (): void {
    for (const [key, host] of this.#queuedAt) if (this.#engines.get(host)?.link.isLoadQueued(key) !== true) this.#queuedAt.delete(key)
  }

  close (): void {
    clearTimeout(this.#usesTimer)
    for (const { link } of this.#engines.values()) link.close()
  }

  #linkedEngine (server: BackendServer): LinkedEngine | undefined {
    const known = this.#byServer.get(server)
    if (known !== undefined) return known
    const linked = this.#engines.get(hostOf(server.address))
    if (linked !== undefined) this.#byServer.set(server, linked)
    return linked
  }

  /** Reports only the servers with changes: of 70 servers, two or three change within the delay. */
  #sendChangedUses (): void {
    this.#usesTimer = undefined
    for (const id of this.#changedUses) {
      const server = this.options.facts.servers.get(id)
      if (server !== undefined) this.#sendUses(server, false)
    }
    this.#changedUses.clear()
  }

  #sendUsesAtOnce (id: string): void {
    this.#changedUses.delete(id)
    const server = this.options.facts.servers.get(id)
    if (server !== undefined) this.#sendUses(server, false)
  }

  #sendAllUses (): void {
    clearTimeout(this.#usesTimer)
    this.#usesTimer = undefined
    this.#changedUses.clear()
    for (const server of this.options.facts.servers.values()) this.#sendUses(server, true)
  }

  #sendUses (server: BackendServer, all: boolean): void {
    const state = this.options.states.get(server.id)
    if (state !== undefined) this.#linkedEngine(server)?.link.sendUses(state, all)
  }

  #addEngine (host: string, domain: string): LinkedEngine {
    const mirror = new EngineMirror()
    const { onEngineChange, onAppointmentsChange, onLocalConnect } = this.options
    const link: SideLink = new SideLink(host, domain === this.options.domain, {
      ...this.options,
      onConnectionChange: () => onEngineChange(undefined),
      onConnect: channel => { if (link.isLocal) onLocalConnect(channel) },
      onAppointmentChange: onAppointmentsChange,
      onFrame: (frame, channel) => this.#handleFrame(host, frame, channel)
    })
    if (link.isLocal) link.setSubscriptions([host])
    return { domain, link, mirror }
  }

  /** Hosts of the responsive local side processes and of all remote engines. */
  #sourceHosts (): SourceHosts {
    const local: string[] = []
    const remote: string[] = []
    for (const [host, { link }] of this.#engines) {
      if (!link.isLocal) remote.push(host)
      else if (link.isResponsive) local.push(host)
    }
    return { local, remote }
  }

  /** Selects the sources of updates and subscribes to them. */
  #selectSources (hosts: SourceHosts): void {
    if (!this.#sources.select(hosts)) return
    for (const [host, { link }] of this.#engines) link.setSubscriptions(this.#sources.subscriptionsAt(host, link.isLocal))
  }

  /**
   * An entry that does not watch the store depends on one local side process for facts. Rendezvous hashing spreads the entries
   * over the side processes.
   */
  #selectFactSource ({ local }: SourceHosts): void {
    const { process, watching } = this.options
    const factSource = watching() ? undefined : rendezvousHost(process, local)
    for (const [host, { link }] of this.#engines) if (link.isLocal) link.setDependent(host === factSource)
  }

  readonly #handlers: { [Type in Frame['type']]?: (host: string, frame: FrameOf<Type>, channel: Channel) => void } = {
    holding: (host, frame) => this.#handleUpdate(host, frame),
    arrived: (host, { key, version }) => this.#handleLoaded(host, key, version),
    declined: (host, { key, reason }) => {
      this.options.log.info('adapter.declined', { key, host, reason })
      this.options.onEngineChange([key])
    },
    quota_grant: (host, frame, channel) => this.options.granted(host, channel, frame),
    crashes: (_host, frame, channel) => this.options.crashes(frame, channel.peer.process),
    crashes_noted: (host, frame) => this.options.onReportAcknowledged(host, frame)
  }

  #handleFrame (host: string, frame: Frame, channel: Channel): void {
    const handle = this.#handlers[frame.type] as ((host: string, frame: Frame, channel: Channel) => void) | undefined
    handle?.(host, frame, channel)
  }

  /**
   * Applies an update that arrived from the side process at `source`. Updates from a source no longer selected are dropped, since
   * they may be incremental to updates that this entry did not get.
   */
  #handleUpdate (source: string, frame: EngineUpdateFrame): void {
    const engine = this.#engines.get(frame.host)
    if (engine === undefined || this.#sources.sourceOf(frame.host) !== source) return
    engine.mirror.apply(frame)
    this.#handleHeld(frame.host, engine.link, Object.keys(frame.came ?? {}))
    this.#applyReport(frame.host, engine)
    if (frame.came !== undefined) this.options.onEngineChange(Object.keys(frame.came))
  }

  /** Handles an early notice that the engine has loaded an adapter. */
  #handleLoaded (host: string, key: string, version: number): void {
    const engine = this.#engines.get(host)
    if (engine === undefined) return
    engine.mirror.recordLoaded(key, version)
    this.#handleHeld(host, engine.link, [key])
    const server = this.#serverAt(host, engine.mirror.server)
    if (server !== undefined) this.options.states.updateHeld(server.id, engine.mirror.held)
    this.options.onEngineChange([key])
  }

  /** Demands for these keys that wait at other engines are withdrawn. */
  #handleHeld (host: string, link: SideLink, keys: readonly string[]): void {
    link.held(keys)
    for (const key of keys) {
      this.withdraw(key, host)
      this.#queuedAt.delete(key)
    }
  }

  /** Applies the engine's copied state to the state that servers are selected by. */
  #applyReport (host: string, { link, mirror }: LinkedEngine): void {
    const server = this.#serverAt(host, mirror.server)
    if (server === undefined) return
    const { reachable, held, coming, waiting, running, unread, room, slotMs, prefillMs, tokenMs, bornAt, leaving } = mirror
    if (leaving && mirror.server === server.id) this.options.facts.markDraining({ id: server.id, bornAt }, `the side process at ${host}`)
    // The report includes this entry's own requests, whose unprefilled tokens the entry itself counts, and more precisely.
    const othersUnread = Math.max(0, unread - link.reportedUnread)
    const pace = prefillMs === undefined || tokenMs === undefined ? undefined : { prefillMs, tokenMs }
    this.options.states.applyReport(server.id, { at: nowMs(), reachable, held, coming: new Set(coming), waiting, running, unread: othersUnread, room, slotMs, pace }, bornAt)
  }

  /** The engine that an update is about: the one with the id that it gives, or else the last one listed at its host. */
  #serverAt (host: string, id: string | undefined): BackendServer | undefined {
    const { facts } = this.options
    const identified = id === undefined ? undefined : facts.servers.get(id)
    if (identified !== undefined && hostOf(identified.address) === host) return identified
    return [...facts.servers.values()].findLast(server => hostOf(server.address) === host)
  }
}
