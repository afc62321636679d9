/**
 * The exchange of tokens with other entries, of teams' quotas and of limits that servers name, through one side process that all
 * choose by the same hashing.
 *
 * It goes on several times a second while there is a quota or a limit, and at once where a request lacks tokens. Without an answer
 * the next side process is asked; meanwhile each entry lives on its share.
 */
import { setMaxListeners } from 'node:events'
import { sliceAgeMs, totalTokens, type TokenSlice } from '@finchpitch/decisions'
import { pause, type Log } from '@finchpitch/core'
import type { Channel, FrameOf, TokenAge } from '@finchpitch/wire'
import { boottimeMs, afterSocketReads } from '../clock.js'
import { MeetingPlace } from './meeting-place.js'
import type { Quotas, TeamAccount } from './quotas.js'
import type { LimitsView } from './server-limits.js'

const exchangeMs = 250
/** A side process answers within some ms. */
const answerMs = 400
/** One that did not answer isn't asked for this long. */
const passedByMs = 2000
/** A request waits for tokens of others no longer, a quarter of the shortest objective of streams; most answers take 2 to 20 ms. */
const bringMs = 150
/** A team that was found to be short is not asked for again at once by each of its requests. */
const shortMs = 60
/** With this part of what was asked for, a team counts as not short: the rest is rounding. */
const metShare = 0.99
/** Of so many teams one frame tells, those that were short of late first: 16 slices of 20 bytes each, four times a second, are 2.5 KB/s. */
const mostGiven = 32
const mostWanted = 200

export interface QuotaExchangeOptions {
  quotas: Quotas
  serverLimits: LimitsView
  /** Hosts of all side processes. */
  hosts: () => readonly string[]
  /** The channel to a side process; opens one where there is none yet. */
  channelTo: (host: string) => Channel | undefined
  log: Log
}

/** As many wait for it as there are requests that lack something; there is no leak to be warned of. */
const answerSignal = (): AbortController => {
  const answered = new AbortController()
  setMaxListeners(0, answered.signal)
  return answered
}

interface Echo { stamp: number, cameAt: number }

export class QuotaExchange {
  #bank: string | undefined
  readonly #meeting = new MeetingPlace({ matter: 'quota', passedByMs, now: boottimeMs })
  /** By channel, since a side process that starts again has another clock. */
  readonly #echoes = new WeakMap<Channel, Echo>()
  readonly #short = new Map<string, number>()
  /** What requests lack that wait: asked for with the next frame. */
  readonly #urgent = new Map<string, number>()
  /** What the last frame asked for because of such requests. */
  readonly #urged = new Map<string, number>()
  /** Some request waits for the answer to the next frame. */
  #due = false
  #needed: ReadonlySet<string> = new Set()
  #sentAt: number | undefined
  /** What the last frame asked for of servers' limits. */
  #askedServers: ReadonlyMap<string, number> = new Map()
  /** Aborts with the answer to what was sent last, and to what is sent next. */
  #answered = answerSignal()
  #nextAnswered = answerSignal()

  constructor (private readonly options: QuotaExchangeOptions) {}

  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(exchangeMs, signal)
      await this.#tick()
    }
  }

  /** Asks for tokens at once; resolves with the answer, or after a moment. Says whether it is of use to ask again. */
  async bring (team: string, tokens: number): Promise<boolean> {
    if (this.#isShort(team)) return false
    this.#urgent.set(team, tokens + (this.#urgent.get(team) ?? 0))
    return await this.exchanged() && !this.#isShort(team)
  }

  /** Asks for what is lacked by now, at once; resolves with the answer, or after a moment. Says whether it was answered. */
  async exchanged (): Promise<boolean> {
    const { signal } = this.#nextAnswered
    this.#due = true
    if (this.#sentAt === undefined) this.#send()
    if (this.#sentAt === undefined) return false
    await pause(bringMs, signal)
    if (!signal.aborted) await afterSocketReads()
    return signal.aborted
  }

  take (host: string, channel: Channel, frame: FrameOf<'quota_grant'>): void {
    const now = boottimeMs()
    this.#echoes.set(channel, { stamp: frame.bankStamp, cameAt: now })
    const granted = slicesOf(frame.grants, frame.stamp, now)
    const servers = slicesOf(frame.servers ?? [], frame.stamp, now)
    for (const [team, slices] of granted) this.options.quotas.accounts.get(team)?.granted(slices)
    if (host !== this.#bank) return
    this.options.serverLimits.granted(servers, this.#askedServers)
    this.#askedServers = new Map()
    this.#needed = new Set(frame.needed)
    this.#sentAt = undefined
    for (const [team, wanted] of this.#urged) if (totalTokens(granted.get(team) ?? []) < wanted * metShare) this.#short.set(team, now)
    this.#urged.clear()
    this.#answered.abort()
    if (this.#due) this.#send()
  }

  #isShort (team: string): boolean {
    return boottimeMs() - (this.#short.get(team) ?? -Infinity) < shortMs
  }

  async #tick (): Promise<void> {
    if (this.options.quotas.accounts.size === 0 && this.options.serverLimits.none) return
    if (this.#overdue) await afterSocketReads()
    if (this.#overdue) this.#passBy()
    if (this.#sentAt === undefined) this.#send()
  }

  get #overdue (): boolean {
    return this.#sentAt !== undefined && boottimeMs() - this.#sentAt >= answerMs
  }

  #passBy (): void {
    if (this.#bank !== undefined) this.#meeting.passBy(this.#bank)
    this.#sentAt = undefined
  }

  #choose (): string | undefined {
    const bank = this.#meeting.choose(this.options.hosts())
    if (bank !== this.#bank) this.options.log.info('quota.bank_changed', { host: bank, before: this.#bank })
    this.#bank = bank
    return bank
  }

  #send (): void {
    const bank = this.#choose()
    const channel = bank === undefined ? undefined : this.options.channelTo(bank)
    if (channel === undefined) return
    const frame = this.#frame(channel)
    this.#due = false
    channel.send(frame)
    this.#sentAt = frame.stamp
    this.#answered = this.#nextAnswered
    this.#nextAnswered = answerSignal()
  }

  #frame (channel: Channel): FrameOf<'quota'> {
    const now = boottimeMs()
    const echo = this.#echoes.get(channel)
    const gives: TokenAge[] = []
    const wants: Array<[string, number]> = []
    const idle: Array<[team: string, account: TeamAccount]> = []
    for (const [team, account] of this.options.quotas.accounts) {
      const urgent = this.#urgent.get(team)
      const wanted = account.wants(urgent)
      if (urgent !== undefined && wanted > 0) this.#urged.set(team, wanted)
      if (wanted === 0) idle.push([team, account])
      else if (wants.length < mostWanted) wants.push([team, wanted])
    }
    this.#urgent.clear()
    if (echo !== undefined) {
      idle.sort(([a], [b]) => Number(this.#needed.has(b)) - Number(this.#needed.has(a)))
      for (const [team, account] of idle.slice(0, mostGiven)) {
        for (const slice of account.takeSurplus()) gives.push([team, slice.tokens, sliceAgeMs(slice, now)])
      }
    }
    return { type: 'quota', stamp: now, ...(echo === undefined ? {} : { echo: { stamp: echo.stamp, heldMs: now - echo.cameAt } }), gives, wants, ...this.#serversPart(echo !== undefined) }
  }

  /** What is given and asked of servers' limits; nothing is given where it can't be told how long it is under way. */
  #serversPart (giving: boolean): Pick<FrameOf<'quota'>, 'servers'> {
    const { serverLimits } = this.options
    if (serverLimits.none) return {}
    const { gives, wants } = serverLimits.offers(giving)
    this.#askedServers = new Map(wants.map(([limit, count]) => [limit, count]))
    return { servers: { gives, wants } }
  }
}

/** By name, on this process's clock: tokens were that old when the answer was made, which was after the stamp. */
const slicesOf = (grants: readonly TokenAge[], stamp: number, now: number): Map<string, TokenSlice[]> => {
  const byName = new Map<string, TokenSlice[]>()
  for (const [name, tokens, ageMs] of grants) {
    const slices = byName.get(name) ?? []
    slices.push({ tokens, earnedAt: Math.min(now, stamp) - ageMs })
    byName.set(name, slices)
  }
  return byName
}
