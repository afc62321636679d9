/**
 * The gate: how many requests the backend server runs at once, and in what order the rest follow.
 *
 * Whatever can't be served within its caller's patience is refused at once, so that the caller can go elsewhere.
 */
import { notRun, type Failure, type Work } from '@finchpitch/core'
import { MovingAverage, TeamUsage, precedes, type QueuedRequest } from '@finchpitch/decisions'
import { err, ok, type Result } from 'neverthrow'

export interface GateOptions {
  capacity: number
  maxWaiting: number
  /** A team's weight in the configuration. */
  weightOf: (team: string) => number
}

export const defaultMaxWaiting = 1000
const firstServiceMs = 200

export type Release = () => void

interface Ticket extends QueuedRequest {
  admit: () => void
}

export class Gate {
  #running = 0
  readonly #waiting: Ticket[] = []
  readonly #shares = new TeamUsage()
  readonly #service = new MovingAverage(firstServiceMs)

  constructor (private readonly options: GateOptions) {}

  get running (): number {
    return this.#running
  }

  get waiting (): number {
    return this.#waiting.length
  }

  get capacity (): number {
    return this.options.capacity
  }

  set capacity (capacity: number) {
    this.options.capacity = capacity
    this.#pump()
  }

  /** How long a request that comes now would wait, in milliseconds. */
  get expectedWaitMs (): number {
    const ahead = this.#running + this.#waiting.length + 1 - this.options.capacity
    return Math.max(0, ahead) * this.#service.value / this.options.capacity
  }

  /** Why a request can't be taken now, if it can't; asked before anything is done for it. */
  refusal (work: Work): Failure | undefined {
    const waitMs = this.expectedWaitMs
    if (waitMs <= work.patienceMs && this.#waiting.length < this.options.maxWaiting) return undefined
    return notRun('overloaded', { retryAfterMs: Math.max(100, waitMs - work.patienceMs) })
  }

  async enter (work: Work, deadline: number, signal: AbortSignal): Promise<Result<Release, Failure>> {
    if (signal.aborted) return err(notRun('cancelled'))
    const since = Date.now()
    const admitted = await new Promise<boolean>(resolve => {
      const timer = setTimeout(() => this.#leave(ticket, resolve), Math.max(0, deadline - since))
      const onAbort = (): void => this.#leave(ticket, resolve)
      const admit = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', onAbort)
        resolve(true)
      }
      const ticket: Ticket = { team: work.team, class: work.class, enqueuedAt: since, deadline, admit }
      signal.addEventListener('abort', onAbort)
      this.#waiting.push(ticket)
      this.#shares.addTeam(work.team)
      this.#pump()
    })
    if (!admitted) return err(signal.aborted ? notRun('cancelled') : notRun('overloaded', { retryAfterMs: this.expectedWaitMs }))
    return ok(this.#releaseOnce())
  }

  #leave (ticket: Ticket, resolve: (admitted: boolean) => void): void {
    const at = this.#waiting.indexOf(ticket)
    if (at >= 0) this.#waiting.splice(at, 1)
    resolve(false)
  }

  #releaseOnce (): Release {
    const startedAt = Date.now()
    let released = false
    return () => {
      if (released) return
      released = true
      this.#running -= 1
      this.#service.add(Date.now() - startedAt)
      this.#pump()
    }
  }

  #pump (): void {
    while (this.#running < this.options.capacity && this.#waiting.length > 0) {
      const now = Date.now()
      const next = this.#waiting.reduce((best, ticket) => precedes(ticket, best, this.#shares, now) ? ticket : best)
      this.#waiting.splice(this.#waiting.indexOf(next), 1)
      this.#running += 1
      this.#shares.charge(next.team, this.options.weightOf(next.team))
      if (this.#waiting.length === 0) this.#shares.retainTeams(new Set())
      next.admit()
    }
  }
}
