/**
 * Estimates how long ago a caller made its first attempt, from the remaining time that its request states.
 *
 * A caller returns only after a rejection or a failure, here or at another entry, and then states less time than at first. The
 * latency objective runs from the caller's first attempt, which no request states. The estimate separates requests that are already
 * late from those that can still meet the objective (`request-rank.ts` has the measured gain).
 */
import { RecentRejections, StatedTimes, type RejectedAttempt } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'

export interface AttemptOrigin {
  route: string
  /** The service that it is routed to, if it has one. */
  service: string | undefined
  remainingMs: number
  /** Other entries reject requests of its service or team at present, as far as is known. */
  rejectedElsewhere: boolean
}

/** Rejections before a service was known. They count for all services. */
const noService = ''

export class FirstAttemptEstimator {
  readonly #routes = new Map<string, StatedTimes>()
  readonly #rejections = new Map<string, RecentRejections>()

  /** Estimated time since the first attempt of the caller; 0 for a first attempt, or where it can't be estimated. */
  agoMs ({ route, service = noService, remainingMs, rejectedElsewhere }: AttemptOrigin): number {
    const now = nowMs()
    const times = this.#timesOf(route)
    const rejections = this.#knownFor(service)
    if (!rejectedElsewhere && !rejections.some(each => each.isRecent(remainingMs, now))) {
      times.add(remainingMs)
      return 0
    }
    times.addUncertain(remainingMs)
    return times.possibleAgoMs(remainingMs).find(agoMs => rejectedElsewhere || rejections.some(each => each.explains(agoMs, remainingMs, now))) ?? 0
  }

  /** Records that a request was rejected or failed, so that its caller may return. */
  recordRejection (service: string | undefined, attempt: RejectedAttempt): void {
    const name = service ?? noService
    const rejections = this.#rejections.get(name) ?? new RecentRejections()
    this.#rejections.set(name, rejections)
    rejections.record(attempt, nowMs())
  }

  #knownFor (service: string): RecentRejections[] {
    return [...new Set([service, noService])].flatMap(name => this.#rejections.get(name) ?? [])
  }

  #timesOf (route: string): StatedTimes {
    let times = this.#routes.get(route)
    if (times === undefined) this.#routes.set(route, times = new StatedTimes())
    return times
  }
}
