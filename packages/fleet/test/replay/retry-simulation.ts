/**
 * Simulates entries that share a service's retry budget, on a fake clock.
 *
 * The entries run the production code of the budget. Requests arrive at random times, from a seeded generator, and attempts fail at
 * random. A failed attempt is retried at once if the budget allows it.
 */
import { RetryBudget, boottimeMs, nowMs, type RetryBounds } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'
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
  /** The upper bound of the number of entries that entries assume; by default their actual number. */
  assumedEntries?: () => number
}

export const retryBounds: RetryBounds = { retryRatio: 0.2, retrySlack: 50, retryWindowMs: 10_000 }

const service = 'engines'
const maxRetries = 3
const stepMs = 10

export class RetrySimulation {
  /** Times of requests, of retries, and of retries that the budget denied, in ms since the start. */
  readonly requests: number[] = []
  readonly retries: number[] = []
  readonly denied: number[] = []
  readonly #budgets: Array<RetryBudget | undefined>
  readonly #random: RandomGenerator
  readonly #startedAt = nowMs()

  constructor (private readonly time: FakeTime, private readonly pattern: RetryPattern) {
    this.#random = xoroshiro128plus(pattern.seed)
    this.#budgets = Array.from({ length: pattern.entries }, () => this.#createBudget())
  }

  get #now (): number {
    return nowMs() - this.#startedAt
  }

  async run (ms: number): Promise<void> {
    const until = this.#now + ms
    while (this.#now < until) {
      for (const [entry, budget] of this.#budgets.entries()) if (budget !== undefined && this.#draw(this.pattern.perSecond(entry, this.#now) * stepMs / 1000)) this.#handleRequest(entry, budget)
      await this.time.advance(stepMs)
    }
  }

  /** Kills the entry. */
  kill (entry: number): void {
    this.#budgets[entry] = undefined
  }

  /** Starts a new process of the entry. */
  start (entry: number): void {
    this.#budgets[entry] = this.#createBudget()
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

  #createBudget (): RetryBudget {
    return new RetryBudget({ bounds: () => retryBounds, entries: this.pattern.assumedEntries ?? (() => this.pattern.entries), startedAt: boottimeMs() })
  }

  #handleRequest (entry: number, budget: RetryBudget): void {
    this.requests.push(this.#now)
    budget.deposit(service)
    for (let retry = 0; retry < maxRetries && this.#draw(this.pattern.failing(entry, this.#now)); retry++) {
      if (budget.withdraw(service).permit === undefined) {
        this.denied.push(this.#now)
        return
      }
      this.retries.push(this.#now)
    }
  }

  #draw (probability: number): boolean {
    return uniformFloat64(this.#random) < probability
  }
}

/** How many of the ascending times are in the window that begins at `from`. */
const countIn = (times: readonly number[], from: number, windowMs: number): number => times.filter(at => at >= from && at < from + windowMs).length
