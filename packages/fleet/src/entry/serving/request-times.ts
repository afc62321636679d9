/**
 * The timing of one request: the time since it arrived and since its caller's first attempt, and the time left.
 */
import { hasWaitedAsTold } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import type { Route } from '../../table.js'
import { rankOf, type RankInput } from '../../request-rank.js'

/** The fraction of the time left that a request may wait; the remainder is for serving it, or for a retry by its caller. */
export const maxWaitShare = 0.45
/** The fraction of the objective reserved for serving before the caller disconnects, so that nothing is started for a caller that will be gone. */
const servingShare = 0.5
/** The fraction of the objective that a request waits for servers that asked for backoff; if they ask for longer, it is refused at once. */
const backoffWaitShare = 0.5
/** The fraction of the objective within which a request to a busy plain service has to start: the rest is for serving it. */
const startShare = 0.5
/** The fraction of the objective after which a request is refused if its service has no servers. */
const emptyServiceWaitShare = 0.2

export class RequestTimes {
  /** On the monotonic clock. */
  deadline = Infinity
  /** The time that its caller had left when it arrived, as stated. */
  statedMs = Infinity
  /** How long before this request its caller made its first attempt. */
  firstTriedMs = 0

  /** `arrivedAt`: on the monotonic clock. */
  constructor (readonly arrivedAt = nowMs()) {}

  /** Whether its caller was rejected before and returned no earlier than it was told. */
  get waitedAsTold (): boolean {
    return hasWaitedAsTold(this.firstTriedMs, this.statedMs)
  }

  /** Time since arrival. */
  get ms (): number {
    return nowMs() - this.arrivedAt
  }

  get leftMs (): number {
    return this.deadline - nowMs()
  }

  /** Time left to meet the latency objective; `Infinity` once it is missed, as speed gains nothing any more. */
  timeToObjectiveMs ({ objectiveMs }: Route): number {
    const left = objectiveMs - this.#elapsedMs
    return left > 0 ? left : Infinity
  }

  /** Its rank among waiting requests. `prefillMs`: the prefill time of its prompt on an idle engine. */
  rank ({ priority, objectiveMs }: Pick<RankInput, 'priority' | 'objectiveMs'>, prefillMs: number): number {
    return rankOf({ priority, objectiveMs, elapsedMs: this.#elapsedMs, prefillMs })
  }

  /** When it can't meet its objective any more and ranks behind those that can, on the monotonic clock. */
  lateAt ({ objectiveMs }: Route, prefillMs: number): number {
    return this.arrivedAt - this.firstTriedMs + objectiveMs - prefillMs
  }

  /** Until when it may wait for a server or an adapter, which leaves time for the first token before the caller gives up. */
  waitUntil ({ objectiveMs, patienceMs = Infinity }: Route): number {
    const callerLeavesAt = this.arrivedAt + patienceMs - objectiveMs * servingShare
    return Math.min(nowMs() + this.leftMs * maxWaitShare, callerLeavesAt)
  }

  /** Until when it may wait for a server that asked for backoff: the other half of the objective remains for serving. */
  waitForBackoffUntil (route: Route): number {
    return Math.min(this.waitUntil(route), nowMs() + route.objectiveMs * backoffWaitShare)
  }

  /** Until when it has to start at a busy plain service. */
  startUntil (route: Route): number {
    return Math.min(this.waitUntil(route), this.arrivedAt + route.objectiveMs * startShare)
  }

  /** Until when it may wait for a service that has no servers. */
  waitForServersUntil ({ objectiveMs }: Route): number {
    return nowMs() + objectiveMs * emptyServiceWaitShare
  }

  get #elapsedMs (): number {
    return this.firstTriedMs + this.ms
  }
}
