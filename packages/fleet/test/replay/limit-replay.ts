/**
 * A replay of one server that names a limit, and of many entries that exchange their shares of it, on the paused clock.
 *
 * Entries are real but for their sockets: frames between them and two banks take the time that is set, or are lost where an entry
 * or a bank is cut off. Requests come at random, as a seed draws them.
 */
import { quietLog } from '@finchpitch/core'
import { EntryCounters, QuotaBank, QuotaExchange, Quotas, ServerLimits, reportFrames, nowMs, type BackendServer, type AttemptReports } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

export interface LimitPattern {
  seed: number
  entries: number
  /** Requests a second that would go to the server, at each entry. */
  demand: (entry: number) => number
  /** How many entries are thought to exist at most; as many as there are by default. */
  assumed?: number
  /** One way between an entry and a bank, and with which news go from one entry to another. */
  wayMs?: number
}

/** How long the server takes to begin its answer. */
const answerMs = 20
const stepMs = 10
const bankHosts = ['10.0.0.1', '10.0.0.2']

/** A request that reached the server. */
export interface Arrival {
  at: number
  entry: number
  /** Since when its entry's present life had passed on an answer that named a limit; `undefined` where it had not. */
  toldAt: number | undefined
}

interface Player {
  limits: ServerLimits
  exchange: QuotaExchange
  /** Neither banks nor other entries hear it, nor it them. */
  cut: boolean
  toldAt: number | undefined
  stop: AbortController
}

export class LimitReplay {
  readonly arrivals: Arrival[] = []
  readonly entries: Player[]
  perSecond = Infinity
  bornAt = 1
  readonly #banks = new Map(bankHosts.map(host => [host, new QuotaBank()]))
  readonly #random: RandomGenerator
  readonly #wayMs: number

  constructor (private readonly time: FakeTime, private readonly pattern: LimitPattern) {
    this.#random = xoroshiro128plus(pattern.seed)
    this.#wayMs = pattern.wayMs ?? 3
    this.entries = Array.from({ length: pattern.entries }, (_, entry) => this.#begin(entry))
  }

  async play (ms: number): Promise<void> {
    const until = nowMs() + ms
    while (nowMs() < until) {
      for (const entry of this.entries.keys()) if (uniformFloat64(this.#random) < this.pattern.demand(entry) * stepMs / 1000) void this.ask(entry)
      await this.time.pass(stepMs)
    }
  }

  /** A request that would go to the server; says whether it does. */
  async ask (entry: number): Promise<boolean> {
    const player = this.entries[entry]
    if (player === undefined) return false
    const { limits } = player
    const server = this.server
    await limits.bring(server)
    if (limits.state(server)?.ready === false) return false
    const pass = limits.pass(server)
    if (pass === undefined) return false
    const sentAt = nowMs()
    this.arrivals.push({ at: sentAt, entry, toldAt: player.toldAt })
    const said = this.perSecond
    setTimeout(() => {
      if (said !== Infinity) player.toldAt ??= nowMs()
      if (this.entries[entry] === player) limits.heard(server, said, sentAt, 'r')
    }, answerMs)
    return true
  }

  /** The entry is cut off from banks and other entries, or is not any more. */
  setCut (entry: number, cut: boolean): void {
    const player = this.entries[entry % this.entries.length]
    if (player !== undefined) player.cut = cut
  }

  /** A bank that ends has nothing when it is back. */
  setBank (bank: number, up: boolean): void {
    const host = bankHosts[bank] ?? ''
    if (!up) this.#banks.delete(host)
    else if (!this.#banks.has(host)) this.#banks.set(host, new QuotaBank())
  }

  /** It knows nothing of its former life. */
  restart (entry: number): void {
    this.entries[entry]?.stop.abort()
    this.entries[entry] = this.#begin(entry)
  }

  stop (): void {
    for (const { stop } of this.entries) stop.abort()
  }

  /** The most requests that came in any such time, of those that `counts`. */
  most (windowMs: number, counts: (arrival: Arrival) => boolean): number {
    return Math.max(0, ...this.windows(windowMs, counts).map(({ requests }) => requests))
  }

  /** Each time of that length that begins with a request, and how many came in it. */
  windows (windowMs: number, counts: (arrival: Arrival) => boolean): Array<{ from: number, requests: number }> {
    const times = this.arrivals.filter(counts).map(({ at }) => at)
    let after = 0
    return times.map((from, first) => {
      while (after < times.length && (times[after] ?? 0) - from < windowMs) after += 1
      return { from, requests: after - first }
    })
  }

  get server (): BackendServer {
    return { id: 'engine-1', bornAt: this.bornAt, service: 'engines', address: '10.0.1.1:80', domain: 'a', slots: 32, leaving: false, models: [] }
  }

  #begin (entry: number): Player {
    const entries = (): number => this.pattern.assumed ?? this.pattern.entries
    const limits = new ServerLimits({ entries, exchange: { tell: news => this.#tell(entry, news) }, exchanged: async () => await player.exchange.exchanged(), waiting: () => 0, changed: () => {}, counters: new EntryCounters(), log: quietLog })
    const channels = new Map(bankHosts.map(host => [host, this.#channel(entry, host)]))
    const exchange = new QuotaExchange({
      quotas: new Quotas({ limits: () => { throw new Error('no team has a quota') }, entries, bring: async () => false }),
      serverLimits: limits,
      hosts: () => bankHosts,
      channelTo: host => channels.get(host),
      log: quietLog
    })
    const player: Player = { limits, exchange, cut: false, toldAt: undefined, stop: new AbortController() }
    void exchange.run(player.stop.signal)
    return player
  }

  #tell (from: number, news: AttemptReports): void {
    const frames = reportFrames(news)
    this.#later(from, () => {
      for (const [entry, { limits, cut }] of this.entries.entries()) if (entry !== from && !cut) for (const frame of frames) limits.take(frame, 'a side process')
    })
  }

  /** What is under way as either end is cut off does not arrive. */
  #later (entry: number, act: () => void): void {
    const player = this.entries[entry]
    if (player?.cut === true) return
    setTimeout(() => { if (this.entries[entry] === player && player?.cut !== true) act() }, this.#wayMs)
  }

  #channel (entry: number, host: string): Channel {
    const channel = {
      send: (frame: FrameOf<'quota'>): boolean => {
        this.#later(entry, () => {
          const bank = this.#banks.get(host)
          if (bank === undefined) return
          const grant = bank.exchange(`entry-${entry}`, frame, () => undefined)
          this.#later(entry, () => this.entries[entry]?.exchange.take(host, channel, grant))
        })
        return true
      }
    } as unknown as Channel
    return channel
  }
}
