/**
 * Shares the capacity of busy plain services among the entries.
 *
 * Handles many entries in front of few servers: an entry sees neither the load that the others cause nor that of a server, so
 * without this all of them send until the servers' queues are full. An entry notices a busy service by its response times and
 * refusals, and tells the others if it lacks tokens itself. A request without a token waits in the entry's queue, or is rejected
 * there. While a service is calm, nothing is enforced and nothing is exchanged.
 */
import type { Log } from '@finchpitch/core'
import { sliceAgeMs, type TokenSlice } from '@finchpitch/decisions'
import { maxServicesPerFrame, type AgedServiceRequests, type FrameOf, type ServiceShortfall } from '@finchpitch/wire'
import { boottimeMs, nowMs } from '../../clock.js'
import { noReports } from '../../attempt-reports.js'
import { CoalescingTimer } from '../../coalescing-timer.js'
import type { Facts } from '../../facts.js'
import type { BackendServer } from '../../server.js'
import type { EntryCounters } from '../counters.js'
import type { AttemptReporter } from '../peers/attempt-reporter.js'
import type { Choice } from './choice.js'
import { ServiceAccount, giveIntervalMs, type BusySign } from './service-account.js'

/** The number of slots is read again after this time. */
const slotsTtlMs = 250
/** Shortest interval of reconsidering requests that wait for a token. */
const minWakeMs = 10
/** A service is reported as busy to the other entries once in this time; the bank's answers name it meanwhile. */
const reportIntervalMs = 1000
/** Name under which requests without a team are counted. */
const noTeam = ''

export interface PlainServicesOptions {
  facts: Pick<Facts, 'routes' | 'eligibleServers'>
  /** An upper bound of the number of entries. */
  entries: () => number
  reporter: Pick<AttemptReporter, 'report'>
  /** Requests tokens from other entries. Resolves when that is answered or times out. */
  exchangeNow: () => Promise<unknown>
  /** Called when tokens were granted or earned, so that queued requests are reconsidered. */
  onChange: () => void
  counters: EntryCounters
  log: Log
}

type ServicesGrant = NonNullable<FrameOf<'quota_grant'>['services']>

/** The token of one request. */
export interface ServiceToken { account: ServiceAccount, slices: TokenSlice[] }

export class PlainServices {
  readonly #accounts = new Map<string, ServiceAccount>()
  readonly #wakeTimer = new CoalescingTimer(() => this.#wake())
  readonly #reportedAt = new Map<string, number>()
  /** Teams for which the last frame asked for tokens, by service. */
  #asked: ReadonlyMap<string, string[]> = new Map()
  #exchanging = false

  constructor (private readonly options: PlainServicesOptions) {
    const { counters } = options
    counters.serviceGauge('finchpitch_service_busy', 'Whether a plain service counts as busy.', () => this.#read(account => Number(account.isBusy)))
    counters.serviceGauge('finchpitch_service_capacity', 'Estimated capacity of a plain service, in requests per second from all entries.', () => this.#read(account => account.capacity))
    counters.serviceGauge('finchpitch_service_capacity_factor', 'Factor by which the estimated capacity is adapted to delays.', () => this.#read(({ estimate }) => estimate.factor))
    counters.serviceGauge('finchpitch_service_least_seconds', 'Least smoothed response time of a plain service.', () => this.#read(({ estimate }) => (estimate.serviceMs ?? 0) / 1000))
    counters.serviceGauge('finchpitch_service_smoothed_seconds', 'Smoothed response time of a plain service.', () => this.#read(({ estimate }) => estimate.smoothedMs / 1000))
  }

  /** Counts a request for the service. */
  recordDemand (service: string, team: string | undefined): void {
    this.#accounts.get(service)?.recordDemand(team ?? noTeam)
  }

  /** Records the time that a server took to respond. */
  recordResponse ({ service }: BackendServer, ms: number): void {
    const account = this.#dividedAccount(service)
    if (account?.recordResponse(ms) === true) this.#begin(service, account, 'delay')
  }

  /** Records that a server refused a request because it is full. */
  recordRefusal ({ service }: BackendServer): void {
    const account = this.#dividedAccount(service)
    if (account?.recordRefusal() === true) this.#begin(service, account, 'refusal')
  }

  /** Records the services that another entry reports as busy. */
  handleReport ({ busy = [] }: Pick<FrameOf<'crashes'>, 'busy'>, from: string): void {
    for (const service of busy) this.#recordReport(service, from)
  }

  /** Whether requests to the service need a token. */
  isEnforced (service: string): boolean {
    return this.#accounts.get(service)?.isEnforced === true
  }

  /** Whether a request of the team could be sent to the service now. While promised ones wait, it may be only one of those. */
  isReady (service: string, team = noTeam): boolean {
    return this.#enforced(service)?.isReady(team) !== false
  }

  /** When this entry may send requests of the team to the service; `undefined` if it needs no token for them. */
  limitedChoice (service: string, team = noTeam): Extract<Choice, { type: 'limited' }> | undefined {
    const account = this.#enforced(service)
    return account === undefined ? undefined : { type: 'limited', readyInMs: account.readyInMs(team), everyMs: account.everyMs(team), reason: 'the service is busy' }
  }

  /**
   * Takes the token for a request: `undefined` if it needs none, `false` if there is none. `promised`: its caller was promised
   * capacity, so that no token is kept from it for teams with less demand.
   */
  take (service: string, team = noTeam, promised = false): ServiceToken | undefined | false {
    const account = this.#enforced(service)
    if (account === undefined) return undefined
    const slices = account.take(team, promised)
    return slices === undefined ? false : { account, slices }
  }

  /** A request lacks a token: asks the other entries for theirs, and has the queue reconsidered when there may be one. */
  recordShortage (service: string, team = noTeam): void {
    const account = this.#enforced(service)
    if (account === undefined) return
    this.options.counters.rateLimited.inc()
    account.recordShortage()
    this.#reportIfDue(service, account)
    this.#wakeTimer.runWithin(Math.max(minWakeMs, account.retryInMs(team)))
  }

  /** Counts a request as waiting until the returned function is called. `promised`: its caller was promised capacity. */
  enterQueue (service: string, team = noTeam, promised = false): () => void {
    const account = this.#accounts.get(service)
    account?.countWaiting(team, 1, promised)
    if (account?.canExchange === true) this.#exchange()
    return () => account?.countWaiting(team, -1, promised)
  }

  /** Whether there is nothing to exchange. */
  get isIdle (): boolean {
    for (const account of this.#accounts.values()) if (account.isShared) return false
    return true
  }

  /** What to give to other entries, where `giving`, and what to request from them. */
  prepareExchange (giving: boolean): NonNullable<FrameOf<'quota'>['services']> {
    const now = boottimeMs()
    const gives: AgedServiceRequests[] = []
    const wants: ServiceShortfall[] = []
    const busy: string[] = []
    const shared = [...this.#accounts].filter(([, account]) => account.isShared).slice(0, maxServicesPerFrame)
    for (const [service, account] of shared) {
      const wanted = account.wants()
      if (wanted.length > 0) wants.push([service, wanted])
      for (const slice of giving ? account.takeSurplus() : []) gives.push([service, slice.tokens, sliceAgeMs(slice, now)])
      if (account.isReportDue) busy.push(service)
    }
    this.#asked = new Map(wants.map(([service, wanted]) => [service, wanted.map(([team]) => team)]))
    return { gives, wants, busy }
  }

  /** Adds what other entries granted, and records which services they find `busy`. */
  granted (slices: ReadonlyMap<string, TokenSlice[]>, { short, busy }: Pick<ServicesGrant, 'short' | 'busy'>, from: string): void {
    for (const service of busy) this.#recordReport(service, from)
    const shortTeams = new Map(short)
    for (const [service, account] of this.#accounts) account.granted(slices.get(service) ?? [], this.#asked.get(service) ?? [], shortTeams.get(service) ?? [])
    this.#asked = new Map()
    if (slices.size > 0) this.options.onChange()
  }

  /** Called periodically. */
  expire (): void {
    for (const [service, account] of this.#accounts) {
      if (!account.expire()) continue
      this.options.log.info('service.calm', { service, ...figuresOf(account) })
      this.options.onChange()
    }
  }

  close (): void {
    this.#wakeTimer.stop()
  }

  #enforced (service: string): ServiceAccount | undefined {
    const account = this.#accounts.get(service)
    return account?.isEnforced === true ? account : undefined
  }

  #dividedAccount (service: string): ServiceAccount | undefined {
    const account = this.#account(service)
    return account?.isDivided === true ? account : undefined
  }

  /** The account of a plain service; `undefined` for engines, whose side processes report their load. */
  #account (service: string): ServiceAccount | undefined {
    const known = this.#accounts.get(service)
    if (known !== undefined) return known
    const entry = this.options.facts.routes?.service(service)
    if (entry === undefined || entry.engine !== undefined) return undefined
    const account = new ServiceAccount(this.#slotsReader(service), this.options.entries)
    this.#accounts.set(service, account)
    return account
  }

  #slotsReader (service: string): () => number {
    let slots = 0
    let readAt = -Infinity
    return () => {
      const now = nowMs()
      if (now - readAt < slotsTtlMs) return slots
      readAt = now
      slots = this.options.facts.eligibleServers(service).reduce((sum, server) => sum + server.slots, 0)
      return slots
    }
  }

  #recordReport (service: string, from: string): void {
    const account = this.#dividedAccount(service)
    if (account?.recordReport() === true) this.#begin(service, account, 'reported', from)
    if (account?.isShared === true) this.#wakeTimer.runWithin(giveIntervalMs)
  }

  #begin (service: string, account: ServiceAccount, sign: BusySign, from?: string): void {
    this.options.log.info('service.busy', { service, sign, from, ...figuresOf(account), entries: this.options.entries() })
  }

  #reportIfDue (service: string, account: ServiceAccount): void {
    const now = nowMs()
    if (!account.isReportDue || now - (this.#reportedAt.get(service) ?? -Infinity) < reportIntervalMs) return
    this.#reportedAt.set(service, now)
    this.options.reporter.report({ ...noReports, busy: [service] })
  }

  #exchange (): void {
    if (this.#exchanging) return
    this.#exchanging = true
    for (const account of this.#accounts.values()) account.recordExchange()
    void this.options.exchangeNow().finally(() => { this.#exchanging = false })
  }

  /** Reconsiders waiting requests, and gives what others lack. */
  #wake (): void {
    for (const account of this.#accounts.values()) {
      if (!account.isEnforced) continue
      if (account.isGiftDue || account.canExchange) this.#exchange()
      if (account.isShared) this.#wakeTimer.runWithin(giveIntervalMs)
    }
    this.options.onChange()
  }

  #read (value: (account: ServiceAccount) => number): Array<[service: string, value: number]> {
    return [...this.#accounts].map(([service, account]) => [service, value(account)])
  }
}

const figuresOf = ({ capacity, estimate }: ServiceAccount): Record<string, number | undefined> => ({
  capacity: Math.round(capacity),
  factor: Math.round(estimate.factor * 100) / 100,
  leastMs: estimate.serviceMs === undefined ? undefined : Math.round(estimate.serviceMs),
  smoothedMs: Math.round(estimate.smoothedMs)
})

/** The part that the selection of servers uses. */
export type PlainServicesView = Pick<PlainServices, 'isEnforced' | 'isReady' | 'limitedChoice'>

/** No service is busy. */
export const noBusyServices: PlainServicesView = { isEnforced: () => false, isReady: () => true, limitedChoice: () => undefined }
