/**
 * The planned stop of an entry process: the time that it leaves, and whether a request can still be served within it.
 *
 * A request is sent to a server only if its run is expected to end before the process does. What may not is refused before it is sent,
 * so that its caller goes to another entry.
 */
import { RunTimes, neededMs, type Run } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'

/** The request that may be sent. */
export interface StartingRequest {
  /** Name of its route. */
  route: string
  /** Maximum number of output tokens; 0 if not stated. */
  outputTokens: number
  untilDeadlineMs: number
}

/** A request in progress. */
export interface EndableRequest {
  /** Ends the request if the stop leaves too little time for it. */
  endForStop: () => void
}

export class PlannedStop {
  readonly #requests = new Set<EndableRequest>()
  readonly #runTimes = new Map<string, RunTimes>()
  /** On the monotonic clock. */
  #endsAt = Infinity
  #stoppedListeningAt = Infinity

  begin (endsAt: number): void {
    this.#endsAt = endsAt
  }

  stopListening (): void {
    this.#stoppedListeningAt = nowMs()
  }

  /** Whether a request came after the process had stopped listening, on a connection that was open. `arrivedAt`: on the monotonic clock. */
  isTooLate (arrivedAt: number): boolean {
    return arrivedAt >= this.#stoppedListeningAt
  }

  /** Time left to serve requests; `Infinity` unless the process is stopping. */
  get leftMs (): number {
    return this.#endsAt - nowMs()
  }

  enter (request: EndableRequest): void {
    this.#requests.add(request)
  }

  leave (request: EndableRequest): void {
    this.#requests.delete(request)
  }

  /** Ends the requests for which too little time is left. */
  endLate (): void {
    for (const request of this.#requests) request.endForStop()
  }

  recordRun (route: string, run: Run): void {
    let runTimes = this.#runTimes.get(route)
    if (runTimes === undefined) this.#runTimes.set(route, runTimes = new RunTimes())
    runTimes.record(run)
  }

  /** The time that the request needs at most, from when it is sent. */
  neededMs ({ route, outputTokens, untilDeadlineMs }: StartingRequest): number {
    return neededMs(this.#runTimes.get(route)?.upperMs(outputTokens), untilDeadlineMs)
  }

  /** Until when the request may be sent, on the monotonic clock; `Infinity` unless the process is stopping. */
  latestStart (request: StartingRequest): number {
    return this.#endsAt === Infinity ? Infinity : this.#endsAt - this.neededMs(request)
  }
}
