/**
 * Replay of requests that arrive at one entry faster than its share of a service can run them, on a paused clock: the entry's queue and
 * server selection with a stand-in for the servers, which run each request for a fixed time.
 *
 * Callers behave as those of the deployments: they retry a refused request once, as told but within a third of their remaining time.
 */
import { Cancellation, RequestQueue, RequestTimes, ServerSelector, nowMs, type Choice, type NoServer, type Route, type SelectedRequest, type ServerSelectorOptions } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface TeamLoad {
  team: string
  /** Arrivals per second at the time. */
  perSecond: (ms: number) => number
}

export interface WaitingPattern {
  seed: number
  ms: number
  teams: readonly TeamLoad[]
  /** Requests that the servers run at once, at the time. */
  slots: (ms: number) => number
  runMs: number
  objectiveMs: number
  timeoutMs: number
  /** Whether the entry knows the teams. */
  knowsTeams?: boolean
  /** The choice while no slot is free. */
  busy?: Choice
}

/** One attempt of a caller. */
export interface SimulatedAttempt {
  team: string
  at: number
  returning: boolean
  /** It returned no earlier than it was told. */
  asTold: boolean
  result?: 'started' | 'refused'
  /** Time until it started or was refused. */
  ms: number
  /** Refused before its time was up. */
  early: boolean
  expectedMs: number | undefined
  toldMs: number | undefined
}

const noop = (): void => {}
const maxReturnShare = 1 / 3

export class WaitingSimulation {
  readonly attempts: SimulatedAttempt[] = []
  maxWaiting = 0
  readonly #queue = new RequestQueue()
  readonly #random
  #running = 0
  #startedAt = 0

  constructor (private readonly pattern: WaitingPattern) {
    this.#random = xoroshiro128plus(pattern.seed)
  }

  async run (): Promise<this> {
    const time = new FakeTime()
    const { random } = Math
    // The spread of the times told, so that a seed always gives the same run.
    Math.random = () => uniformFloat64(this.#random)
    try {
      this.#startedAt = nowMs()
      for (const load of this.pattern.teams) this.#scheduleArrival(load)
      await time.advance(this.pattern.ms + 2 * this.pattern.timeoutMs)
    } finally {
      Math.random = random
      time.restore()
    }
    return this
  }

  get #elapsedMs (): number {
    return nowMs() - this.#startedAt
  }

  /** The next arrival of a Poisson process. */
  #scheduleArrival (load: TeamLoad): void {
    const perSecond = Math.max(0.001, load.perSecond(this.#elapsedMs))
    setTimeout(() => {
      if (this.#elapsedMs > this.pattern.ms) return
      void this.#attempt(load.team, 0, this.pattern.timeoutMs, false)
      this.#scheduleArrival(load)
    }, -Math.log(1 - uniformFloat64(this.#random)) / perSecond * 1000)
  }

  async #attempt (team: string, firstTriedMs: number, remainingMs: number, asTold: boolean): Promise<void> {
    const { objectiveMs, timeoutMs, knowsTeams = true } = this.pattern
    const times = new RequestTimes()
    times.deadline = nowMs() + remainingMs
    times.firstTriedMs = firstTriedMs
    const attempt: SimulatedAttempt = { team, at: this.#elapsedMs, returning: firstTriedMs > 0, asTold, ms: 0, early: false, expectedMs: undefined, toldMs: undefined }
    this.attempts.push(attempt)
    const route: Route = { name: 'plain', host: 'h', pathPrefix: '/', kind: 'once', timeoutMs, objectiveMs, priority: 0, maxAttempts: 1, resumable: false, targets: [{ service: 's', weight: 1 }] }
    const record: Record<string, unknown> = { waitedMs: 0 }
    const selector = this.#selector(times, record)
    const selection = { service: { name: 's', maxConnections: 9 }, key: undefined, promptTokens: 0, timeToObjectiveMs: objectiveMs, priority: 0, excluded: new Set<string>() }
    const selected = selector.choose(selection, { type: 'admitted', route, team: knowsTeams ? { name: team, keys: [] } : undefined, priority: 0 })
    this.maxWaiting = Math.max(this.maxWaiting, this.#queue.size)
    const { type, ...rest } = await selected
    attempt.ms = times.ms
    attempt.expectedMs = record['expectedWaitMs'] as number | undefined
    attempt.early = record['rejection'] !== undefined
    attempt.result = type === 'chosen' ? 'started' : 'refused'
    if (type === 'chosen') this.#start()
    else this.#refuse(attempt, rest as NoServer, times)
  }

  #start (): void {
    this.#running += 1
    setTimeout(() => {
      this.#running -= 1
      this.#queue.scheduleCapacityScan()
    }, this.pattern.runMs)
  }

  #refuse (attempt: SimulatedAttempt, { notBeforeMs, expected }: NoServer, times: RequestTimes): void {
    const toldMs = expected === true ? notBeforeMs : Math.max(250, notBeforeMs)
    attempt.toldMs = toldMs
    if (attempt.returning) return
    const waitMs = Math.min(toldMs, times.leftMs * maxReturnShare)
    setTimeout(() => { void this.#attempt(attempt.team, times.ms, times.leftMs, waitMs >= toldMs) }, waitMs)
  }

  #selector (times: RequestTimes, record: Record<string, unknown>): ServerSelector {
    const { slots, busy = { type: 'full', reason: 'all servers are full' } } = this.pattern
    const options = {
      queue: this.#queue,
      plainServices: { recordDemand: noop, recordShortage: noop, enterQueue: () => noop, isEnforced: () => false, take: () => undefined },
      times,
      record,
      cancellation: new Cancellation(),
      incoming: { workTokens: 1 },
      crashes: { quarantine: () => undefined },
      latestStart: () => Infinity,
      counters: { rejected: { inc: noop }, waited: { observe: noop }, waitEstimateError: { observe: noop } },
      balancer: {
        awaitRateLimit: async () => undefined,
        isLimited: () => false,
        prefillMs: () => 0,
        choose: (): Choice => this.#running < slots(this.#elapsedMs) ? { type: 'send', id: 'server', reason: 'free', expectedMs: 0 } : busy
      }
    }
    return new ServerSelector(options as unknown as ServerSelectorOptions, options as unknown as SelectedRequest)
  }
}
