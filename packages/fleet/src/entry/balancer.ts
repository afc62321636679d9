/**
 * The balancer: turns what the entry believes into the options of a choice, and keeps the states they rest on.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { Limits } from '../ports.js'
import type { BackendServer } from '../server.js'
import type { FleetService } from '../table.js'
import { chooseEngine, choosePlain, type Choice, type EngineChoice, type EngineOption, type Option } from './choice.js'
import { ReadingPace } from './reading-pace.js'
import type { Pending, ServerState } from './server-state.js'
import { ServerStates } from './server-states.js'
import { noLimits, type LimitsView } from './server-limits.js'
import type { SideLinks } from './side-links.js'

/** What the balancer needs of the links to side processes. */
export type Placers = Pick<SideLinks, 'orderable' | 'warm' | 'awaits' | 'want' | 'usesChanged'>

/** With less to be read before it, a prompt's time is its own. */
const aloneShare = 0.1
/** In this time after a rest, a server gets no more first requests from all entries than it works on at once. */
const firstRequestsMs = 100
/** Where servers take next to nothing, callers are told no longer for each request that goes before theirs. */
const mostEveryMs = 5000
/** The part of the time allowed for a named version in which the one before it may still be used. */
const oldVersionShare = 0.4

/** What all options of one choice have in common. */
interface Sight {
  now: number
  /** The oldest version of the key that may be used. */
  oldest: number
  /** Nothing is newly brought to an engine that names a limit, as others don't. */
  sparing: boolean
}

export interface Asked {
  service: FleetService
  /** Adapter or model key; `undefined` at a plain service. */
  key: string | undefined
  /** Tokens of the prompt. */
  promptTokens: number
  /** Time left in which its first token is in time. */
  inTimeMs: number
  priority: number
  /** Servers that have refused this request. */
  excluded: ReadonlySet<string>
}

export class Balancer {
  readonly states = new ServerStates(id => this.links().usesChanged(id))
  /** Of prompts that met few others before them. */
  readonly pace = new ReadingPace()
  /** Servers that rest or have rested a moment ago. */
  readonly #resting = new Set<string>()

  constructor (
    private readonly facts: Facts,
    private readonly domain: string,
    private readonly limits: () => Limits,
    private readonly links: () => Placers,
    private readonly log: Log,
    /** How many entries there are, as far as is known. */
    private readonly entries: () => number = () => 1,
    /** Servers that name how many requests they take. */
    private readonly serverLimits: LimitsView = noLimits
  ) {}

  state (server: BackendServer): ServerState {
    const service = this.facts.routes?.service(server.service)
    return this.states.of(server, service?.maxConnections)
  }

  /**
   * A server that names a limit is chosen as any other while this entry may send it one; what it does not take goes to the rest
   * of its service.
   */
  choose (asked: Asked): Choice {
    if (this.serverLimits.none) return this.#chooseAmong(asked)
    const choice = this.#chooseAmong(asked)
    const server = choice.type === 'send' ? this.facts.servers.get(choice.id) : undefined
    if (server === undefined || this.serverLimits.state(server)?.ready !== false) return choice
    const other = this.#chooseAmong(asked, each => this.serverLimits.state(each)?.ready !== false)
    return other.type === 'none' || other.type === 'resting' ? this.limitedChoice(asked.service.name) ?? other : other
  }

  /**
   * Where the server that would be chosen names a limit: resolves once this entry may send it one, or others were asked. Gives the
   * id of a server that may be sent none.
   */
  async bringRequest (asked: Asked): Promise<string | undefined> {
    if (this.serverLimits.none) return undefined
    const choice = this.#chooseAmong(asked)
    const server = choice.type === 'send' ? this.facts.servers.get(choice.id) : undefined
    return server === undefined || await this.serverLimits.bring(server) ? undefined : server.id
  }

  /** When this entry may send a request to the first of the service's servers that name limits; `undefined` where none does. */
  limitedChoice (service: string): Extract<Choice, { type: 'limited' }> | undefined {
    const states = this.facts.openTo(service).map(server => this.serverLimits.state(server)).filter(state => state !== undefined)
    if (states.length === 0) return undefined
    const readyInMs = Math.min(...states.map(state => state.readyInMs))
    const perSecond = states.reduce((sum, state) => sum + state.perSecond, 0)
    return { type: 'limited', readyInMs, everyMs: Math.min(mostEveryMs, 1000 / perSecond), reason: 'all servers name limits' }
  }

  /** Whether the server names a limit. */
  isLimited (id: string): boolean {
    const server = this.facts.servers.get(id)
    return server !== undefined && this.serverLimits.state(server) !== undefined
  }

  #chooseAmong (asked: Asked, mayUse?: (server: BackendServer) => boolean): Choice {
    const all = this.facts.openTo(asked.service.name)
    const open = mayUse === undefined ? all : all.filter(mayUse)
    const left = asked.excluded.size === 0 ? open : open.filter(server => !asked.excluded.has(server.id))
    const servers = this.#resting.size === 0 ? left : left.filter(server => this.#hasRoom(server))
    if (servers.length === 0 && this.#resting.size > 0) {
      const rest = this.#restOf(left.length > 0 ? left : open)
      if (rest !== undefined) return rest
    }
    if (asked.key === undefined) return choosePlain(servers.map(server => this.#option(server, nowMs())), this.domain)
    return this.#chooseEngine(servers, asked.key, asked)
  }

  /**
   * A server wants no requests for a while. It binds this whole entry: with the one request that it came with bound alone, a
   * server that had asked for 3 s got 10 to 25 requests in each of them. `state`: of the life that asked; the next is free of it.
   */
  rest (server: BackendServer, state: ServerState, askedMs: number, request: string): void {
    if (this.states.get(server.id) !== state) return
    const { rest } = state
    const now = nowMs()
    const began = rest.ask(askedMs + Math.random() * this.#spreadMs(server), now)
    this.#resting.add(server.id)
    if (began) this.log.info('server.rests', { server: server.id, request, askedMs, untilMs: Math.round(rest.leftMs(now)) })
  }

  /** Servers that rest. */
  get resting (): number {
    const now = nowMs()
    return [...this.#resting].filter(id => this.states.get(id)?.rest.resting(now) === true).length
  }

  /** Whether a request may be written to the server now, as last told by the server itself. */
  mayTake (server: BackendServer): boolean {
    return this.facts.servers.get(server.id)?.leaving !== true && !this.state(server).rest.resting(nowMs())
  }

  /** The first requests of all entries after a rest are spread, so that a tenth of a second brings no more than the server works on at once. */
  #spreadMs ({ slots }: BackendServer): number {
    return this.entries() / slots * firstRequestsMs
  }

  /** Called now and then: while any server rests or has rested a moment ago, each choice looks at all servers. */
  expire (): void {
    const now = nowMs()
    for (const id of this.#resting) if (this.states.get(id)?.rest.over(now) !== false) this.#resting.delete(id)
  }

  #hasRoom (server: BackendServer): boolean {
    if (!this.#resting.has(server.id)) return true
    const { rest, inFlight } = this.state(server)
    return inFlight < rest.room(server.slots, nowMs())
  }

  /** What to do where none of `servers` has room after a rest; `undefined` where other things keep requests from them. */
  #restOf (servers: readonly BackendServer[]): Choice | undefined {
    if (servers.length === 0 || servers.some(server => this.#hasRoom(server))) return undefined
    const now = nowMs()
    const readyInMs = Math.min(...servers.map(server => this.state(server).rest.leftMs(now)))
    if (readyInMs === 0) return { type: 'full', reason: 'servers that rested take requests one by one' }
    return { type: 'resting', readyInMs, reason: 'all servers asked for rest' }
  }

  /** Looks at the holders first; only where none will do, at all engines. */
  #chooseEngine (servers: readonly BackendServer[], key: string, asked: Asked): Choice {
    const ids = this.states.holders.of(key)
    if (ids.size > 0 && ids.size < servers.length) {
      const choice = chooseEngine(this.#engineChoice(servers.filter(server => ids.has(server.id)), key, asked))
      if (choice.type === 'send' && choice.expectedMs < asked.inTimeMs) return choice
    }
    return chooseEngine(this.#engineChoice(servers, key, asked))
  }

  /** The answer to a request has begun. */
  heard ({ sentAt, tokens, tokensAhead }: Pending): void {
    const now = nowMs()
    if (tokensAhead < tokens * aloneShare) this.pace.add(now - sentAt, tokens, now)
  }

  /** How long reading so many prompt tokens takes, by what requests of late met at the engines. */
  readingMs (tokens: number): number {
    return tokens * this.pace.msPerToken(nowMs())
  }

  bring (ask: string, key: string, waiting: number, priority: number): void {
    const engine = this.facts.servers.get(ask)
    if (engine !== undefined) this.links().want(engine, key, waiting, priority, this.facts.version(key)?.version)
  }

  /** The version of the key that an engine holds, where it may be used. */
  heldVersion (server: BackendServer, key: string): number | undefined {
    const held = this.states.get(server.id)?.holding?.held.get(key)
    return held !== undefined && held >= this.#oldestUsable(key, nowMs()) ? held : undefined
  }

  /** An engine said that it doesn't hold what was asked for. */
  notHeld (server: BackendServer, key: string): void {
    const holding = this.states.get(server.id)?.holding
    if (holding === undefined) return
    const held = new Map(holding.held)
    held.delete(key)
    this.states.hold(server.id, held)
    this.log.info('holding.corrected', { server: server.id, key, age: Math.round(nowMs() - holding.at) })
  }

  #engineChoice (servers: readonly BackendServer[], key: string, asked: Asked): EngineChoice {
    const now = nowMs()
    const oldest = this.#oldestUsable(key, now)
    const sparing = !this.serverLimits.none && servers.some(server => this.serverLimits.state(server) === undefined)
    const options = servers.map(server => this.#engineOption(server, key, asked, { now, oldest, sparing }))
    return { options, domain: this.domain, key, inTimeMs: asked.inTimeMs }
  }

  /** The oldest version of the key that may be used. */
  #oldestUsable (key: string, now: number): number {
    const newest = this.facts.version(key)
    if (newest === undefined) return 0
    return now - newest.learnedAt < this.limits().versionMs * oldVersionShare ? 0 : newest.version
  }

  #option (server: BackendServer, now: number): Option {
    const state = this.state(server)
    return {
      id: server.id,
      hash: state.hash,
      domain: server.domain,
      load: state.load,
      slots: server.slots,
      doubtful: state.outlier.ejected(now) || state.silentAt(now),
      lapsed: this.facts.lapsed(server.id)
    }
  }

  /** Made for each engine and choice, so without copies; what few choices look at is worked out when they do. */
  #engineOption (server: BackendServer, key: string, { promptTokens, priority }: Asked, { now, oldest, sparing }: Sight): EngineOption {
    const state = this.state(server)
    const { holding } = state
    const links = this.links()
    const limits = this.serverLimits
    return {
      id: server.id,
      hash: state.hash,
      domain: server.domain,
      load: state.load,
      slots: server.slots,
      doubtful: state.outlier.ejected(now) || state.silentAt(now) || holding?.reachable === false,
      lapsed: this.facts.lapsed(server.id),
      holds: (holding?.held.get(key) ?? -1) >= oldest,
      expectedMs: state.expectedMs(promptTokens, priority, now),
      get coming () { return holding?.coming.has(key) === true || links.awaits(server, key) },
      get warm () { return links.warm(server, key) },
      get orderable () { return !(sparing && limits.state(server) !== undefined) && links.orderable(server, key) }
    }
  }
}
