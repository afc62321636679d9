/**
 * What was measured lately of the requests of one service that waited for the same reason: how fast they start, how long loads of
 * adapters take, and when rejected callers were told to return.
 */
import { delayed, isTooLate, laterEstimate, ReturnSchedule, StartRate, WaitTimes, type WaitEstimate } from '@finchpitch/decisions'

/** Where a request is in the order of those that wait for the same reason. */
export interface Place {
  /** Requests ahead of it. */
  ahead: number
  /** Requests of its own team ahead of it. */
  teamAhead: number
  /** Late requests that wait, or that go before it if it is late itself. */
  lateAhead: number
}

/** What the statistics need to know of a request. */
export interface WaitingClass {
  team: string
  /** It can't meet its objective any more. */
  isLate: boolean
}

/** With more teams than this, the rates of those that have no request waiting are removed. */
const maxIdleTeams = 64

export class WaitStatistics {
  readonly returns = new ReturnSchedule()
  readonly #all = new StartRate()
  readonly #late = new StartRate()
  readonly #byTeam = new Map<string, StartRate>()
  /** By the reason of the choice. */
  readonly #loads = new Map<string, WaitTimes>()

  /** Number of requests that wait. */
  get waiting (): number {
    return this.#all.waiting
  }

  enter ({ team, isLate }: WaitingClass, now: number): void {
    this.#all.enter(now)
    this.#ofTeam(team).enter(now)
    if (isLate) this.enterLate(now)
  }

  leave ({ team, isLate }: WaitingClass, now: number): void {
    this.#all.leave(now)
    this.#ofTeam(team).leave(now)
    if (isLate) this.#late.leave(now)
  }

  /** A request that waits became late. */
  enterLate (now: number): void {
    this.#late.enter(now)
  }

  /** Records that a request started that had waited for `waitedMs`. */
  recordStart ({ team, isLate }: WaitingClass, reason: string, waitedMs: number, now: number): void {
    this.#all.recordStart(now)
    this.#ofTeam(team).recordStart(now)
    if (isLate) this.#late.recordStart(now)
    let loads = this.#loads.get(reason)
    if (loads === undefined) this.#loads.set(reason, loads = new WaitTimes())
    loads.add(waitedMs, now)
  }

  /** Starts per second; `undefined` if too few were seen lately. */
  perSecond (now: number): number | undefined {
    return this.#all.perSecond(now)
  }

  /**
   * The expected wait by the rate of starts. New requests of teams with less work overtake those of a flooding team, so the wait
   * by the rate of its own starts counts if that is longer. In the same way, a request that is not expected to start within
   * `lateInMs` is overtaken by all that are in time, so from then on the rate of late starts counts.
   */
  byRate ({ team, isLate }: WaitingClass, { ahead, teamAhead, lateAhead }: Place, lateInMs: number, now: number): WaitEstimate | undefined {
    const all = this.#all.estimate(ahead, now)
    if (all === undefined) return undefined
    const inOrder = laterEstimate(all, this.#byTeam.get(team)?.estimateOfClass(teamAhead, now))
    if (isLate || inOrder === undefined || !isTooLate(inOrder, lateInMs)) return inOrder
    const startsBefore = ahead * lateInMs / inOrder.ms
    const late = this.#late.estimateOfClass(lateAhead + ahead - startsBefore, now)
    return late === undefined ? inOrder : laterEstimate(inOrder, delayed(late, lateInMs))
  }

  /** Number of late requests that wait. */
  get lateWaiting (): number {
    return this.#late.waiting
  }

  /** The expected remaining wait by the times that loads took lately. */
  byLoads (reason: string, waitedMs: number, now: number): WaitEstimate | undefined {
    return this.#loads.get(reason)?.estimate(waitedMs, now)
  }

  #ofTeam (team: string): StartRate {
    let rate = this.#byTeam.get(team)
    if (rate !== undefined) return rate
    if (this.#byTeam.size >= maxIdleTeams) for (const [name, each] of this.#byTeam) if (each.waiting === 0) this.#byTeam.delete(name)
    rate = new StartRate()
    this.#byTeam.set(team, rate)
    return rate
  }
}
