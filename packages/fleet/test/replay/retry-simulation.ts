/**
 * Simulates entries that share a service's retry budget, on a fake clock.
 *
 * The entries run the production code except for sockets: frames between them and two banks take a fixed time, or are lost if the entry
 * is partitioned or the bank is down. Requests arrive at random times, from a seeded generator, and attempts fail at random. A failed
 * attempt is retried at once if the budget allows it.
 */
import { silentLog } from '@finchpitch/core'
import { EntryCounters, QuotaBank, QuotaExchange, Quotas, RetryBudget, boottimeMs, noLimits, nowMs, reportFrames, type RetryBounds } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

export interface RetryPattern {
  seed: number
  entries: number
  /** Requests per second at each entry. */
  perSecond: (entry: number, at: number) => number
  /** The share of attempts that fail at each entry. */
  failing: (entry: number, at: number) => number
  /** The upper bound of the number of entries that an entry assumes; by default their actual number. */
  assumedEntries?: (entry: number, at: number) => number
  /** One-way delay between an entry and a bank. */
  oneWayMs?: number
}

export const retryBounds: RetryBounds = { retryRatio: 0.2, retrySlack: 50, retryWindowMs: 10_000 }

const service = 'engines'
const maxRetries = 3
const stepMs = 10
const bankHosts = ['10.0.0.1', '10.0.0.2']

interface SimulatedEntry {
  budget: RetryBudget
  exchange: QuotaExchange
  stop: AbortController
}

export class RetrySimulation {
  /** Times of requests, of retries, and of retries that the budget denied, in ms since the start. */
  readonly requests: number[] = []
  readonly retries: number[] = []
  readonly denied: number[] = []
  /** Entries that are partitioned from the banks and from other entries. */
  readonly #partitioned = new Set<number>()
  readonly #entries: Array<SimulatedEntry | undefined>
  readonly #banks = new Map(bankHosts.map(host => [host, new QuotaBank()]))
  readonly #random: RandomGenerator
  readonly #startedAt = nowMs()

  constructor (private readonly time: FakeTime, private readonly pattern: RetryPattern) {
    this.#random = xoroshiro128plus(pattern.seed)
    this.#entries = Array.from({ length: pattern.entries }, (_, entry) => this.#createEntry(entry))
  }

  get now (): number {
    return nowMs() - this.#startedAt
  }

  async run (ms: number): Promise<void> {
    const until = this.now + ms
    while (this.now < until) {
      for (const [entry, simulated] of this.#entries.entries()) if (simulated !== undefined && this.#draw(this.pattern.perSecond(entry, this.now) * stepMs / 1000)) void this.#handleRequest(entry, simulated)
      await this.time.advance(stepMs)
    }
  }

  /** Kills the entry. */
  kill (entry: number): void {
    this.#entries[entry]?.stop.abort()
    this.#entries[entry] = undefined
  }

  /** Starts a new process of the entry. */
  start (entry: number): void {
    this.#entries[entry] = this.#createEntry(entry)
  }

  /** Kills the entry and starts it at once. */
  restart (entry: number): void {
    this.kill(entry)
    this.start(entry)
  }

  /** Partitions the entry, or ends that. */
  togglePartition (entry: number): void {
    if (!this.#partitioned.delete(entry)) this.#partitioned.add(entry)
  }

  /** Stops or starts a bank. It is empty after a start. */
  setBank (bank: number, up: boolean): void {
    const host = bankHosts[bank] ?? ''
    if (!up) this.#banks.delete(host)
    else if (!this.#banks.has(host)) this.#banks.set(host, new QuotaBank())
  }

  stop (): void {
    for (const entry of this.#entries.keys()) this.kill(entry)
  }

  /** The share of retries that the budget allowed. */
  grantedShare (): number {
    return this.retries.length / (this.retries.length + this.denied.length)
  }

  /** The most retries of any window beyond those that the budget allows; negative if all windows keep it. */
  get maxExcess (): number {
    const { retryRatio, retrySlack, retryWindowMs } = retryBounds
    return Math.max(...this.retries.map(from => {
      const requests = Math.max(...[0, retryWindowMs / 2, retryWindowMs].map(before => countIn(this.requests, from - before, retryWindowMs)))
      return countIn(this.retries, from, retryWindowMs) - retryRatio * requests - retrySlack
    }))
  }

  #createEntry (entry: number): SimulatedEntry {
    const { entries, assumedEntries = () => entries } = this.pattern
    const assumed = (): number => assumedEntries(entry, this.now)
    const startedAt = boottimeMs()
    const budget: RetryBudget = new RetryBudget({ bounds: () => retryBounds, entries: assumed, startedAt, reporter: { report: reports => this.#report(entry, reportFrames(reports)) }, exchangeNow: async () => await exchange.exchangeNow(), log: silentLog })
    const channels = new Map(bankHosts.map(host => [host, this.#createChannel(entry, host)]))
    const exchange = new QuotaExchange({
      quotas: new Quotas({ limits: () => { throw new Error('no team has a quota') }, entries: assumed, startedAt, exchangeNow: async () => false, counters: new EntryCounters(), log: silentLog }),
      serverLimits: noLimits,
      retries: budget,
      hosts: () => bankHosts,
      channelTo: host => channels.get(host),
      log: silentLog
    })
    const simulated: SimulatedEntry = { budget, exchange, stop: new AbortController() }
    void exchange.run(simulated.stop.signal)
    return simulated
  }

  async #handleRequest (entry: number, simulated: SimulatedEntry): Promise<void> {
    this.requests.push(this.now)
    simulated.budget.deposit(service)
    for (let retry = 0; retry < maxRetries && this.#draw(this.pattern.failing(entry, this.now)); retry++) {
      const { permit } = await simulated.budget.withdraw(service)
      if (this.#entries[entry] !== simulated) return
      if (permit === undefined) {
        this.denied.push(this.now)
        return
      }
      this.retries.push(this.now)
    }
  }

  #draw (probability: number): boolean {
    return uniformFloat64(this.#random) < probability
  }

  /** Runs the action after the one-way delay, unless the entry is partitioned or restarted by then. */
  #deliver (entry: number, action: () => void): void {
    const simulated = this.#entries[entry]
    if (this.#partitioned.has(entry)) return
    setTimeout(() => { if (this.#entries[entry] === simulated && !this.#partitioned.has(entry)) action() }, this.pattern.oneWayMs ?? 3)
  }

  /** Sends reports of one entry to all others. */
  #report (from: number, frames: ReadonlyArray<FrameOf<'crashes'>>): void {
    this.#deliver(from, () => {
      for (const entry of this.#entries.keys()) if (entry !== from) this.#deliver(entry, () => { for (const frame of frames) this.#entries[entry]?.budget.handleReport(frame, 'a side process') })
    })
  }

  #createChannel (entry: number, host: string): Channel {
    const channel = {
      send: (frame: FrameOf<'quota'>): boolean => {
        this.#deliver(entry, () => {
          const bank = this.#banks.get(host)
          if (bank === undefined) return
          const grant = bank.exchange(`entry-${entry}`, frame, () => undefined)
          this.#deliver(entry, () => this.#entries[entry]?.exchange.handleGrant(host, channel, grant))
        })
        return true
      }
    } as unknown as Channel
    return channel
  }
}

/** How many of the ascending times are in the window that begins at `from`. */
const countIn = (times: readonly number[], from: number, windowMs: number): number => times.filter(at => at >= from && at < from + windowMs).length
