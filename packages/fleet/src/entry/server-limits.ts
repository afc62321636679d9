/**
 * Servers that name how many requests a second they take from all entries together, as this entry knows them: by its own answers
 * and by what others tell.
 *
 * It binds at once and at every entry that hears of it, whatever becomes of the requests: first ones, repeats and resumed streams
 * are counted in the moment in which they are written. Each entry earns its share; what it does not need goes to those that do.
 */
import type { Log } from '@finchpitch/core'
import { AdvertisedLimits, sliceAgeMs, type AdvertisedLimit, type TokenSlice } from '@finchpitch/decisions'
import { mostLimits, type Channel, type FrameOf, type RequestAge, type RequestWant } from '@finchpitch/wire'
import { boottimeMs, nowMs } from '../clock.js'
import { sendKnownLimits, limitsFromFrame } from '../attempt-reports.js'
import { incarnationOf, limitKeyOf } from '../incarnation.js'
import type { BackendServer } from '../server.js'
import type { EntryCounters } from './counters.js'
import type { TryNewsExchange } from './try-news-exchange.js'
import { LimitAccount } from './limit-account.js'

/**
 * A server from which nothing was heard for so long may be sent one request, or an entry whose share never makes one would not
 * hear the end. Entries that hear nothing of each other do so one each three seconds.
 */
const quietMs = 10_000
const quietPerEntryMs = 3000

/** A server whose entry lapsed while the store was away is back within some seconds; one that is not listed for so long is gone. */
const unlistedMs = 30_000

/** Whose word it is where no other process told it. */
const ownAnswer = 'own answer'

/** One server under a limit. */
interface Limited {
  name: string
  /** Its service; `undefined` until a request asks for it. */
  service: string | undefined
  account: LimitAccount
  /** When it may be asked anew, on the steady clock. */
  quietUntil: number
  /** When it was last listed. */
  listedAt: number
}

/** What allows one request to be sent to a server. */
export type LimitPass = { type: 'free' } | { type: 'spent', account: LimitAccount, slices: TokenSlice[] } | { type: 'asking' }

/** Where one server's limit stands for a choice. */
export interface LimitState {
  ready: boolean
  readyInMs: number
  /** That this entry may send now. */
  perSecond: number
}

export interface ServerLimitsOptions {
  /** The most entries that may exist. */
  entries: () => number
  exchange: Pick<TryNewsExchange, 'tell'>
  /** Asks other entries for what is lacked; resolves with their answer, or after a moment. */
  exchanged: () => Promise<unknown>
  /** How many requests wait at this entry until a server of the service may be sent one. */
  waiting: (service: string) => number
  /** Another figure holds, or requests came: those that wait look again. */
  changed: () => void
  counters: EntryCounters
  log: Log
}

export class ServerLimits {
  readonly #ledger = new AdvertisedLimits()
  readonly #limited = new Map<string, Limited>()

  constructor (private readonly options: ServerLimitsOptions) {}

  /** No server names a limit, so nothing need be looked up. */
  get none (): boolean {
    return this.#limited.size === 0
  }

  get size (): number {
    return this.#limited.size
  }

  /** What an answer of the server said of its limit. `sentAt`: of its request, on the steady clock. */
  heard (server: BackendServer, perSecond: number | undefined, sentAt: number, request: string): void {
    if (perSecond === undefined || (perSecond === Infinity && this.none)) return
    const word = { server: incarnationOf(server), perSecond, sentAt, heardAt: nowMs() }
    if (this.#note(word, ownAnswer, request)) this.options.exchange.tell({ crashes: [], sound: [], limits: [word], probes: [] })
  }

  /** What a side process passes on. */
  take (frame: FrameOf<'crashes'>, from: string): void {
    for (const word of limitsFromFrame(frame)) this.#note(word, from)
  }

  /** Where the server's limit stands; `undefined` where it names none. */
  state (server: BackendServer): LimitState | undefined {
    const limited = this.#at(server)
    if (limited === undefined) return undefined
    const { account, quietUntil } = limited
    return { ready: account.ready > 0 || nowMs() >= quietUntil, readyInMs: account.readyInMs, perSecond: account.perSecond }
  }

  /**
   * A request would go there. Where this entry may send none now and others have some, resolves once they were asked. Says whether
   * it may be sent.
   */
  async bring (server: BackendServer): Promise<boolean> {
    const account = this.#at(server)?.account
    account?.demand()
    if (account !== undefined && account.ready === 0 && account.askable) await account.asking(this.options.exchanged)
    const ready = this.state(server)?.ready !== false
    if (!ready) this.options.counters.rateLimited.inc()
    return ready
  }

  /** A request is about to be written; `undefined` where the server takes none now. */
  pass (server: BackendServer): LimitPass | undefined {
    const limited = this.#at(server)
    if (limited === undefined) return { type: 'free' }
    const slices = limited.account.take()
    if (slices !== undefined) return { type: 'spent', account: limited.account, slices }
    if (nowMs() >= limited.quietUntil) {
      limited.quietUntil = this.#nextAsked()
      return { type: 'asking' }
    }
    this.options.counters.rateLimited.inc()
    return undefined
  }

  /** It was not written after all. */
  giveBack (pass: LimitPass): void {
    if (pass.type === 'spent') pass.account.give(pass.slices)
  }

  /** What is given to other entries where anything may be, and asked of them. */
  offers (giving: boolean): { gives: RequestAge[], wants: RequestWant[] } {
    const now = boottimeMs()
    const gives: RequestAge[] = []
    const wants: RequestWant[] = []
    for (const { name, service, account } of this.#limited.values()) {
      const waiting = this.#waitingFor(service)
      const wanted = account.wants(waiting)
      if (wanted > 0 && wants.length < mostLimits) wants.push([name, wanted, account.lifeMs])
      for (const slice of giving ? account.takeSurplus(waiting) : []) gives.push([name, slice.tokens, sliceAgeMs(slice, now)])
    }
    return { gives, wants }
  }

  /** Others gave `slices` of the requests that were `asked` for, by the names of the limits. */
  granted (slices: ReadonlyMap<string, TokenSlice[]>, asked: ReadonlyMap<string, number>): void {
    for (const { name, account } of this.#limited.values()) {
      const wanted = asked.get(name)
      if (wanted !== undefined) account.granted(slices.get(name) ?? [], wanted)
    }
    if (slices.size > 0) this.options.changed()
  }

  /** Called now and then, with all servers that are listed. */
  expire (listed: Iterable<BackendServer>): void {
    if (this.#ledger.size === 0) return
    const now = nowMs()
    this.#ledger.expire(now)
    const lives = new Set(Array.from(listed, incarnationOf))
    for (const [life, limited] of this.#limited) {
      if (lives.has(life)) limited.listedAt = now
      else if (now - limited.listedAt > unlistedMs) this.#ledger.remove(life)
      if (this.#ledger.perSecond(life) === Infinity) this.#limited.delete(life)
    }
  }

  /** All limits that hold, to a side process that was joined: it may have started anew. */
  greet (side: Channel): void {
    sendKnownLimits(this.#ledger, side)
  }

  #at (server: BackendServer): Limited | undefined {
    const limited = this.none ? undefined : this.#limited.get(incarnationOf(server))
    if (limited !== undefined) limited.service = server.service
    return limited
  }

  /** Its part of the requests that wait for any of the service's servers. */
  #waitingFor (service: string | undefined): number {
    if (service === undefined) return 0
    const servers = [...this.#limited.values()].filter(limited => limited.service === service).length
    return Math.ceil(this.options.waiting(service) / servers)
  }

  #nextAsked (): number {
    return nowMs() + quietMs + Math.random() * this.options.entries() * quietPerEntryMs
  }

  #note (word: AdvertisedLimit, from: string, request?: string): boolean {
    const { server } = word
    const before = this.#ledger.perSecond(server)
    const holds = this.#ledger.note(word)
    if (holds) this.#begin(word, { from, request, before: figureOf(before) })
    else this.#heardAgain(word, before)
    return holds
  }

  #begin ({ server, perSecond, heardAt }: AdvertisedLimit, source: { from: string, request: string | undefined, before: number | 'none' }): void {
    const { entries, log, changed } = this.options
    log.info('server.limited', { server, perSecond: figureOf(perSecond), ...source, agoMs: Math.round(nowMs() - heardAt), entries: entries() })
    if (perSecond === Infinity) this.#limited.delete(server)
    else this.#limited.set(server, { name: limitKeyOf(server, perSecond), service: undefined, account: new LimitAccount(perSecond, entries), quietUntil: this.#nextAsked(), listedAt: nowMs() })
    changed()
  }

  /** Nothing changed by the word: it says the same again, or is not surely newer than the figure that holds. Then one request finds out. */
  #heardAgain ({ server, perSecond }: AdvertisedLimit, before: number): void {
    const limited = this.#limited.get(server)
    if (limited !== undefined) limited.quietUntil = perSecond > before ? nowMs() : this.#nextAsked()
  }
}

/** As the log shows it. */
const figureOf = (perSecond: number): number | 'none' => perSecond === Infinity ? 'none' : perSecond

/** What those need to know who choose servers and exchange tokens. */
export type LimitsView = Pick<ServerLimits, 'none' | 'state' | 'bring' | 'offers' | 'granted'>

/** Where no server names a limit. */
export const noLimits: LimitsView = { none: true, state: () => undefined, bring: async () => true, offers: () => ({ gives: [], wants: [] }), granted: () => {} }
