/**
 * A request in the queue of an entry.
 */
import type { WaitingRequest } from '@finchpitch/decisions'
import type { Choice } from '../servers/choice.js'
import { patientRankOf } from '../../request-rank.js'
import type { Rejection, ReturnTime } from './service-queue.js'

export interface QueuedRequest {
  /** Requests with the same key get the same choice. */
  key: string
  /** The service that it is routed to. */
  service: string
  /** The team that it belongs to, if the table has teams. */
  team: string | undefined
  /** Its work: tokens of a generation, milliseconds in a slot of a plain service. */
  work: number
  /** Its caller has tried before. */
  returning: boolean
  /** Time since its caller's first attempt, when it arrived. */
  firstTriedMs: number
  /** The longest time after which its caller would return, whatever it is told. */
  maxReturnMs: () => number
  /** Some servers are excluded for it, so its choice holds for no other request. */
  hasOwnChoice: boolean
  /** Current rank; the lowest goes first. */
  rank: () => number
  /** When it can't meet its objective any more, so that requests in time go before it, on the monotonic clock. */
  lateAt: number
  /** When it stops waiting, on the monotonic clock. Sooner once the process is stopping. */
  readonly expiresAt: number
  choose: () => Choice
  /** Whether waiting for this can still help; if not, the wait ends at once. */
  mayWaitFor: (choice: Choice) => boolean
  /** Whether it has been quarantined since it was queued: it may not be sent to any server. */
  isQuarantined: () => boolean
  /** Asks an engine to load the key; `waiting`: how many requests wait for it. */
  requestLoad: (ask: string, waiting: number) => void
}

/** What was expected of a wait, for logs and metrics. */
export interface WaitExpectation {
  /** The first estimate of the wait; `undefined` if there was none. */
  expectedMs: number | undefined
}

export type WaitOutcome = WaitExpectation & (
  | { type: 'chosen', choice: Extract<Choice, { type: 'send' }> }
  /** Waiting can't help any more. `rejection`: decided before its time was up; `onArrival`: it did not wait at all. */
  | { type: 'expired', last: Choice, returnTime: ReturnTime, rejection: Rejection | undefined, onArrival: boolean }
  | { type: 'cancelled' }
  | { type: 'quarantined' }
)

export class QueueEntry implements WaitingRequest {
  readonly team: string
  currentRank = 0
  patientRank = 0
  orderRank = 0
  workBefore = 0
  expectedMs: number | undefined
  /** Its caller returned no earlier than callers were told that were rejected for the same reason. */
  waitedAsTold = false
  /** It is counted among the late requests. */
  isLate = false

  /** `last`: what it waits for, as of the last scan. */
  constructor (readonly request: QueuedRequest, public last: Choice, readonly queuedAt: number, readonly end: (entry: QueueEntry, outcome: WaitOutcome) => void) {
    this.team = request.team ?? ''
  }

  get key (): string {
    return this.request.key
  }

  get work (): number {
    return this.request.work
  }

  get returning (): boolean {
    return this.waitedAsTold
  }

  get expiresAt (): number {
    return this.request.expiresAt
  }

  updateRank (): void {
    this.currentRank = this.request.rank()
    this.patientRank = patientRankOf(this.currentRank)
  }
}
