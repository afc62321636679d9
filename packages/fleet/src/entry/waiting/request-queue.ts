/**
 * Queue of requests that wait in the entry for a free server or for an adapter to load, by rank and then in order of arrival.
 *
 * A request leaves the queue when a server is selected for it, when waiting can no longer help it, or when it is cancelled or
 * quarantined. The queue is scanned shortly after a change that may let requests go on, and at intervals in case a change went
 * unnoticed.
 */
import { nowMs } from '../../clock.js'
import type { Cancellation } from '../serving/cancellation.js'
import type { Choice } from '../servers/choice.js'

export interface QueuedRequest {
  /** Requests with the same key get the same choice. */
  key: string
  /** The service that it is routed to. */
  service: string
  /** Current rank; the lowest goes first. */
  rank: () => number
  /** When it stops waiting, on the monotonic clock. */
  expiresAt: number
  choose: () => Choice
  /** Whether waiting for this can still help; if not, the wait ends at once. */
  mayWaitFor: (choice: Choice) => boolean
  /** Whether it has been quarantined since it was queued: it may not be sent to any server. */
  isQuarantined: () => boolean
  /** Asks an engine to load the key; `waiting`: how many requests wait for it. */
  requestLoad: (ask: string, waiting: number) => void
}

export type WaitOutcome = { type: 'chosen', choice: Extract<Choice, { type: 'send' }> } | { type: 'expired', last: Choice } | { type: 'cancelled' } | { type: 'quarantined' }

interface QueueEntry extends QueuedRequest {
  queuedAt: number
  last: Choice
  end: (outcome: WaitOutcome) => void
}

/** Delay of a scan after a change: changes come in bursts, and one scan covers them all. */
const scanDelayMs = 12
/** Interval of scans of requests that wait for capacity, which can become free without an event. */
const sweepIntervalMs = 60
/** One in this many sweeps scans all requests. Other changes come with an event, so this only helps if one was lost. */
const fullSweepEvery = 4

/** The choice for a request that is queued behind `ahead` others. */
export const queuedBehind = (choice: Choice, ahead: number): Choice =>
  choice.type === 'limited' && ahead > 0 ? { ...choice, readyInMs: choice.readyInMs + ahead * choice.everyMs } : choice

export class RequestQueue {
  readonly #entries = new Set<QueueEntry>()
  #scanTimer: NodeJS.Timeout | undefined
  /** Runs while the queue is not empty. */
  #sweepTimer: NodeJS.Timeout | undefined
  #sweepCount = 0
  /** Keys to evaluate in the next scan; `undefined` for all. */
  #dirtyKeys: Set<string> | undefined = new Set()

  get size (): number {
    return this.#entries.size
  }

  /** Number of requests queued for the key. */
  waiting (key: string): number {
    let count = 0
    for (const entry of this.#entries) if (entry.key === key) count += 1
    return count
  }

  /** Number of requests with at most this rank that wait for rate-limited servers of the service. */
  limitedAhead (service: string, rank: number): number {
    let count = 0
    for (const entry of this.#entries) if (entry.last.type === 'limited' && entry.service === service && entry.rank() <= rank) count += 1
    return count
  }

  wait (request: QueuedRequest, first: Choice, cancellation: Cancellation): Promise<WaitOutcome> {
    return new Promise(resolve => {
      const timer = setTimeout(() => this.#expire(entry), Math.max(0, request.expiresAt - nowMs()))
      const cancel = (): void => entry.end({ type: 'cancelled' })
      const entry: QueueEntry = {
        ...request,
        queuedAt: nowMs(),
        last: first,
        end: outcome => {
          if (!this.#entries.delete(entry)) return
          clearTimeout(timer)
          if (this.#entries.size === 0) this.#stopSweep()
          unsubscribe()
          resolve(outcome)
        }
      }
      const unsubscribe = cancellation.onCancel(cancel)
      this.#entries.add(entry)
      this.#sweepTimer ??= setInterval(() => this.#runSweep(), sweepIntervalMs)
      if (cancellation.cancelled) return cancel()
      this.#requestLoad(first, entry)
    })
  }

  /** Schedules a scan after a change that may let queued requests go on: those for `keys`, or all. */
  scheduleScan (keys?: readonly string[]): void {
    if (this.#entries.size === 0) return
    if (keys === undefined) this.#dirtyKeys = undefined
    for (const key of keys ?? []) this.#dirtyKeys?.add(key)
    this.#scanTimer ??= setTimeout(() => this.#runScan(), scanDelayMs)
  }

  /** Capacity became free: schedules a scan of the requests that wait for it. */
  scheduleCapacityScan (): void {
    const keys = new Set<string>()
    for (const { last, key } of this.#entries) if (last.type === 'full' || last.type === 'resting' || last.type === 'limited' || (last.type === 'bring' && last.held)) keys.add(key)
    if (keys.size > 0) this.scheduleScan([...keys])
  }

  /**
   * Ends a wait, after the scan that is pending, if any. After a stall of this process, the timer of the wait fires before that of the
   * scan: requests were refused for want of a server 0.1 s after their entry had learned of one.
   */
  #expire (entry: QueueEntry): void {
    if (this.#scanTimer !== undefined) this.#runScan()
    entry.end({ type: 'expired', last: entry.last })
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
    clearTimeout(this.#scanTimer)
    this.#scanTimer = undefined
    const dirty = this.#dirtyKeys
    this.#dirtyKeys = new Set()
    const waiting = [...this.#entries].filter(entry => dirty === undefined || dirty.has(entry.key))
    const ranked = waiting.map(entry => ({ entry, rank: entry.rank() }))
    const ordered = ranked.sort((a, b) => a.rank - b.rank || a.entry.queuedAt - b.entry.queuedAt)
    const blocked = new Map<string, Choice>()
    /** Requests scanned so far that wait for rate-limited servers, by service. */
    const limitedByService = new Map<string, number>()
    for (const { entry } of ordered) {
      if (entry.isQuarantined()) {
        entry.end({ type: 'quarantined' })
        continue
      }
      const known = blocked.get(entry.key)
      const ahead = limitedByService.get(entry.service) ?? 0
      const unqueued = known ?? entry.choose()
      const choice = queuedBehind(unqueued, ahead)
      entry.last = choice
      if (!entry.mayWaitFor(choice)) {
        entry.end({ type: 'expired', last: choice })
        continue
      }
      if (choice.type === 'send') {
        entry.end({ type: 'chosen', choice })
        continue
      }
      if (choice.type === 'limited') limitedByService.set(entry.service, ahead + 1)
      if (known !== undefined) continue
      blocked.set(entry.key, unqueued)
      this.#requestLoad(choice, entry)
    }
  }

  #requestLoad (choice: Choice, entry: QueueEntry): void {
    if (choice.type === 'bring' && choice.ask !== undefined) entry.requestLoad(choice.ask, this.waiting(entry.key))
  }
}
