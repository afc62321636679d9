/**
 * Selects a backend server for a request: builds the candidates from what this entry knows of each server, and keeps the
 * per-server state that they are built from. The selection itself is done by the pure functions of `choice.ts`.
 */
import type { Log } from '@finchpitch/core'
import { comparePaces, type PaceComparison } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { Limits } from '../../ports.js'
import { isEarlierIncarnation, type BackendServer } from '../../server.js'
import { softwareVersionOf, unlistedVersion } from '../../software-versions.js'
import type { FleetService, RouteIndex } from '../../table.js'
import { chooseEngine, choosePlain, type Choice, type ServerCandidate } from './choice.js'
import { EngineView, roomOf, type SelectionContext } from './engine-view.js'
import { PrefillRate } from './prefill-rate.js'
import type { PendingRequest, ServerState } from './server-state.js'
import { ServerStates } from './server-states.js'
import { noLimits, type LimitsView } from './server-limits.js'
import { noBusyServices, type PlainServicesView } from './plain-services.js'
import type { SideLinks } from '../peers/side-links.js'

/** The operations on side process connections that the balancer uses. */
export type AdapterPlacement = Pick<SideLinks, 'canRequestLoad' | 'warm' | 'isLoadRequested' | 'isLoadQueued' | 'loadsRequestedSince' | 'requestLoad' | 'withdraw' | 'scheduleUsesReport'>

/**
 * A prompt is taken as uncontended, so that its prefill time is its own, if the tokens still to be prefilled ahead of it are fewer
 * than this share of its tokens.
 */
const uncontendedShare = 0.1
/**
 * The end of a backoff is spread over entries so that within this time a server gets no more first requests, from all
 * entries together, than it processes at once.
 */
const rampSpreadMs = 100
/** Upper bound of the delay added for each request queued ahead, for servers whose advertised limit is close to 0. */
const maxLimitedIntervalMs = 5000
/** Share of the time allowed for a version update (`versionMs`) in which the previous version may still be used. */
const previousVersionShare = 0.4

/** Interval at which the paces of a service's engines are compared. They are published at most a few times per second. */
const paceComparisonMs = 500

/**
 * Selections within this time use the same time: figures that only decay are then computed once for all of them. In a scan of the
 * queue, a request is chosen for every few microseconds.
 */
const clockStepMs = 1

/** The engines of a service that may be sent requests. */
interface EngineList {
  servers: readonly BackendServer[]
  views: readonly EngineView[]
  /** The position of each engine. */
  positions: ReadonlyMap<string, number>
  /** What the views were built from. */
  generation: number
  routes: RouteIndex | undefined
}

/** The properties of a request that a server is selected by. */
export interface SelectionRequest {
  service: FleetService
  /** Adapter or model key; `undefined` at a plain service. */
  key: string | undefined
  /** Prompt length in tokens. */
  promptTokens: number
  /** Maximum of output tokens; 0 if not stated. */
  outputTokens?: number
  /** Time left until the first token misses its objective. */
  timeToObjectiveMs: number
  priority: number
  /** Servers that have already refused this request. */
  excluded: ReadonlySet<string>
  /** Name of the team that sent it. */
  team?: string | undefined
  /** The software version of the servers that may run it; `undefined` for any. */
  softwareVersion?: string | undefined
}

export class Balancer {
  readonly states = new ServerStates((id, urgent) => this.links().scheduleUsesReport(id, urgent))
  /** Prefill rate over all engines, from prompts with few tokens to prefill ahead of them. */
  readonly prefillRate = new PrefillRate()
  /** The last comparison of the paces of engines, by service. */
  readonly #paces = new Map<string, { comparison: PaceComparison | undefined, at: number }>()
  /** Servers in backoff, or whose concurrency still ramps up after one. */
  readonly #restricted = new Set<string>()
  /** By service. */
  readonly #engineLists = new Map<string, EngineList>()
  #context: SelectionContext | undefined

  constructor (
    private readonly facts: Facts,
    private readonly domain: string,
    private readonly limits: () => Limits,
    private readonly links: () => AdapterPlacement,
    private readonly log: Log,
    /** Number of entries, as far as known. */
    private readonly entries: () => number = () => 1,
    /** Servers that advertise a limit, in short rate-limited servers. */
    private readonly serverLimits: LimitsView = noLimits,
    /** Plain services that are busy. */
    private readonly plainServices: PlainServicesView = noBusyServices,
    private readonly random: () => number = Math.random
  ) {}

  state (server: BackendServer): ServerState {
    const service = this.facts.routes?.service(server.service)
    return this.states.getOrCreate(server, service?.maxConnections)
  }

  /**
   * A rate-limited server is selected like any other while this entry may send it a request; what exceeds the limit goes to
   * the other servers of its service.
   */
  choose (selection: SelectionRequest): Choice {
    const choice = this.#chooseWithinLimits(selection)
    if (choice.type !== 'send' || selection.key !== undefined || this.plainServices.isReady(selection.service.name, selection.team)) return choice
    return this.plainServices.limitedChoice(selection.service.name, selection.team) ?? choice
  }

  #chooseWithinLimits (selection: SelectionRequest): Choice {
    if (this.serverLimits.isEmpty) return this.#select(selection)
    const choice = this.#select(selection)
    const server = choice.type === 'send' ? this.facts.servers.get(choice.id) : undefined
    if (server === undefined || this.serverLimits.state(server)?.ready !== false) return choice
    const other = this.#select(selection, each => this.serverLimits.state(each)?.ready !== false)
    return other.type === 'none' || other.type === 'resting' ? this.limitedChoice(selection.service.name) ?? other : other
  }

  /**
   * If the server that would be selected is rate-limited, waits until this entry may send it a request or the other entries
   * have been asked for their unused part of its limit. Resolves with the id of the server if it still may not be sent one.
   */
  async awaitRateLimit (selection: SelectionRequest): Promise<string | undefined> {
    if (this.serverLimits.isEmpty) return undefined
    const choice = this.#select(selection)
    const server = choice.type === 'send' ? this.facts.servers.get(choice.id) : undefined
    return server === undefined || await this.serverLimits.awaitCapacity(server) ? undefined : server.id
  }

  /**
   * When the service may be sent a request, if it is busy, or the first of its rate-limited servers; `undefined` if nothing limits
   * it.
   */
  limitedChoice (service: string, team?: string): Extract<Choice, { type: 'limited' }> | undefined {
    const busy = this.plainServices.limitedChoice(service, team)
    if (busy !== undefined) return busy
    const states = this.facts.eligibleServers(service).map(server => this.serverLimits.state(server)).filter(state => state !== undefined)
    if (states.length === 0) return undefined
    const readyInMs = Math.min(...states.map(state => state.readyInMs))
    const perSecond = states.reduce((sum, state) => sum + state.perSecond, 0)
    return { type: 'limited', readyInMs, everyMs: Math.min(maxLimitedIntervalMs, 1000 / perSecond), reason: 'all servers name limits' }
  }

  /** Whether the server advertises a limit, or belongs to a busy service. */
  isLimited (id: string): boolean {
    const server = this.facts.servers.get(id)
    return server !== undefined && (this.serverLimits.state(server) !== undefined || this.plainServices.isEnforced(server.service))
  }

  #select (selection: SelectionRequest, mayUse?: (server: BackendServer) => boolean): Choice {
    const all = this.#eligibleServers(selection)
    const open = mayUse === undefined ? all : all.filter(mayUse)
    const remaining = selection.excluded.size === 0 ? open : open.filter(server => !selection.excluded.has(server.id))
    const servers = this.#restricted.size === 0 || remaining.every(server => this.#hasCapacity(server)) ? remaining : remaining.filter(server => this.#hasCapacity(server))
    if (servers.length === 0 && this.#restricted.size > 0) {
      const backoff = this.#backoffChoice(remaining.length > 0 ? remaining : open)
      if (backoff !== undefined) return backoff
    }
    if (selection.key === undefined) return choosePlain(servers.map(server => this.#candidate(server, nowMs())), this.domain, this.plainServices.isEnforced(selection.service.name), this.random)
    return this.#chooseEngine(servers, selection.key, selection)
  }

  #eligibleServers ({ service, softwareVersion }: SelectionRequest): readonly BackendServer[] {
    const servers = this.facts.eligibleServers(service.name)
    return softwareVersion === undefined ? servers : servers.filter(server => this.runsSoftware(server, softwareVersion))
  }

  /** Whether any server that may run the request has the software version that it is bound to. */
  hasSoftware (selection: SelectionRequest): boolean {
    return selection.softwareVersion === undefined || this.#eligibleServers(selection).length > 0
  }

  /** The software version of a server, as listed for its last known incarnation. */
  softwareVersion (server: BackendServer): string {
    return isEarlierIncarnation(server.bornAt, this.state(server).bornAt) ? unlistedVersion : softwareVersionOf(server)
  }

  runsSoftware (server: BackendServer, version: string): boolean {
    return version !== unlistedVersion && this.softwareVersion(server) === version
  }

  /**
   * Backs off from a server that asked for it (503 with `Retry-After`). The backoff applies to the whole entry: when it applied
   * only to the request that was refused, a server that had asked for 3 s got 10 to 25 requests in each second of them.
   * `state`: of the incarnation that asked; a later one is not affected.
   */
  backOff (server: BackendServer, state: ServerState, askedMs: number, request: string): void {
    if (this.states.get(server.id) !== state) return
    const { backoff } = state
    const now = nowMs()
    const started = backoff.ask(askedMs + this.random() * this.#maxJitterMs(server), now)
    this.#restricted.add(server.id)
    if (started) this.log.info('server.rests', { server: server.id, request, askedMs, untilMs: Math.round(backoff.leftMs(now)) })
  }

  /** Number of servers in backoff. */
  get serversInBackoff (): number {
    const now = nowMs()
    return [...this.#restricted].filter(id => this.states.get(id)?.backoff.active(now) === true).length
  }

  /** Whether a request may be sent to the server now: it is neither draining nor in backoff. */
  isAvailable (server: BackendServer): boolean {
    const listed = this.facts.servers.get(server.id)
    return listed !== undefined && !listed.leaving && !this.state(server).backoff.active(nowMs())
  }

  /**
   * Upper bound of the random delay added to a backoff. It spreads the first requests of all entries, so that
   * `rampSpreadMs` brings no more of them than the server processes at once.
   */
  #maxJitterMs ({ slots }: BackendServer): number {
    return this.entries() / slots * rampSpreadMs
  }

  /**
   * Called periodically. Removes servers whose concurrency is no longer restricted: while there are restricted ones, every
   * selection checks all servers.
   */
  expire (): void {
    const now = nowMs()
    for (const id of this.#restricted) if (this.states.get(id)?.backoff.rampedUp(now) !== false) this.#restricted.delete(id)
  }

  #hasCapacity (server: BackendServer): boolean {
    if (!this.#restricted.has(server.id)) return true
    const { backoff, inFlight } = this.state(server)
    return inFlight < backoff.concurrencyLimit(server.slots, nowMs())
  }

  /** The choice when every one of `servers` is in backoff or at its ramp-up limit; `undefined` when other reasons exclude them. */
  #backoffChoice (servers: readonly BackendServer[]): Choice | undefined {
    if (servers.length === 0 || servers.some(server => this.#hasCapacity(server))) return undefined
    const now = nowMs()
    const readyInMs = Math.min(...servers.map(server => this.state(server).backoff.leftMs(now)))
    if (readyInMs === 0) return { type: 'full', reason: 'servers that rested take requests one by one' }
    return { type: 'resting', readyInMs, reason: 'all servers asked for rest' }
  }

  #chooseEngine (servers: readonly BackendServer[], key: string, selection: SelectionRequest): Choice {
    const list = this.#engineList(selection.service.name)
    const context = this.#beginSelection(servers, key, selection)
    const candidates = servers === list.servers ? list.views : servers.map(({ id }) => list.views[list.positions.get(id) ?? -1]).filter(view => view !== undefined)
    const holders = this.#holders(list, key).filter(view => view.holds && (candidates === list.views || candidates.includes(view)))
    return chooseEngine({ candidates, holders, domain: this.domain, key: context.key, timeToObjectiveMs: selection.timeToObjectiveMs, adapterSlots: selection.service.engine?.adapterSlots })
  }

  /** The engines that hold any version of the key, in the order of the list. */
  #holders ({ views, positions }: EngineList, key: string): EngineView[] {
    const found: number[] = []
    for (const id of this.states.holders.of(key)) {
      const position = positions.get(id)
      if (position !== undefined) found.push(position)
    }
    return found.sort((a, b) => a - b).map(position => views[position]).filter(view => view !== undefined)
  }

  #engineList (service: string): EngineList {
    const servers = this.facts.eligibleServers(service)
    const { routes } = this.facts
    const known = this.#engineLists.get(service)
    if (known?.servers === servers && known.generation === this.states.generation && known.routes === routes) return known
    const options = { context: this.#selectionContext, limits: this.serverLimits, isFallback: (id: string) => this.facts.isFallback(id) }
    const views = servers.map(server => new EngineView(server, this.state(server), options))
    const list = { servers, views, positions: new Map(servers.map(({ id }, position) => [id, position])), generation: this.states.generation, routes }
    this.#engineLists.set(service, list)
    return list
  }

  get #selectionContext (): SelectionContext {
    this.#context ??= { round: 0, now: -Infinity, key: '', promptTokens: 0, outputTokens: 0, priority: 0, oldestVersion: 0, avoidLimited: false, paces: undefined, links: this.links() }
    return this.#context
  }

  #beginSelection (servers: readonly BackendServer[], key: string, { service, promptTokens, outputTokens = 0, priority }: SelectionRequest): SelectionContext {
    const context = this.#selectionContext
    const now = nowMs()
    context.round += 1
    if (now < context.now || now - context.now >= clockStepMs) context.now = now
    context.key = key
    context.promptTokens = promptTokens
    context.outputTokens = outputTokens
    context.priority = priority
    context.oldestVersion = this.#oldestUsableVersion(key, now)
    context.avoidLimited = !this.serverLimits.isEmpty && servers.some(server => this.serverLimits.state(server) === undefined)
    context.paces = this.pacesOf(service.name, now)
    context.links = this.links()
    return context
  }

  /** Records that the first byte of a response arrived. */
  recordFirstByte ({ sentAt, tokens, tokensAhead }: PendingRequest): void {
    const now = nowMs()
    if (tokensAhead < tokens * uncontendedShare) this.prefillRate.add(now - sentAt, tokens, now)
  }

  /** Estimated prefill time of so many prompt tokens, from recent requests over all engines. */
  prefillMs (tokens: number): number {
    return tokens * this.prefillRate.msPerToken(nowMs())
  }

  /**
   * Asks the side process of engine `ask` to load the key. `waiting`: how many requests wait for it. An engine without room keeps the
   * demand until a slot is free, as this entry withdraws it once another engine can load the key sooner.
   */
  requestLoad (ask: string, key: string, waiting: number, priority: number): void {
    const engine = this.facts.servers.get(ask)
    if (engine === undefined) return
    this.links().requestLoad(engine, { key, waiting, priority, version: this.facts.version(key)?.version, keep: this.#room(engine) === 0 })
  }

  /** Withdraws a demand for the key that waits for a slot, when no request waits for it any more. */
  withdrawDemand (key: string): void {
    this.links().withdraw(key)
  }

  /** Number of engines that could load no further adapter. */
  get enginesWithoutRoom (): number {
    return [...this.facts.servers.values()].filter(server => this.#room(server) === 0).length
  }

  #room (engine: BackendServer): number | undefined {
    return roomOf(engine, this.states.get(engine.id), this.links())
  }

  /** The version of the key that an engine holds; `undefined` if it holds none that may still be used. */
  heldVersion (server: BackendServer, key: string): number | undefined {
    const held = this.states.get(server.id)?.engineReport?.held.get(key)
    return held !== undefined && held >= this.#oldestUsableVersion(key, nowMs()) ? held : undefined
  }

  /** Corrects the state of an engine that refused a request because it doesn't hold the key. */
  recordNotHeld (server: BackendServer, key: string): void {
    const engineReport = this.states.get(server.id)?.engineReport
    if (engineReport === undefined) return
    const held = new Map(engineReport.held)
    held.delete(key)
    this.states.updateHeld(server.id, held)
    this.log.info('holding.corrected', { server: server.id, key, age: Math.round(nowMs() - engineReport.at) })
  }

  /** How the paces of the service's engines compare; `undefined` while these are about equally quick. */
  pacesOf (service: string, now = nowMs()): PaceComparison | undefined {
    const known = this.#paces.get(service)
    if (known !== undefined && now - known.at < paceComparisonMs) return known.comparison
    const paces = this.facts.eligibleServers(service).map(server => this.states.get(server.id)?.engineReport?.pace).filter(pace => pace !== undefined)
    const comparison = comparePaces(paces)
    this.#paces.set(service, { comparison, at: now })
    return comparison
  }

  /** The oldest version of the key that may be used. */
  #oldestUsableVersion (key: string, now: number): number {
    const newest = this.facts.version(key)
    if (newest === undefined) return 0
    return now - newest.learnedAt < this.limits().versionMs * previousVersionShare ? 0 : newest.version
  }

  #candidate (server: BackendServer, now: number): ServerCandidate {
    const state = this.state(server)
    return {
      id: server.id,
      hash: state.hash,
      domain: server.domain,
      load: state.load,
      slots: server.slots,
      unhealthy: state.outlier.ejected(now) || state.isUnresponsive(now),
      fallback: this.facts.isFallback(server.id),
      responseMs: state.responseMs(now)
    }
  }
}
