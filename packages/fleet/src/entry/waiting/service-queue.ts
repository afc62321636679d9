/**
 * The requests that wait for one service: their order, and when each is expected to start.
 *
 * An estimate rejects a request only if it can't start while that still helps its caller. A caller that returned as it was told is
 * not rejected by an estimate again, and any caller that returns only by a limit.
 */
import { delayed, isTooLate, orderWaiting, rejectionMargin, ReservedStarts, startsPerPromise, TeamWork, type ReservedStart, type WaitEstimate } from '@finchpitch/decisions'
import type { Choice } from '../servers/choice.js'
import type { QueueEntry } from './queue-entry.js'
import { WaitStatistics, type Place } from './wait-statistics.js'

/** Why a request waits, for the reasons whose waits are measured. */
export type MeasuredType = 'full' | 'limited' | 'bring'

/** A request that has waited and may wait no longer than this goes on: its caller gains little by an earlier rejection. */
const minSavedMs = 250

type MeasuredChoice = Extract<Choice, { type: MeasuredType }>

const isMeasured = (choice: Choice): choice is MeasuredChoice => choice.type === 'full' || choice.type === 'limited' || choice.type === 'bring'

/** Whether a request with this choice can start as soon as any capacity becomes free. */
export const waitsForCapacity = (choice: Choice): boolean =>
  choice.type === 'full' || choice.type === 'resting' || choice.type === 'limited' || (choice.type === 'bring' && choice.held)

/** Why a request was rejected before its time was up: the inputs of the decision, for the log. */
export interface Rejection {
  expectedMs: number
  mayWaitMs: number
  ahead: number
  perSecond: number | undefined
}

/** When a rejected caller is told to return. */
export interface ReturnTime {
  ms: number
  /** By what was measured here, not by what a choice states. */
  measured: boolean
}

export class ServiceQueue {
  readonly entries = new Set<QueueEntry>()
  readonly work = new TeamWork()
  readonly guard = new ReservedStarts()
  readonly #statistics: { [Type in MeasuredType]: WaitStatistics } = { full: new WaitStatistics(), limited: new WaitStatistics(), bring: new WaitStatistics() }

  add (entry: QueueEntry, now: number): void {
    this.entries.add(entry)
    this.#statisticsOf(entry.last)?.enter(entry, now)
  }

  /** Returns whether it waited here. */
  remove (entry: QueueEntry, now: number): boolean {
    if (!this.entries.delete(entry)) return false
    this.#statisticsOf(entry.last)?.leave(entry, now)
    if (this.entries.size === 0) this.guard.reset()
    return true
  }

  /** Updates what the request waits for. */
  update (entry: QueueEntry, choice: Choice, now: number): void {
    const before = entry.last
    entry.last = choice
    if (before.type === choice.type) return
    this.#statisticsOf(before)?.leave(entry, now)
    this.#statisticsOf(choice)?.enter(entry, now)
  }

  recordStart (entry: QueueEntry, reserved: ReservedStart | undefined, now: number): void {
    this.guard.recordStart(reserved)
    this.#statisticsOf(entry.last)?.recordStart(entry, entry.last.reason, now - entry.queuedAt, now)
  }

  /** Number of requests that wait for the reason. */
  waiting (type: MeasuredType): number {
    return this.#statistics[type].waiting
  }

  /** The waiting requests in the order in which they are served. */
  ordered (now: number, arriving?: QueueEntry): QueueEntry[] {
    const entries = [...this.entries]
    if (arriving !== undefined) entries.push(arriving)
    for (const entry of entries) {
      entry.updateRank()
      if (!entry.isLate && now >= entry.request.lateAt) this.#markLate(entry, now)
    }
    orderWaiting(entries, this.work, now)
    return entries
  }

  /** The expected wait of a request from now on; `undefined` if too little is known. */
  expected (entry: QueueEntry, place: Place, now: number): WaitEstimate | undefined {
    const { last } = entry
    if (last.type === 'resting') return delayed(undefined, last.readyInMs)
    if (!isMeasured(last)) return undefined
    if (last.type === 'bring') return last.readyInMs === undefined ? this.#statistics.bring.byLoads(last.reason, now - entry.queuedAt, now) : delayed(undefined, last.readyInMs)
    const measured = this.#byRate(entry, last, place, now)
    if (last.type === 'limited') return measured ?? delayed(undefined, last.readyInMs)
    return last.readyInMs === undefined ? measured : delayed(measured, last.readyInMs)
  }

  /** Why the request is rejected now; `undefined` if it goes on waiting. */
  rejection (entry: QueueEntry, place: Place, now: number): Rejection | undefined {
    const { last, request } = entry
    if (this.#isExempt(entry) || this.#isNearEnd(entry, now)) return undefined
    const statistics = this.#statisticsOf(last)
    const expected = this.expected(entry, place, now)
    const rejects = last.type === 'limited' ? this.#isLimitTooLate(entry, last, expected) : !request.mayWaitFor(last) || (isMeasured(last) && expected !== undefined && isTooLate(expected, request.expiresAt - now))
    return rejects ? { expectedMs: expected?.ms ?? 0, mayWaitMs: request.expiresAt - now, ahead: place.ahead, perSecond: statistics?.perSecond(now) } : undefined
  }

  /**
   * Whether no estimate rejects the request. A caller that waited a third of its time does not return again, and the rate of starts
   * may be that of a time with less capacity; the share of a busy service is known, though.
   */
  #isExempt ({ last, request, waitedAsTold }: QueueEntry): boolean {
    return waitedAsTold || (request.returning && (last.type === 'full' || last.type === 'bring'))
  }

  #isNearEnd ({ queuedAt, expiresAt }: QueueEntry, now: number): boolean {
    return now > queuedAt && expiresAt - now < minSavedMs
  }

  /** When the caller of a rejected request is told to return. */
  returnTime (entry: QueueEntry, place: Place, now: number): ReturnTime {
    const { last, request, team } = entry
    const statistics = this.#statisticsOf(last)
    const expected = statistics === undefined ? undefined : this.expected(entry, place, now)
    if (statistics === undefined || expected === undefined) return { ms: last.type === 'resting' ? Math.ceil(last.readyInMs) : 0, measured: false }
    const startEveryMs = this.#startEveryMs(last, statistics, now)
    // Only a part of the starts is reserved for callers that return.
    const { ms } = statistics.returns.tell({ team, expectedMs: expected.ms, everyMs: startEveryMs * startsPerPromise, startEveryMs, window: request.returnWindow(), draw: Math.random() }, now)
    return { ms, measured: true }
  }

  /** Expected time between starts. */
  #startEveryMs (last: Choice, statistics: WaitStatistics, now: number): number {
    const perSecond = statistics.perSecond(now)
    return perSecond === undefined ? last.type === 'limited' ? last.everyMs : 0 : 1000 / perSecond
  }

  /**
   * Whether the time that a limit allows comes too late. Starts that were measured show whether the limit is claimed correctly: if
   * they are quicker, the request waits; if they are much slower, it is rejected although the claim is in time.
   */
  #isLimitTooLate ({ request }: QueueEntry, limited: Extract<Choice, { type: 'limited' }>, expected: WaitEstimate | undefined): boolean {
    const mayStartIn = (readyInMs: number): boolean => request.mayWaitFor({ ...limited, readyInMs })
    if (expected === undefined || mayStartIn(expected.ms)) return false
    return !mayStartIn(limited.readyInMs) || (!mayStartIn(expected.ms / rejectionMargin) && !mayStartIn(expected.soonestMs))
  }

  #markLate (entry: QueueEntry, now: number): void {
    entry.isLate = true
    if (this.entries.has(entry)) this.#statisticsOf(entry.last)?.enterLate(now)
  }

  #byRate (entry: QueueEntry, { type }: MeasuredChoice, { ahead, teamAhead, lateAhead }: Place, now: number): WaitEstimate | undefined {
    const { team, request, isLate } = entry
    const statistics = this.#statistics[type]
    const booked = request.returning ? 0 : statistics.returns.pending(team, now)
    const place = { ahead: ahead + booked, teamAhead: teamAhead + booked, lateAhead: isLate ? lateAhead : statistics.lateWaiting }
    // A request that was accepted in time waits until it is late, as capacity may rise until then.
    return statistics.byRate(entry, place, this.entries.has(entry) ? Infinity : request.lateAt - now, now)
  }

  #statisticsOf (choice: Choice): WaitStatistics | undefined {
    return isMeasured(choice) ? this.#statistics[choice.type] : undefined
  }
}
