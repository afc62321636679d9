/**
 * What an entry knows of each backend server from its own requests, and of each engine from its side process.
 */
import type { Agent } from 'node:http'
import { Outlier, Rest, hashOf, type OutlierLimits } from '@finchpitch/decisions'
import { nowMs } from '../clock.js'
import { serverAgent } from './connections.js'
import { ReadingPace } from './reading-pace.js'

/** Three failures in a row, or two in five over some ten requests, are far over what sound servers show (0.14). */
const outlierLimits: OutlierLimits = { inRow: 3, share: 0.4, least: 8, firstMs: 600, limitMs: 4000 }

/** A server that refused is fuller than it was thought to be, by this many requests, */
const refusedLoad = 2
/** for about as long as a request runs; a plain server never says that it has room again. */
const refusedMs = 250

export interface Holding {
  /** When it was told, on the steady clock. */
  at: number
  reachable: boolean
  held: ReadonlyMap<string, number>
  coming: ReadonlySet<string>
  waiting: number
  running: number
  /** Prompt tokens that requests of other entries have there, not read yet. */
  unread: number
}

/** A request that is being sent. */
export interface Start {
  key: string | undefined
  /** Silence up to here is ordinary. */
  patienceMs: number
  /** Tokens of its prompt; 0 where it has none. */
  tokens: number
  priority: number
}

/** One request at one server. */
export interface Pending {
  sentAt: number
  /** Tokens of its prompt, and those that were there to be read before it. */
  tokens: number
  tokensAhead: number
  priority: number
  /** Silence up to here is ordinary. */
  patienceMs: number
}

export class ServerState {
  readonly agent: Agent
  readonly outlier = new Outlier(outlierLimits)
  readonly rest = new Rest()
  readonly #pending = new Set<Pending>()
  readonly #unheard = new Set<Pending>()
  readonly hash: number
  /** Requests in progress on each adapter, and those begun since this was last told to its side process. */
  readonly uses = new Map<string, { started: number, running: number }>()
  holding: Holding | undefined
  /** Requests sent since the holding was told. */
  #sentSince = 0
  /** Prompt tokens of one's own requests there, not read yet. */
  #unread = 0
  readonly #pace = new ReadingPace()
  /** Engines read the prompts of urgent requests first, so each rank has a pace of its own. */
  readonly #paces = new Map<number, ReadingPace>()
  #refused = 0
  #refusedUntil = -Infinity

  /** `changed`: what its side process has to be told of its use. */
  constructor (readonly id: string, maxConnections: number, private readonly changed: (id: string) => void = () => {}, readonly bornAt?: number) {
    this.hash = hashOf(id)
    this.agent = serverAgent(maxConnections)
  }

  /** Follows the routing table, which may come after the server did. */
  limitConnections (maxConnections: number): void {
    this.agent.maxSockets = maxConnections
    this.agent.maxFreeSockets = maxConnections
  }

  get inFlight (): number {
    return this.#pending.size
  }

  /** Requests there, one's own at least. */
  get load (): number {
    const told = this.holding === undefined ? 0 : this.holding.running + this.holding.waiting
    const refused = nowMs() < this.#refusedUntil ? this.#refused : 0
    return Math.max(this.#pending.size, told + this.#sentSince) + refused
  }

  /** It refused a request, being full. */
  refusedOne (): void {
    const now = nowMs()
    if (now >= this.#refusedUntil) this.#refused = 0
    this.#refused += refusedLoad
    this.#refusedUntil = now + refusedMs
  }

  /** Prompt tokens of one's own requests there that are not read yet. */
  get unread (): number {
    return this.#unread
  }

  /** How long a request with so many prompt tokens would wait for its first token, were it sent now. */
  expectedMs (tokens: number, priority: number, now: number): number {
    return (this.#unreadAt(now) + tokens) * this.#paceOf(priority).msPerToken(now)
  }

  #paceOf (priority: number): ReadingPace {
    const known = this.#paces.get(priority)
    if (known !== undefined) return known
    const pace = new ReadingPace()
    this.#paces.set(priority, pace)
    return pace
  }

  /** All prompt tokens there to be read. Those of others are read on while nothing new is told of them. */
  #unreadAt (now: number): number {
    if (this.holding === undefined) return this.#unread
    const readSince = (now - this.holding.at) / this.#pace.msPerToken(now)
    return this.#unread + Math.max(0, this.holding.unread - readSince)
  }

  begin ({ key, patienceMs, tokens, priority }: Start): Pending {
    const now = nowMs()
    const pending = { sentAt: now, patienceMs, tokens, tokensAhead: this.#unreadAt(now), priority }
    this.#unread += tokens
    this.#pending.add(pending)
    this.#unheard.add(pending)
    this.#sentSince += 1
    if (key !== undefined) {
      const uses = this.uses.get(key) ?? { started: 0, running: 0 }
      uses.started += 1
      uses.running += 1
      this.uses.set(key, uses)
      this.changed(this.id)
    }
    return pending
  }

  /** The answer has begun. */
  heard (pending: Pending): void {
    if (!this.#unheard.delete(pending)) return
    this.#unread -= pending.tokens
    const now = nowMs()
    if (pending.tokens === 0) return
    this.changed(this.id)
    const tokens = pending.tokensAhead + pending.tokens
    this.#pace.add(now - pending.sentAt, tokens, now)
    this.#paceOf(pending.priority).add(now - pending.sentAt, tokens, now)
  }

  end (key: string | undefined, pending: Pending): void {
    this.#pending.delete(pending)
    if (this.#unheard.delete(pending)) this.#unread -= pending.tokens
    this.#sentSince = Math.max(0, this.#sentSince - 1)
    if (key === undefined) return
    const uses = this.uses.get(key)
    if (uses !== undefined) uses.running -= 1
    this.changed(this.id)
  }

  /** Requests there have met nothing but silence for longer than is ordinary. */
  silentAt (now: number): boolean {
    for (const pending of this.#unheard) {
      if (now - pending.sentAt > pending.patienceMs) return true
    }
    return false
  }

  tell (holding: Holding): void {
    this.holding = holding
    this.#sentSince = 0
    this.#refusedUntil = -Infinity
  }

  close (): void {
    this.agent.destroy()
  }
}
