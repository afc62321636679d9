/**
 * Estimates how many requests per second a service accepts, from the response times that one process sees.
 *
 * Handles many processes in front of few servers: each process sees a few requests per second, and no server states its load.
 * Response times under load include queueing, so the service time is the least average of the recent past. What it gets wrong
 * shows as delay: a factor falls while responses take clearly longer than the service time, and rises while they don't.
 */

/** The service time is the least average of this time: a service whose pace has changed for good is known within it. */
const retentionMs = 10_000
/** An average covers at least this time and this many responses. Averages of fewer differ so much that the least is far too low. */
const periodMs = 1000
const periodResponses = 24
/** Responses from which a first value is taken, at the start of the process. */
const startResponses = 4
/**
 * Weight of a response in the smoothed response time, and the time over which responses are averaged where there are many: the
 * factor is adapted in steps, and would follow the extremes of a shorter average.
 */
const maxWeight = 0.15
const smoothingMs = 200
/** A response counts as at most this multiple of the service time, so that a single slow one can't make the service look busy. */
const maxRatio = 2.5
/** Above `delayedRatio` the factor falls; below `promptRatio` it rises. */
const delayedRatio = 1.6
const promptRatio = 1.3
/** A service is busy if the smoothed response time is over this multiple of the service time, and several responses show it. */
const busyRatio = 1.5
/**
 * This many responses in a row must be over `promptRatio` before a service counts as busy. Healthy response times differ by a
 * factor of two, so that their smoothed value is over it now and then.
 */
const slowInRow = 5
/**
 * The factor changes once in this time, and only by a delay, or its absence, that has lasted as long. It falls only by a request
 * that was sent after its last change: earlier ones met the load that the change has ended.
 */
const stepMs = 100
const fall = 0.98
const refusalFall = 0.9
const rise = 1.03
/**
 * While the smoothed response time is over this multiple of the service time, the capacity is also divided by the excess. The
 * servers' queues then empty within half a second; the factor alone would overshoot, as it responds to the sum of past excesses.
 */
const reliefRatio = 1.45
const factorRange = { min: 0.5, max: 1.3 }

interface Period { from: number, count: number, sumMs: number }

const averageOf = ({ sumMs, count }: Period): number => sumMs / count

export class CapacityEstimate {
  /** Closed periods within `retentionMs`, by start. */
  #periods: Period[] = []
  #current: Period | undefined
  #serviceMs: number | undefined
  #smoothedMs = 0
  #recordedAt = -Infinity
  #factor = 1
  /** When the factor last changed, or the limit came into force; `undefined` while there is none. */
  #steppedAt: number | undefined
  /** Since when the smoothed response time has been in the same range, and which. */
  #rangeSince = -Infinity
  #range: 'prompt' | 'between' | 'delayed' = 'between'
  #refusedAt = -Infinity
  /** Responses over `promptRatio` since the last one that was not. */
  #slowInRow = 0

  /** Estimated time that a server needs for one request; `undefined` until there were enough responses. */
  get serviceMs (): number | undefined {
    return this.#serviceMs
  }

  get smoothedMs (): number {
    return this.#smoothedMs
  }

  /** The factor by which the capacity is adapted to delays. */
  get factor (): number {
    const ratio = this.#serviceMs === undefined ? 1 : this.#smoothedMs / this.#serviceMs
    return Math.max(factorRange.min, this.#factor * Math.min(1, reliefRatio / ratio))
  }

  /** Requests per second of a service with so many slots; `undefined` until there were enough responses. */
  perSecond (slots: number): number | undefined {
    return this.#serviceMs === undefined ? undefined : slots / this.#serviceMs * 1000 * this.factor
  }

  /** Whether responses take clearly longer than the service time, which single slow ones don't explain. */
  get isDelayCertain (): boolean {
    return this.#slowInRow >= slowInRow && this.#smoothedMs > (this.#serviceMs ?? Infinity) * busyRatio
  }

  /**
   * Records a response. `limiting`: whether a limit by this estimate is in force, as responses say nothing about it otherwise.
   */
  recordResponse (ms: number, now: number, limiting: boolean): void {
    const counted = this.#serviceMs === undefined ? ms : Math.min(ms, this.#serviceMs * maxRatio)
    this.#addToPeriod(counted, now)
    if (this.#serviceMs === undefined) return
    this.#smoothedMs += Math.min(maxWeight, 1 - Math.exp((this.#recordedAt - now) / smoothingMs)) * (counted - this.#smoothedMs)
    this.#recordedAt = now
    this.#slowInRow = counted > this.#serviceMs * promptRatio ? this.#slowInRow + 1 : 0
    const ratio = this.#smoothedMs / this.#serviceMs
    this.#enterRange(ratio > delayedRatio ? 'delayed' : ratio < promptRatio ? 'prompt' : 'between', now)
    const steppedAt = this.#updateLimiting(limiting, now)
    if (steppedAt === undefined || now - this.#rangeSince < stepMs) return
    // The smoothed value lags behind, so that the factor would fall on after the delay has ended.
    if (this.#range === 'delayed' && counted > this.#serviceMs * delayedRatio && now - ms >= steppedAt) this.#step(fall, now)
    else if (this.#range === 'prompt') this.#step(rise, now)
  }

  /** A server refused a request because it is full, which is a delay over the limit. */
  recordRefusal (now: number, limiting: boolean): void {
    this.#refusedAt = now
    if (this.#updateLimiting(limiting, now) !== undefined) this.#step(refusalFall, now)
  }

  /** Ends a busy time: what its load required says nothing about the next one. */
  reset (): void {
    this.#factor = 1
  }

  #enterRange (range: 'prompt' | 'between' | 'delayed', now: number): void {
    if (range === this.#range) return
    this.#range = range
    this.#rangeSince = now
  }

  /** Returns when the factor last changed, or the limit came into force; `undefined` while there is none. */
  #updateLimiting (limiting: boolean, now: number): number | undefined {
    this.#steppedAt = limiting ? this.#steppedAt ?? now : undefined
    return this.#steppedAt
  }

  #step (by: number, now: number): void {
    if (now - (this.#steppedAt ?? now) < stepMs) return
    if (by > 1 && now - this.#refusedAt < stepMs) return
    this.#steppedAt = now
    this.#factor = Math.min(factorRange.max, Math.max(factorRange.min, this.#factor * by))
  }

  #addToPeriod (ms: number, now: number): void {
    const period = this.#current ??= { from: now, count: 0, sumMs: 0 }
    period.count += 1
    period.sumMs += ms
    if (period.count >= periodResponses && now - period.from >= periodMs) this.#closePeriod(period, now)
    else if (this.#periods.length === 0 && period.count >= startResponses) this.#start(averageOf(period))
  }

  #closePeriod (period: Period, now: number): void {
    this.#current = undefined
    this.#periods = this.#periods.filter(({ from }) => now - from < retentionMs)
    this.#periods.push(period)
    this.#start(Math.min(...this.#periods.map(averageOf)))
  }

  #start (serviceMs: number): void {
    if (this.#serviceMs === undefined) this.#smoothedMs = serviceMs
    this.#serviceMs = serviceMs
  }
}
