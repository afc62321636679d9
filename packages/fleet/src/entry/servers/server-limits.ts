/**
 * Enforces the limits of servers that advertise how many requests per second they accept from all entries together.
 *
 * An entry learns of a limit from a response of the server or from the reports of other entries, and applies it at once. First
 * attempts, retries and resumed streams count alike, when they are written and whatever their outcome. Each entry earns an
 * equal share of the limit, and gives what it doesn't need to entries that do.
 */
import type { Log } from '@finchpitch/core'
import { AdvertisedLimits, RecheckTimer, sliceAgeMs, type AdvertisedLimit, type TokenSlice } from '@finchpitch/decisions'
import { maxLimitsPerFrame, type Channel, type FrameOf, type AgedRequests, type RequestShortfall } from '@finchpitch/wire'
import { boottimeMs, nowMs } from '../../clock.js'
import { sendKnownLimits, limitsFromFrame } from '../../attempt-reports.js'
import { incarnationOf, limitKeyOf } from '../../incarnation.js'
import type { BackendServer } from '../../server.js'
import type { EntryCounters } from '../counters.js'
import type { AttemptReporter } from '../peers/attempt-reporter.js'
import { LimitAccount } from './limit-account.js'

/**
 * After this time without a statement from a server, one request may be sent to it beyond its limit. Otherwise an entry whose
 * share never adds up to a request would not notice that the limit has ended. The time is randomized so that entries without
 * contact to each other together send about one such request every three seconds. Entries in contact report that a limit was
 * confirmed, and all of them wait anew. Without these reports, 68 entries sent up to six such requests in 4 s.
 */
const silenceMs = 10_000
const silencePerEntryMs = 3000

/** A server whose registration expired during a store outage is listed again within seconds; one missing for this long is gone. */
const unlistedMs = 30_000

/** Source in the log of a limit that this entry read from a response itself. */
const ownAnswer = 'own answer'

/** A server with a limit. */
interface LimitedServer {
  /** Names the limit in exchanges. */
  name: string
  perSecond: number
  /** `undefined` until a request selects the server. */
  service: string | undefined
  account: LimitAccount
  /** When a request beyond the limit may check whether it still holds. */
  recheck: RecheckTimer
  /** Whether a request beyond the limit was sent since the server last stated it. */
  rechecking: boolean
  /** When the server was last listed. */
  listedAt: number
}

/** Permission to send one request to a server. */
export type SendPermit = { type: 'unlimited' } | { type: 'charged', account: LimitAccount, slices: TokenSlice[] } | { type: 'recheck' }

/** State of one server's limit, for the selection of a server. */
export interface LimitState {
  /** Whether a request may be sent now. */
  ready: boolean
  readyInMs: number
  /** Requests per second that this entry may send. */
  perSecond: number
}

export interface ServerLimitsOptions {
  /** An upper bound of the number of entries. */
  entries: () => number
  reporter: Pick<AttemptReporter, 'report'>
  /** Requests tokens from other entries. Resolves when that is answered or times out. */
  exchangeNow: () => Promise<unknown>
  /** Number of requests queued at this entry until a rate-limited server of the service may be sent one. */
  waiting: (service: string) => number
  /** Called when a limit changes or tokens were granted, so that queued requests are reconsidered. */
  onChange: () => void
  counters: EntryCounters
  log: Log
}

export class ServerLimits {
  readonly #advertised = new AdvertisedLimits()
  /** By incarnation of the server. */
  readonly #limited = new Map<string, LimitedServer>()

  constructor (private readonly options: ServerLimitsOptions) {}

  /** Whether no server has a limit, so that lookups can be skipped. */
  get isEmpty (): boolean {
    return this.#limited.size === 0
  }

  /** Number of servers with a limit. */
  get size (): number {
    return this.#limited.size
  }

  /** Records the limit that a response stated, `Infinity` for none. `sentAt`: when its request was sent, on the monotonic clock. */
  recordStatement (server: BackendServer, perSecond: number | undefined, sentAt: number, request: string): void {
    if (perSecond === undefined || (perSecond === Infinity && this.isEmpty)) return
    const limit = { server: incarnationOf(server), perSecond, sentAt, heardAt: nowMs() }
    const limited = this.#limited.get(limit.server)
    const confirms = limited?.rechecking === true
    if (limited !== undefined) limited.rechecking = false
    const changed = this.#record(limit, ownAnswer, request)
    if (changed || (confirms && perSecond === this.#advertised.perSecond(limit.server))) this.options.reporter.report({ crashes: [], sound: [], limits: [limit], probes: [] })
  }

  /** Records the reports of other entries that a side process relays. */
  handleReport (frame: FrameOf<'crashes'>, from: string): void {
    for (const limit of limitsFromFrame(frame)) this.#record(limit, from)
  }

  /** State of the server's limit; `undefined` if it has none. */
  state (server: BackendServer): LimitState | undefined {
    const limited = this.#find(server)
    if (limited === undefined) return undefined
    const { account, recheck } = limited
    return { ready: account.ready > 0 || recheck.isDue(nowMs()), readyInMs: account.readyInMs, perSecond: account.perSecond }
  }

  /**
   * Counts a request that selected the server. If this entry has no token left but others may, waits for an exchange. Returns
   * whether the request may be sent.
   */
  async awaitCapacity (server: BackendServer): Promise<boolean> {
    const limited = this.#find(server)
    const account = limited?.account
    account?.recordDemand()
    if (account !== undefined && account.ready === 0 && account.canExchange) await account.awaitExchange(this.options.exchangeNow)
    if (account?.ready === 0) limited?.recheck.recordDemand(nowMs())
    const ready = this.state(server)?.ready !== false
    if (!ready) this.options.counters.rateLimited.inc()
    return ready
  }

  /** Takes the permission to write one request; `undefined` if the limit allows none now. */
  acquire (server: BackendServer): SendPermit | undefined {
    const limited = this.#find(server)
    if (limited === undefined) return { type: 'unlimited' }
    const slices = limited.account.take()
    if (slices !== undefined) return { type: 'charged', account: limited.account, slices }
    if (limited.recheck.isDue(nowMs())) {
      limited.recheck = this.#nextRecheck()
      limited.rechecking = true
      this.options.log.info('server.limit_rechecked', { server: incarnationOf(server), perSecond: limited.perSecond })
      return { type: 'recheck' }
    }
    this.options.counters.rateLimited.inc()
    return undefined
  }

  /** Returns the permission of a request that was not written. */
  release (permit: SendPermit): void {
    if (permit.type === 'charged') permit.account.deposit(permit.slices)
  }

  /** What to give to other entries, where `giving`, and what to request from them. */
  prepareExchange (giving: boolean): { gives: AgedRequests[], wants: RequestShortfall[] } {
    const now = boottimeMs()
    const gives: AgedRequests[] = []
    const wants: RequestShortfall[] = []
    for (const { name, service, account } of this.#limited.values()) {
      const queued = this.#queuedFor(service)
      const wanted = account.wants(queued)
      if (wanted > 0 && wants.length < maxLimitsPerFrame) wants.push([name, wanted, account.lifetimeMs])
      for (const slice of giving ? account.takeSurplus(queued) : []) gives.push([name, slice.tokens, sliceAgeMs(slice, now)])
    }
    return { gives, wants }
  }

  /** Adds what other entries granted of the `asked` requests, both by the name of the limit. */
  granted (slices: ReadonlyMap<string, TokenSlice[]>, asked: ReadonlyMap<string, number>): void {
    for (const { name, account } of this.#limited.values()) {
      const wanted = asked.get(name)
      if (wanted !== undefined) account.granted(slices.get(name) ?? [], wanted)
    }
    if (slices.size > 0) this.options.onChange()
  }

  /** Called periodically, with all listed servers. */
  expire (listed: Iterable<BackendServer>): void {
    if (this.#advertised.size === 0) return
    const now = nowMs()
    this.#advertised.expire(now)
    const incarnations = new Set(Array.from(listed, incarnationOf))
    for (const [incarnation, limited] of this.#limited) {
      if (incarnations.has(incarnation)) limited.listedAt = now
      else if (now - limited.listedAt > unlistedMs) this.#advertised.remove(incarnation)
      if (this.#advertised.perSecond(incarnation) === Infinity) this.#limited.delete(incarnation)
    }
  }

  /** Sends all limits in effect to a side process that has connected, since it may have restarted. */
  sendAll (side: Channel): void {
    sendKnownLimits(this.#advertised, side)
  }

  /** The server's limit, if it has one. Learns the server's service, which reports don't contain. */
  #find (server: BackendServer): LimitedServer | undefined {
    const limited = this.isEmpty ? undefined : this.#limited.get(incarnationOf(server))
    if (limited !== undefined) limited.service = server.service
    return limited
  }

  /** One server's part of the requests queued for any rate-limited server of its service. */
  #queuedFor (service: string | undefined): number {
    if (service === undefined) return 0
    const servers = [...this.#limited.values()].filter(limited => limited.service === service).length
    return Math.ceil(this.options.waiting(service) / servers)
  }

  #nextRecheck (): RecheckTimer {
    return new RecheckTimer(nowMs(), silenceMs, Math.random() * this.options.entries() * silencePerEntryMs)
  }

  /** Returns whether that changed the limit in effect. */
  #record (limit: AdvertisedLimit, from: string, request?: string): boolean {
    const { server } = limit
    const before = this.#advertised.perSecond(server)
    const changed = this.#advertised.note(limit)
    if (changed) this.#apply(limit, { from, request, before: loggedRate(before) })
    else this.#recordUnchanged(limit, before)
    return changed
  }

  /** Puts a new limit into effect, or ends the server's limit. */
  #apply ({ server, perSecond, heardAt }: AdvertisedLimit, source: { from: string, request: string | undefined, before: number | 'none' }): void {
    const { entries, log, onChange } = this.options
    log.info('server.limited', { server, perSecond: loggedRate(perSecond), ...source, agoMs: Math.round(nowMs() - heardAt), entries: entries() })
    if (perSecond === Infinity) this.#limited.delete(server)
    else this.#limited.set(server, { name: limitKeyOf(server, perSecond), perSecond, service: undefined, account: new LimitAccount(perSecond, entries), recheck: this.#nextRecheck(), rechecking: false, listedAt: nowMs() })
    onChange()
  }

  /**
   * Handles a statement that changed nothing: it repeats the limit in effect, or isn't certainly more recent. If it was the
   * higher one, a request may check at once which of them holds.
   */
  #recordUnchanged ({ server, perSecond }: AdvertisedLimit, before: number): void {
    const limited = this.#limited.get(server)
    if (limited !== undefined) limited.recheck = perSecond > before ? new RecheckTimer(nowMs(), 0, 0) : this.#nextRecheck()
  }
}

const loggedRate = (perSecond: number): number | 'none' => perSecond === Infinity ? 'none' : perSecond

/** The part that the selection of servers and the exchange of tokens use. */
export type LimitsView = Pick<ServerLimits, 'isEmpty' | 'state' | 'awaitCapacity' | 'prepareExchange' | 'granted'>

/** No server has a limit. */
export const noLimits: LimitsView = { isEmpty: true, state: () => undefined, awaitCapacity: async () => true, prepareExchange: () => ({ gives: [], wants: [] }), granted: () => {} }
