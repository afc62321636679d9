/**
 * Queue of requests that wait in the entry for a free server or for an adapter to load, by rank, team and arrival.
 *
 * A request leaves the queue when a server is selected for it, when waiting can no longer help it, or when it is cancelled or
 * quarantined. The queue is scanned shortly after a change that may let requests go on, and at intervals in case a change went
 * unnoticed.
 */
import { nowMs } from '../../clock.js'
import type { Cancellation } from '../serving/cancellation.js'
import type { Choice } from '../servers/choice.js'
import { QueueEntry, type QueuedRequest, type WaitOutcome } from './queue-entry.js'
import { ServiceQueue, waitsForCapacity } from './service-queue.js'
import { Places, ServiceScan } from './service-scan.js'
import type { Place } from './wait-statistics.js'
import { SlotTimes } from './slot-times.js'

/** Delay of a scan after a change: changes come in bursts, and one scan covers them all. */
const scanDelayMs = 12
/** Interval of scans of requests that wait for capacity, which can become free without an event. */
const sweepIntervalMs = 60
/** One in this many sweeps scans all requests. Other changes come with an event, so this only helps if one was lost. */
const fullSweepEvery = 4

/** What a request waits for that found capacity for which others already wait. */
const behindOthers: Choice = { type: 'full', reason: 'others wait for it' }

/** Whether the request waits for any capacity for the key, whatever its own properties. */
const waitsForSame = ({ key, last, request }: QueueEntry, newKey: string): boolean =>
  key === newKey && (last.type === 'full' || last.type === 'limited') && !request.hasOwnChoice

export class RequestQueue {
  readonly slotTimes = new SlotTimes()
  readonly #services = new Map<string, ServiceQueue>()
  #size = 0
  #scanTimer: NodeJS.Timeout | undefined
  #scanSoon = false
  /** Runs while the queue is not empty. */
  #sweepTimer: NodeJS.Timeout | undefined
  #sweepCount = 0
  /** Keys to evaluate in the next scan; `undefined` for all. */
  #dirtyKeys: Set<string> | undefined = new Set()

  get size (): number {
    return this.#size
  }

  /** Number of requests queued for the key. */
  waiting (key: string): number {
    let count = 0
    for (const { entries } of this.#services.values()) for (const entry of entries) if (entry.key === key) count += 1
    return count
  }

  /** Whether requests wait that may go before a new one for the key, if that finds capacity. */
  hasWaiting (service: string, key: string): boolean {
    if (this.#size === 0) return false
    for (const entry of this.#services.get(service)?.entries ?? []) if (entry.last.type === 'limited' || waitsForSame(entry, key)) return true
    return false
  }

  /** Number of requests with at most this rank that wait for rate-limited servers of the service. */
  limitedAhead (service: string, rank: number): number {
    const queue = this.#services.get(service)
    if (queue === undefined) return 0
    if (rank === Infinity) return queue.waiting('limited')
    let count = 0
    for (const entry of queue.entries) if (entry.last.type === 'limited' && entry.request.rank() <= rank) count += 1
    return count
  }

  /** Number of waiting requests that go before the request: those that wait for rate-limited servers, and those with its key that wait for capacity. */
  aheadOf (request: QueuedRequest): { limited: number, sameKey: number } {
    const ahead = { limited: 0, sameKey: 0 }
    const arriving = new QueueEntry(request, behindOthers, nowMs(), () => {})
    for (const entry of this.#serviceOf(request.service).ordered(nowMs(), arriving)) {
      if (entry === arriving) break
      if (entry.last.type === 'limited') ahead.limited += 1
      if (waitsForSame(entry, request.key)) ahead.sameKey += 1
    }
    return ahead
  }

  /** Counts the work of a request that a server was selected for. */
  recordWork (service: string, team: string | undefined, work: number): void {
    this.#serviceOf(service).work.add(team ?? '', work, nowMs())
  }

  /** Waits for a server. `first`: the choice so far; with `send`, the request waits behind others for the same capacity. */
  wait (request: QueuedRequest, first: Choice, cancellation: Cancellation): Promise<WaitOutcome> {
    const last = first.type === 'send' ? behindOthers : first
    const service = this.#serviceOf(request.service)
    const now = nowMs()
    return new Promise(resolve => {
      const entry: QueueEntry = new QueueEntry(request, last, now, (_entry, outcome) => {
        if (!service.remove(entry, nowMs())) return
        this.#size -= 1
        clearTimeout(timer)
        if (this.#size === 0) this.#stopSweep()
        unsubscribe()
        resolve(outcome)
      })
      const place = this.#placeOf(entry, service, now)
      const rejection = service.rejection(entry, place, now)
      if (rejection !== undefined) return resolve({ type: 'expired', last, returnTime: service.returnTime(entry, place, now), rejection, onArrival: true, expectedMs: rejection.expectedMs })
      entry.expectedMs = service.expected(entry, place, now)?.ms
      const timer = setTimeout(() => this.#expire(entry, service), Math.max(0, request.expiresAt - now))
      const cancel = (): void => entry.end(entry, { type: 'cancelled', expectedMs: entry.expectedMs })
      const unsubscribe = cancellation.onCancel(cancel)
      service.add(entry, now)
      this.#size += 1
      this.#sweepTimer ??= setInterval(() => this.#runSweep(), sweepIntervalMs)
      if (cancellation.cancelled) return cancel()
      if (first.type === 'send') this.#scanAtOnce([request.key])
      this.#requestLoad(first, entry)
    })
  }

  /** Schedules a scan after a change that may let queued requests go on: those for `keys`, or all. */
  scheduleScan (keys?: readonly string[]): void {
    if (this.#size === 0) return
    this.#markDirty(keys)
    this.#scanTimer ??= setTimeout(() => {
      this.#scanTimer = undefined
      this.#runScan()
    }, scanDelayMs)
  }

  /** Capacity became free: schedules a scan of the requests that wait for it. */
  scheduleCapacityScan (): void {
    if (this.#size === 0) return
    const keys = new Set<string>()
    for (const { entries } of this.#services.values()) for (const { last, key } of entries) if (waitsForCapacity(last)) keys.add(key)
    if (keys.size > 0) this.scheduleScan([...keys])
  }

  #markDirty (keys?: readonly string[]): void {
    if (keys === undefined) this.#dirtyKeys = undefined
    for (const key of keys ?? []) this.#dirtyKeys?.add(key)
  }

  /** Scans as soon as the requests that were just sent have been counted. */
  #scanAtOnce (keys: Iterable<string>): void {
    this.#markDirty([...keys])
    if (this.#scanSoon) return
    this.#scanSoon = true
    setImmediate(() => {
      this.#scanSoon = false
      this.#runScan()
    })
  }

  #runSweep (): void {
    this.#sweepCount += 1
    if (this.#sweepCount % fullSweepEvery === 0) this.scheduleScan()
    else this.scheduleCapacityScan()
  }

  #stopSweep (): void {
    clearInterval(this.#sweepTimer)
    this.#sweepTimer = undefined
  }

  #runScan (): void {
    const keys = this.#dirtyKeys
    this.#dirtyKeys = new Set()
    if (keys?.size === 0) return
    for (const queue of this.#services.values()) if (queue.entries.size > 0) this.#scanService(queue, keys)
  }

  #scanService (queue: ServiceQueue, keys: ReadonlySet<string> | undefined): void {
    const scan = new ServiceScan({ queue, keys, now: nowMs(), requestLoad: (choice, entry) => this.#requestLoad(choice, entry) })
    scan.run()
    if (scan.deferred.size > 0) this.#scanAtOnce(scan.deferred)
  }

  /**
   * Ends a wait, after the scan that is pending, if any. After a stall of this process, the timer of the wait fires before that of the
   * scan: requests were refused for want of a server 0.1 s after their entry had learned of one.
   */
  #expire (entry: QueueEntry, service: ServiceQueue): void {
    if (this.#scanTimer !== undefined) this.#runScan()
    if (!service.entries.has(entry)) return
    const now = nowMs()
    const returnTime = service.returnTime(entry, this.#placeOf(entry, service, now), now)
    entry.end(entry, { type: 'expired', last: entry.last, returnTime, rejection: undefined, onArrival: false, expectedMs: entry.expectedMs })
  }

  /** Its place among the requests that wait for the same, whether it is queued already or about to be. */
  #placeOf (entry: QueueEntry, service: ServiceQueue, now: number): Place {
    const places = new Places()
    for (const each of service.ordered(now, service.entries.has(entry) ? undefined : entry)) {
      if (each === entry) break
      places.pass(each)
    }
    return places.next(entry.last.type, entry.team)
  }

  #serviceOf (name: string): ServiceQueue {
    let service = this.#services.get(name)
    if (service === undefined) this.#services.set(name, service = new ServiceQueue())
    return service
  }

  #requestLoad (choice: Choice, entry: QueueEntry): void {
    if (choice.type === 'bring' && choice.ask !== undefined) entry.request.requestLoad(choice.ask, this.waiting(entry.key))
  }
}
