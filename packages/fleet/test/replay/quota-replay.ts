/**
 * Replays a team that sends several times its quota from few or all entries, which exchange tokens through two banks, on a fake clock.
 *
 * The entries run the production code except for sockets. A rejected caller waits as told, but at most a third of its remaining
 * time, and returns once, at another entry of its domain.
 */
import { setMaxListeners } from 'node:events'
import { silentLog } from '@finchpitch/core'
import { tokenLifetimeMs } from '@finchpitch/decisions'
import { EntryCounters, QuotaBank, QuotaExchange, Quotas, boottimeMs, noLimits, nowMs, quotaBoundOf, type FleetTeam, type Limits, type Quota } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { advanceBySteps, alignBootClock, withRandom } from './replay-clock.js'

export interface QuotaPattern {
  seed: number
  quota: Quota
  limits: Limits
  /** Demand of first requests, as a multiple of the quota. */
  load: number
  /** Time from the start of a process until it serves requests. */
  startMs: number
  /** Callers send their first requests to this many entries; 2 if not stated. */
  calledEntries?: number
  mix?: readonly RequestKind[]
}

/** Requests of one size. */
export interface RequestKind {
  tokens: number
  /** Part of all requests. */
  part: number
  /** Requests to a service of their own, with a short objective. */
  plain?: boolean
}

const evenMix: readonly RequestKind[] = [200, 200, 600, 1200, 1900].map(tokens => ({ tokens, part: 0.2 }))
const entryCount = 28
const entriesPerDomain = 7
const patienceMs = 5000
const objectiveMs = 506
const plainPatienceMs = 1000
const plainObjectiveMs = 199
/** A caller that returns sooner is not recognized. */
const recognizedMs = 150
const stepMs = 10
const bankHosts = ['10.0.0.1', '10.0.0.2']
/** As in production, more entries are assumed until they have been counted. */
const warmupMs = 1500
const warmupFactor = 2

/** One caller, from its first request until it is served or gives up. */
interface Caller { size: number, plain: boolean, startedAt: number, served: boolean, rejections: number, firstDecidedMs?: number, waitedAsTold?: boolean }

/** The most tokens spent in any window of this length. */
export const maxSpentIn = (windowMs: number, spent: ReadonlyArray<{ at: number, tokens: number }>): number => {
  let sum = 0
  let first = 0
  return spent.reduce((max, { tokens, at }) => {
    sum += tokens
    for (; at - (spent[first]?.at ?? at) > windowMs; first++) sum -= spent[first]?.tokens ?? 0
    return Math.max(max, sum)
  }, 0)
}

export class QuotaReplay {
  readonly callers: Caller[] = []
  readonly spent: Array<{ at: number, tokens: number }> = []
  oneWayMs = 2
  /** Share of frames that are lost. */
  lostShare = 0
  readonly #banks = new Map<string, QuotaBank>()
  #bankInUse = ''
  readonly #draw: () => number
  readonly #team: FleetTeam
  readonly #stop = new AbortController()
  readonly #entries: Quotas[]

  constructor (private readonly time: FakeTime, private readonly pattern: QuotaPattern) {
    // Each entry listens to the signal; Node would warn of a leak.
    setMaxListeners(0, this.#stop.signal)
    const random = xoroshiro128plus(pattern.seed)
    this.#draw = () => uniformFloat64(random)
    alignBootClock(time)
    this.#team = { name: 'red', keys: [], quota: pattern.quota }
    this.#entries = Array.from({ length: entryCount }, (_, entry) => this.#startEntry(entry))
    this.startBanks()
  }

  async run (ms: number): Promise<void> {
    const { mix = evenMix, calledEntries = 2 } = this.pattern
    const meanSize = mix.reduce((sum, { tokens, part }) => sum + tokens * part, 0)
    const perStep = this.pattern.load * this.pattern.quota.perSecond / meanSize * stepMs / 1000
    await withRandom(this.#draw, async () => {
      for (const until = nowMs() + ms; nowMs() < until;) {
        for (let count = perStep; count > 0; count--) if (this.#draw() < count) void this.#call(Math.floor(this.#draw() * calledEntries), this.#drawKind(mix))
        await advanceBySteps(this.time, stepMs)
      }
    })
  }

  /** The other bank stays. */
  killBankInUse (): void {
    this.#banks.delete(this.#bankInUse)
  }

  killBanks (): void {
    this.#banks.clear()
  }

  startBanks (): void {
    for (const host of bankHosts) this.#banks.set(host, new QuotaBank())
  }

  stop (): void {
    this.#stop.abort()
  }

  /** Share of the callers since `from` with requests of these sizes that were served. */
  servedShare (from: number, ofSizes: readonly number[]): number {
    const callers = this.callers.filter(({ startedAt, size }) => startedAt >= from && startedAt < nowMs() - patienceMs / 2 && ofSizes.includes(size))
    return callers.filter(({ served }) => served).length / callers.length
  }

  #drawKind (mix: readonly RequestKind[]): RequestKind {
    let left = this.#draw()
    return mix.find(({ part }) => (left -= part) < 0) ?? mix[0] as RequestKind
  }

  async #call (entry: number, { tokens, plain = false }: RequestKind): Promise<void> {
    const caller: Caller = { size: tokens, plain, startedAt: nowMs(), served: false, rejections: 0 }
    this.callers.push(caller)
    const retryMs = await this.#attempt(entry, caller)
    caller.firstDecidedMs = nowMs() - caller.startedAt
    const domain = Math.floor(entry / entriesPerDomain) * entriesPerDomain
    const next = domain + (entry + 1 + Math.floor(this.#draw() * (entriesPerDomain - 1))) % entriesPerDomain
    const remainingMs = (plain ? plainPatienceMs : patienceMs) - caller.firstDecidedMs
    if (retryMs === undefined) return
    caller.waitedAsTold = retryMs <= remainingMs / 3
    setTimeout(() => { void this.#attempt(next, caller) }, Math.min(retryMs, remainingMs / 3))
  }

  /** Returns the time after which the caller should retry, if it was rejected. */
  async #attempt (entry: number, caller: Caller): Promise<number | undefined> {
    const agoMs = nowMs() - caller.startedAt
    const reserved = await this.#entries[entry]?.reserve(this.#team, `${caller.size},0`, { firstTriedMs: agoMs < recognizedMs ? 0 : agoMs, remainingMs: (caller.plain ? plainPatienceMs : patienceMs) - agoMs, objectiveMs: caller.plain ? plainObjectiveMs : objectiveMs }, caller.plain ? 'plain' : 'generations')
    if (typeof reserved === 'number') {
      caller.rejections += 1
      return reserved
    }
    caller.served = true
    this.spent.push({ at: nowMs(), tokens: caller.size })
    return undefined
  }

  #startEntry (entry: number): Quotas {
    const { limits, quota, startMs } = this.pattern
    const lifetimeMs = tokenLifetimeMs(quota, quotaBoundOf(limits))
    const startedAt = boottimeMs() - startMs
    const entries = (): number => boottimeMs() - startedAt < warmupMs ? entryCount * warmupFactor : entryCount
    const quotas: Quotas = new Quotas({ limits: () => limits, entries, startedAt, exchangeNow: async () => await exchange.exchangeNow(), counters: new EntryCounters(), log: silentLog })
    const send = (host: string, frame: FrameOf<'quota'>): void => this.#deliver(() => {
      this.#bankInUse = host
      const grant = this.#banks.get(host)?.exchange(`entry-${entry}`, frame, () => lifetimeMs)
      if (grant !== undefined) this.#deliver(() => exchange.handleGrant(host, channels.get(host) as Channel, grant))
    })
    const channels = new Map(bankHosts.map(host => [host, { send: (frame: FrameOf<'quota'>) => send(host, frame) } as unknown as Channel]))
    const exchange: QuotaExchange = new QuotaExchange({ quotas, serverLimits: noLimits, hosts: () => bankHosts, channelTo: host => channels.get(host), log: silentLog })
    quotas.setTeams([this.#team])
    void exchange.run(this.#stop.signal)
    return quotas
  }

  /** Runs the action after the one-way delay, unless the frame is lost. */
  #deliver (action: () => void): void {
    if (this.#draw() >= this.lostShare) setTimeout(action, this.oneWayMs)
  }
}
