/**
 * Simulates a rate-limited server and many entries that exchange their shares of its limit, on a fake clock.
 *
 * The entries run the production code except for sockets: frames between them and two banks take a fixed time, or are lost if
 * an entry is partitioned or a bank is down. Requests arrive at random times, from a seeded generator.
 */
import { silentLog } from '@finchpitch/core'
import { EntryCounters, QuotaBank, QuotaExchange, Quotas, ServerLimits, reportFrames, nowMs, type BackendServer, type AttemptReports } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

export interface LimitPattern {
  seed: number
  entries: number
  /** Requests per second at each entry that select the server. */
  demand: (entry: number) => number
  /** Upper bound of the number of entries that the entries assume; by default their actual number. */
  assumedEntries?: number
  /** One-way delay between an entry and a bank, and of reports from one entry to another. */
  oneWayMs?: number
}

/** Time until the server starts its response. */
const responseMs = 20
const stepMs = 10
const bankHosts = ['10.0.0.1', '10.0.0.2']

/** A request that reached the server. */
export interface Arrival {
  at: number
  entry: number
  /** When its entry first reported a limit since it started; `undefined` if it has reported none. */
  limitReportedAt: number | undefined
}

interface SimulatedEntry {
  limits: ServerLimits
  exchange: QuotaExchange
  /** Partitioned from the banks and from all other entries. */
  partitioned: boolean
  limitReportedAt: number | undefined
  stop: AbortController
}

export class LimitSimulation {
  readonly arrivals: Arrival[] = []
  readonly entries: SimulatedEntry[]
  perSecond = Infinity
  bornAt = 1
  readonly #banks = new Map(bankHosts.map(host => [host, new QuotaBank()]))
  readonly #random: RandomGenerator
  readonly #oneWayMs: number

  constructor (private readonly time: FakeTime, private readonly pattern: LimitPattern) {
    this.#random = xoroshiro128plus(pattern.seed)
    this.#oneWayMs = pattern.oneWayMs ?? 3
    this.entries = Array.from({ length: pattern.entries }, (_, entry) => this.#startEntry(entry))
  }

  async run (ms: number): Promise<void> {
    const until = nowMs() + ms
    while (nowMs() < until) {
      for (const entry of this.entries.keys()) if (uniformFloat64(this.#random) < this.pattern.demand(entry) * stepMs / 1000) void this.ask(entry)
      await this.time.advance(stepMs)
    }
  }

  /** Processes a request that selects the server. Returns whether it was sent. */
  async ask (entry: number): Promise<boolean> {
    const simulated = this.entries[entry]
    if (simulated === undefined) return false
    const { limits } = simulated
    const server = this.server
    await limits.awaitCapacity(server)
    if (limits.state(server)?.ready === false) return false
    const permit = limits.acquire(server)
    if (permit === undefined) return false
    const sentAt = nowMs()
    this.arrivals.push({ at: sentAt, entry, limitReportedAt: simulated.limitReportedAt })
    const advertised = this.perSecond
    setTimeout(() => {
      if (advertised !== Infinity) simulated.limitReportedAt ??= nowMs()
      if (this.entries[entry] === simulated) limits.recordStatement(server, advertised, sentAt, 'r')
    }, responseMs)
    return true
  }

  /** Partitions the entry from banks and other entries, or ends that. */
  setPartitioned (entry: number, partitioned: boolean): void {
    const simulated = this.entries[entry % this.entries.length]
    if (simulated !== undefined) simulated.partitioned = partitioned
  }

  /** Stops or starts a bank. It is empty after a start. */
  setBank (bank: number, up: boolean): void {
    const host = bankHosts[bank] ?? ''
    if (!up) this.#banks.delete(host)
    else if (!this.#banks.has(host)) this.#banks.set(host, new QuotaBank())
  }

  /** Restarts the entry, which keeps no state. */
  restart (entry: number): void {
    this.entries[entry]?.stop.abort()
    this.entries[entry] = this.#startEntry(entry)
  }

  stop (): void {
    for (const { stop } of this.entries) stop.abort()
  }

  /** The highest number of requests in any window of this length, of those selected by `counts`. */
  maxRequests (windowMs: number, counts: (arrival: Arrival) => boolean): number {
    return Math.max(0, ...this.windows(windowMs, counts).map(({ requests }) => requests))
  }

  /** Every window of this length that starts with a request, and the number of requests in it. */
  windows (windowMs: number, counts: (arrival: Arrival) => boolean): Array<{ from: number, requests: number }> {
    const times = this.arrivals.filter(counts).map(({ at }) => at)
    let end = 0
    return times.map((from, first) => {
      while (end < times.length && (times[end] ?? 0) - from < windowMs) end += 1
      return { from, requests: end - first }
    })
  }

  get server (): BackendServer {
    return { id: 'engine-1', bornAt: this.bornAt, service: 'engines', address: '10.0.1.1:80', domain: 'a', slots: 32, leaving: false, models: [] }
  }

  #startEntry (entry: number): SimulatedEntry {
    const entries = (): number => this.pattern.assumedEntries ?? this.pattern.entries
    const limits = new ServerLimits({ entries, reporter: { report: reports => this.#report(entry, reports) }, exchangeNow: async () => await simulated.exchange.exchangeNow(), waiting: () => 0, onChange: () => {}, counters: new EntryCounters(), log: silentLog })
    const channels = new Map(bankHosts.map(host => [host, this.#createChannel(entry, host)]))
    const exchange = new QuotaExchange({
      quotas: new Quotas({ limits: () => { throw new Error('no team has a quota') }, entries, startedAt: 0, exchangeNow: async () => false, counters: new EntryCounters(), log: silentLog }),
      serverLimits: limits,
      hosts: () => bankHosts,
      channelTo: host => channels.get(host),
      log: silentLog
    })
    const simulated: SimulatedEntry = { limits, exchange, partitioned: false, limitReportedAt: undefined, stop: new AbortController() }
    void exchange.run(simulated.stop.signal)
    return simulated
  }

  /** Sends reports of one entry to all others. */
  #report (from: number, reports: AttemptReports): void {
    const frames = reportFrames(reports)
    this.#deliver(from, () => {
      for (const [entry, { limits, partitioned }] of this.entries.entries()) if (entry !== from && !partitioned) for (const frame of frames) limits.handleReport(frame, 'a side process')
    })
  }

  /** Runs the action after the one-way delay, unless the entry is partitioned or restarted by then. */
  #deliver (entry: number, action: () => void): void {
    const simulated = this.entries[entry]
    if (simulated?.partitioned === true) return
    setTimeout(() => { if (this.entries[entry] === simulated && simulated?.partitioned !== true) action() }, this.#oneWayMs)
  }

  #createChannel (entry: number, host: string): Channel {
    const channel = {
      send: (frame: FrameOf<'quota'>): boolean => {
        this.#deliver(entry, () => {
          const bank = this.#banks.get(host)
          if (bank === undefined) return
          const grant = bank.exchange(`entry-${entry}`, frame, () => undefined)
          this.#deliver(entry, () => this.entries[entry]?.exchange.handleGrant(host, channel, grant))
        })
        return true
      }
    } as unknown as Channel
    return channel
  }
}
