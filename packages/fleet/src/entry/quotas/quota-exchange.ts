/**
 * Exchanges rate-limit tokens with other entries: tokens of teams' quotas, requests under limits that servers advertise, requests to
 * busy plain services, and retries.
 *
 * Tokens are pooled in a bank, a side process that all entries choose by rendezvous hashing (`quota-bank.ts`). Entries exchange
 * several times per second while there is a quota, a limit, a busy service or a lack of retries, and at once when a request is short of tokens. If the bank
 * doesn't answer, the next side process becomes the bank, and until then each entry spends its own share.
 */
import { sliceAgeMs, totalTokens, type TokenSlice } from '@finchpitch/decisions'
import { pause, type Log } from '@finchpitch/core'
import type { Channel, FrameOf, AgedTokens, ServiceTokenDemand, TokenDemand, TokenShortfall } from '@finchpitch/wire'
import { boottimeMs, afterSocketReads } from '../../clock.js'
import { RendezvousSelector } from '../peers/rendezvous-selector.js'
import { Cancellation, cancelledWithin } from '../serving/cancellation.js'
import type { Quotas } from './quotas.js'
import type { TeamAccount } from './team-account.js'
import type { LimitsView } from '../servers/server-limits.js'
import type { PlainServices } from '../servers/plain-services.js'
import type { RetryBudget } from '../waiting/retry-budget.js'

const exchangeMs = 250
/** The first exchanges after a start follow sooner: entries without demand can give their tokens only from the second one on. */
const startExchangeMs = 60
const startExchanges = 3
/** A side process answers within a few ms. */
const answerTimeoutMs = 400
/** A side process that didn't answer is skipped for this long. */
const skipMs = 2000
/** The longest time that requests wait for an answer: a quarter of the shortest objective of streams. Most answers take 2 to 20 ms. */
const maxWaitMs = 150
/**
 * Maximum number of teams whose tokens are given in one frame; teams whose tokens other entries need come first. A slice takes
 * 20 bytes: one of each team, in four frames per second, takes 2.5 KB/s.
 */
const maxTeamsGiven = 32
/** Maximum number of teams whose tokens are requested in one frame. */
const maxTeamsWanted = 200

export interface QuotaExchangeOptions {
  quotas: Quotas
  serverLimits: LimitsView
  plainServices?: Pick<PlainServices, 'isIdle' | 'prepareExchange' | 'granted'>
  retries?: Pick<RetryBudget, 'isIdle' | 'prepareExchange' | 'granted'>
  /** Hosts of all side processes. */
  hosts: () => readonly string[]
  /** The channel to a side process; starts to open one if there is none. */
  channelTo: (host: string) => Channel | undefined
  log: Log
}

/** The bank's last stamp, which the next frame returns, so that the bank can bound the time that the frame was in transit. */
interface Echo { stamp: number, receivedAt: number }

export class QuotaExchange {
  #bank: string | undefined
  readonly #rendezvous = new RendezvousSelector({ purpose: 'quota', skipMs, now: boottimeMs })
  /** By channel, since a restarted side process has another clock. */
  readonly #echoes = new WeakMap<Channel, Echo>()
  /** Whether a request waits for the answer to the next frame. */
  #sendRequested = false
  /** Teams whose tokens other entries need, as the bank last reported. */
  #teamsInNeed: ReadonlySet<string> = new Set()
  /** Stamp of the first frame since the last answer. */
  #sentAt: number | undefined
  #lastSentAt = -Infinity
  #sentCount = 0
  /** Tokens that the last frame asked for, by team. */
  readonly #askedByTeam = new Map<string, number>()
  /** Requests that the last frame asked for, by limit. */
  #askedByLimit: ReadonlyMap<string, number> = new Map()
  /** Cancelled when the last frame, or the next one, is answered: the requests that wait for the answer then go on. */
  #answered = new Cancellation()
  #nextAnswered = new Cancellation()

  constructor (private readonly options: QuotaExchangeOptions) {}

  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isStarting = this.options.quotas.accounts.size > 0 && this.#sentCount < startExchanges
      await pause(isStarting ? startExchangeMs : exchangeMs, signal)
      await this.#tick()
    }
  }

  /** Requests at once whatever this entry is short of. Resolves when that is answered or times out. Returns whether it was answered. */
  async exchangeNow (): Promise<boolean> {
    const answered = this.#nextAnswered
    this.#sendRequested = true
    if (this.#sentAt === undefined || boottimeMs() - this.#lastSentAt >= maxWaitMs) this.#send()
    if (this.#sentAt === undefined) return false
    await cancelledWithin(maxWaitMs, answered)
    if (!answered.cancelled) await afterSocketReads()
    return answered.cancelled
  }

  /** Handles an answer of the side process at `host`. Grants count even if it is no longer the bank. */
  handleGrant (host: string, channel: Channel, frame: FrameOf<'quota_grant'>): void {
    const now = boottimeMs()
    this.#echoes.set(channel, { stamp: frame.bankStamp, receivedAt: now })
    const granted = slicesOf(frame.grants, frame.stamp, now)
    const requests = slicesOf(frame.servers ?? [], frame.stamp, now)
    for (const [team, slices] of granted) this.options.quotas.accounts.get(team)?.granted(slices)
    if (host !== this.#bank) return
    this.options.serverLimits.granted(requests, this.#askedByLimit)
    this.#grantServices(host, frame, now)
    if (frame.retries !== undefined) this.options.retries?.granted(slicesOf(frame.retries.grants, frame.stamp, now), frame.retries.lacking)
    this.#askedByLimit = new Map()
    this.#teamsInNeed = new Set(frame.needed)
    this.#sentAt = undefined
    this.#reportDemand(frame)
    this.#reportAnswers(granted)
    this.#answered.cancel()
    if (this.#sendRequested) this.#send()
  }

  /** Tells the accounts the demand at all entries. */
  #reportDemand ({ demand = [], serviceDemand = [], left = [] }: FrameOf<'quota_grant'>): void {
    for (const [team, perSecond] of demand) {
      const byService = new Map<string, number>()
      for (const [name, service, asked] of serviceDemand) if (name === team) byService.set(service, asked)
      this.options.quotas.accounts.get(team)?.noteTotalDemand({ perSecond, byService, left: left.find(([name]) => name === team)?.[1] })
    }
  }

  /** Tells the accounts how much they were granted of what they asked for. */
  #reportAnswers (granted: ReadonlyMap<string, TokenSlice[]>): void {
    for (const [team, asked] of this.#askedByTeam) this.options.quotas.accounts.get(team)?.answered(asked, totalTokens(granted.get(team) ?? []))
    this.#askedByTeam.clear()
  }

  async #tick (): Promise<void> {
    if (this.#isIdle) return
    this.options.quotas.logEndedShortages()
    // After a stall of this process, the answer may be waiting in the socket.
    if (this.#overdue) await afterSocketReads()
    if (this.#overdue) this.#skipBank()
    if (this.#sentAt === undefined) this.#send()
  }

  /** Whether there is nothing to exchange. */
  get #isIdle (): boolean {
    const { quotas, serverLimits, plainServices, retries } = this.options
    return quotas.accounts.size === 0 && serverLimits.isEmpty && plainServices?.isIdle !== false && retries?.isIdle !== false
  }

  get #overdue (): boolean {
    return this.#sentAt !== undefined && boottimeMs() - this.#sentAt >= answerTimeoutMs
  }

  #skipBank (): void {
    if (this.#bank !== undefined) this.#rendezvous.skip(this.#bank)
    this.#sentAt = undefined
  }

  #chooseBank (): string | undefined {
    const bank = this.#rendezvous.choose(this.options.hosts())
    if (bank !== this.#bank) this.options.log.info('quota.bank_changed', { host: bank, before: this.#bank })
    this.#bank = bank
    return bank
  }

  #send (): void {
    const bank = this.#chooseBank()
    const channel = bank === undefined ? undefined : this.options.channelTo(bank)
    if (channel === undefined) return
    const frame = this.#buildFrame(channel)
    this.#sendRequested = false
    channel.send(frame)
    this.#sentAt ??= frame.stamp
    this.#lastSentAt = frame.stamp
    this.#sentCount += 1
    this.#answered = this.#nextAnswered
    this.#nextAnswered = new Cancellation()
  }

  #buildFrame (channel: Channel): FrameOf<'quota'> {
    const now = boottimeMs()
    const echo = this.#echoes.get(channel)
    const wants: TokenShortfall[] = []
    const demand: TokenDemand[] = []
    const serviceDemand: ServiceTokenDemand[] = []
    const surplus: Array<[team: string, account: TeamAccount]> = []
    this.#askedByTeam.clear()
    for (const [team, account] of this.options.quotas.accounts) {
      const pooling = echo !== undefined && account.isPoolingAt(now)
      const { tokens, returning, waiting } = account.shortfall(pooling, now)
      if (tokens === 0 || pooling) surplus.push([team, account])
      if (tokens > 0 && wants.length < maxTeamsWanted) {
        wants.push(returning + waiting > 0 ? [team, tokens, returning, waiting] : [team, tokens])
        this.#askedByTeam.set(team, tokens)
      }
      if (tokens > 0 || account.isOverQuotaAt(now)) demand.push([team, account.demandAt(now)])
      for (const [service, perSecond] of account.serviceDemandAt(now)) serviceDemand.push([team, service, perSecond])
    }
    const echoed = echo === undefined ? {} : { echo: { stamp: echo.stamp, heldMs: now - echo.receivedAt } }
    const given = echo === undefined ? { gives: [] } : { ...this.#bookedPart(now), gives: this.#surplusOf(surplus, now) }
    return { type: 'quota', stamp: now, ...echoed, ...given, wants, ...(demand.length === 0 ? {} : { demand }), ...(serviceDemand.length === 0 ? {} : { serviceDemand }), ...this.#limitsPart(echo !== undefined), ...this.#servicesPart(echo !== undefined), ...this.#retriesPart(echo !== undefined) }
  }

  /** Takes what these teams don't need here, first of teams whose tokens other entries need. */
  #surplusOf (accounts: Array<[team: string, account: TeamAccount]>, now: number): AgedTokens[] {
    if (this.#teamsInNeed.size > 0) accounts.sort(([a], [b]) => Number(this.#teamsInNeed.has(b)) - Number(this.#teamsInNeed.has(a)))
    return accounts.slice(0, maxTeamsGiven).flatMap(([team, account]) => account.takeSurplus(now).map(toAge(team, now)))
  }

  /** Tokens set aside for returning callers. */
  #bookedPart (now: number): Pick<FrameOf<'quota'>, 'booked'> {
    const booked: AgedTokens[] = []
    for (const [team, account] of this.options.quotas.accounts) for (const slice of account.takeBooked(now)) booked.push(toAge(team, now)(slice))
    return booked.length === 0 ? {} : { booked }
  }

  /** The part of a frame about busy plain services. */
  #servicesPart (giving: boolean): Pick<FrameOf<'quota'>, 'services'> {
    const { plainServices } = this.options
    return plainServices === undefined || plainServices.isIdle ? {} : { services: plainServices.prepareExchange(giving) }
  }

  /** The part of a frame about retries, while some entry lacks some. */
  #retriesPart (giving: boolean): Pick<FrameOf<'quota'>, 'retries'> {
    const { retries } = this.options
    return retries === undefined || retries.isIdle ? {} : { retries: retries.prepareExchange(giving) }
  }

  #grantServices (host: string, { services, stamp }: FrameOf<'quota_grant'>, now: number): void {
    if (services !== undefined) this.options.plainServices?.granted(slicesOf(services.grants, stamp, now), services, host)
  }

  /** The part of a frame about servers' limits. Without an echo nothing is given, as the bank can't bound the transit time. */
  #limitsPart (giving: boolean): Pick<FrameOf<'quota'>, 'servers'> {
    const { serverLimits } = this.options
    if (serverLimits.isEmpty) return {}
    const { gives, wants } = serverLimits.prepareExchange(giving)
    this.#askedByLimit = new Map(wants.map(([limit, count]) => [limit, count]))
    return { servers: { gives, wants } }
  }
}

const toAge = (team: string, now: number) => (slice: TokenSlice): AgedTokens => [team, slice.tokens, sliceAgeMs(slice, now)]

/** Granted tokens by team or limit, on this process's clock. Their ages hold for the time of the answer, which is later than the stamp. */
const slicesOf = (grants: readonly AgedTokens[], stamp: number, now: number): Map<string, TokenSlice[]> => {
  const byName = new Map<string, TokenSlice[]>()
  for (const [name, tokens, ageMs] of grants) {
    const slices = byName.get(name) ?? []
    slices.push({ tokens, earnedAt: Math.min(now, stamp) - ageMs })
    byName.set(name, slices)
  }
  return byName
}
