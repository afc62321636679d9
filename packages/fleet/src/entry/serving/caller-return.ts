/**
 * Whether the caller of one request has tried before, and what its entry remembers of the request for callers that return.
 */
import { maxReturnMs } from '@finchpitch/decisions'
import type { EntryCounters } from '../counters.js'
import type { Quotas } from '../quotas/quotas.js'
import type { PlainServices } from '../servers/plain-services.js'
import type { Admission } from './admission.js'
import type { FirstAttemptEstimator } from './first-attempt-estimator.js'
import type { RequestTimes } from './request-times.js'

export interface CallerReturnOptions {
  firstAttempts: FirstAttemptEstimator
  plainServices: Pick<PlainServices, 'isEnforced'>
  quotas: Pick<Quotas, 'accounts'>
  counters: EntryCounters
}

/** Label of services for requests whose route has none. */
const noService = 'none'

/** Whether the caller of a request with this outcome may send it again although it was not told to. */
const mayReturnAfter = (outcome: string): boolean => outcome === 'failed' || outcome === 'interrupted' || outcome.startsWith('answered 5')

const isServed = (outcome: string): boolean => outcome === 'streamed' || (outcome.startsWith('answered') && !mayReturnAfter(outcome))

export class CallerReturn {
  #service: string | undefined

  constructor (private readonly options: CallerReturnOptions, private readonly times: RequestTimes) {}

  /** Estimates how long ago the caller made its first attempt. */
  recognize ({ route, team }: Admission, service: string | undefined): void {
    const { firstAttempts } = this.options
    this.#service = service
    const rejectedElsewhere = this.#isRejectedElsewhere(team?.name)
    this.times.firstTriedMs = firstAttempts.agoMs({ route: route.name, service, remainingMs: this.times.statedMs, rejectedElsewhere })
  }

  /** Records the end of the request. `toldMs`: the `Retry-After` of its response; `undefined` if it was not rejected. */
  end (outcome: string, toldMs: number | undefined): void {
    this.#count(outcome, toldMs !== undefined)
    if (toldMs === undefined && !mayReturnAfter(outcome)) return
    const { firstTriedMs, ms, statedMs } = this.times
    const returnInMs = Math.min(toldMs ?? 0, maxReturnMs({ remainingMs: statedMs - ms }))
    this.options.firstAttempts.recordRejection(this.#service, { spentMs: firstTriedMs + ms, returnInMs })
  }

  #count (outcome: string, rejected: boolean): void {
    if (this.times.firstTriedMs === 0) return
    const told = this.times.waitedAsTold ? 'kept' : 'early'
    this.options.counters.returning.inc({ service: this.#service ?? noService, told, outcome: isServed(outcome) ? 'served' : rejected ? 'rejected' : 'failed' })
  }

  /** Whether other entries reject requests of the service or the team at present, as far as they have told. */
  #isRejectedElsewhere (team: string | undefined): boolean {
    const { plainServices, quotas } = this.options
    if (this.#service !== undefined && plainServices.isEnforced(this.#service)) return true
    return team !== undefined && quotas.accounts.get(team)?.isOverQuota === true
  }
}
