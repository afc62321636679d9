/**
 * Admission queue in front of a backend server: limits how many requests run at once and orders the queued ones.
 *
 * A request that can't be served within its caller's time-out is refused at once, so that it can be sent to another process.
 */
import { notRun, type Failure, type Work } from '@finchpitch/core'
import { MovingAverage, TeamUsage, precedes, type QueuedWork } from '@finchpitch/decisions'
import { err, ok, type Result } from 'neverthrow'

export interface AdmissionQueueOptions {
  capacity: number
  maxQueued: number
  /** The weight of a team by the configuration. */
  weightOf: (team: string) => number
}

export const defaultMaxQueued = 1000
const initialServiceMs = 200

export type Release = () => void

interface Waiter extends QueuedWork {
  admit: () => void
}

export class AdmissionQueue {
  #running = 0
  readonly #queue: Waiter[] = []
  readonly #usage = new TeamUsage()
  readonly #serviceMs = new MovingAverage(initialServiceMs)

  constructor (private readonly options: AdmissionQueueOptions) {}

  get running (): number {
    return this.#running
  }

  get waiting (): number {
    return this.#queue.length
  }

  get capacity (): number {
    return this.options.capacity
  }

  set capacity (capacity: number) {
    this.options.capacity = capacity
    this.#admitQueued()
  }

  /** How long a request that arrives now is expected to queue, in milliseconds. */
  get expectedWaitMs (): number {
    const excess = this.#running + this.#queue.length + 1 - this.options.capacity
    return Math.max(0, excess) * this.#serviceMs.value / this.options.capacity
  }

  /** The failure of a request that has to be refused now, if any; checked before anything else is done for it. */
  overloadFailure (work: Work): Failure | undefined {
    const waitMs = this.expectedWaitMs
    if (waitMs <= work.patienceMs && this.#queue.length < this.options.maxQueued) return undefined
    return notRun('overloaded', { retryAfterMs: Math.max(100, waitMs - work.patienceMs) })
  }

  /** Queues a request until it may run. The returned function has to be called when it ends; further calls do nothing. */
  async admit (work: Work, deadline: number, signal: AbortSignal): Promise<Result<Release, Failure>> {
    if (signal.aborted) return err(notRun('cancelled'))
    const enqueuedAt = Date.now()
    const admitted = await new Promise<boolean>(resolve => {
      const timer = setTimeout(() => this.#abandon(waiter, resolve), Math.max(0, deadline - enqueuedAt))
      const onAbort = (): void => this.#abandon(waiter, resolve)
      const admit = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', onAbort)
        resolve(true)
      }
      const waiter: Waiter = { team: work.team, class: work.class, enqueuedAt, deadline, admit }
      signal.addEventListener('abort', onAbort)
      this.#queue.push(waiter)
      this.#usage.addTeam(work.team)
      this.#admitQueued()
    })
    if (!admitted) return err(signal.aborted ? notRun('cancelled') : notRun('overloaded', { retryAfterMs: this.expectedWaitMs }))
    return ok(this.#releaseOnce())
  }

  #abandon (waiter: Waiter, resolve: (admitted: boolean) => void): void {
    const index = this.#queue.indexOf(waiter)
    if (index >= 0) this.#queue.splice(index, 1)
    resolve(false)
  }

  #releaseOnce (): Release {
    const startedAt = Date.now()
    let released = false
    return () => {
      if (released) return
      released = true
      this.#running -= 1
      this.#serviceMs.add(Date.now() - startedAt)
      this.#admitQueued()
    }
  }

  #admitQueued (): void {
    while (this.#running < this.options.capacity && this.#queue.length > 0) {
      const now = Date.now()
      const next = this.#queue.reduce((best, waiter) => precedes(waiter, best, this.#usage, now) ? waiter : best)
      this.#queue.splice(this.#queue.indexOf(next), 1)
      this.#running += 1
      this.#usage.charge(next.team, this.options.weightOf(next.team))
      if (this.#queue.length === 0) this.#usage.retainTeams(new Set())
      next.admit()
    }
  }
}
