/**
 * One pass over the requests that wait for a service: those that can start are sent, those that can't start in time are rejected.
 *
 * Choices don't count a request as sent until it is sent, which is after the pass. A pass therefore sends a server only one request
 * that waited for capacity, and reports that another pass is needed if there is a second one.
 */
import { longestWaiting, type ReservedStart } from '@finchpitch/decisions'
import type { Choice } from '../servers/choice.js'
import type { QueueEntry } from './queue-entry.js'
import { waitsForCapacity, type ServiceQueue } from './service-queue.js'
import type { Place } from './wait-statistics.js'

/** The choice for a request that is queued behind `ahead` others. */
export const queuedBehind = (choice: Choice, ahead: number): Choice =>
  choice.type === 'limited' && ahead > 0 ? { ...choice, readyInMs: choice.readyInMs + ahead * choice.everyMs } : choice

/** Counts the requests that have been passed, by what they wait for. */
export class Places {
  readonly #all = new Map<Choice['type'], number>()
  readonly #late = new Map<Choice['type'], number>()
  readonly #byTeam = new Map<Choice['type'], Map<string, number>>()

  /** The place of the team's next request that waits for this. */
  next (type: Choice['type'], team: string): Place {
    return { ahead: this.#all.get(type) ?? 0, teamAhead: this.#byTeam.get(type)?.get(team) ?? 0, lateAhead: this.#late.get(type) ?? 0 }
  }

  pass ({ last: { type }, team, isLate }: QueueEntry): void {
    this.#all.set(type, (this.#all.get(type) ?? 0) + 1)
    if (isLate) this.#late.set(type, (this.#late.get(type) ?? 0) + 1)
    let teams = this.#byTeam.get(type)
    if (teams === undefined) this.#byTeam.set(type, teams = new Map())
    teams.set(team, (teams.get(team) ?? 0) + 1)
  }
}

export interface ServiceScanOptions {
  queue: ServiceQueue
  /** Keys to evaluate; `undefined` for all. */
  keys: ReadonlySet<string> | undefined
  now: number
  requestLoad: (choice: Choice, entry: QueueEntry) => void
}

export class ServiceScan {
  /** Keys with requests that are to be evaluated again, as soon as those sent have been counted. */
  readonly deferred = new Set<string>()
  readonly #blocked = new Map<string, Choice>()
  /** Servers that a request was sent to that waited for capacity. */
  readonly #sent = new Set<string>()
  readonly #places = new Places()
  /** Requests that were evaluated before their turn. */
  readonly #preferred = new Set<QueueEntry>()
  /** No reserved start is possible any more in this pass. */
  #reservedDone = false

  constructor (private readonly options: ServiceScanOptions) {}

  run (): void {
    const { queue, now } = this.options
    const ordered = queue.ordered(now)
    for (const entry of ordered) {
      const due = this.#reservedDone ? undefined : queue.guard.due
      if (due !== undefined) this.#serveReserved(due, ordered)
      if (!this.#preferred.has(entry)) this.#scan(entry)
    }
  }

  /** Gives a start that is reserved to the request that it is due to. */
  #serveReserved (due: ReservedStart, ordered: readonly QueueEntry[]): void {
    const { queue, now } = this.options
    const isWaiting = (entry: QueueEntry): boolean => queue.entries.has(entry) && this.#isDirty(entry) && waitsForCapacity(entry.last)
    const entry = due === 'aged' ? longestWaiting(ordered.filter(isWaiting), now) : ordered.find(each => each.waitedAsTold && isWaiting(each))
    if (entry === undefined) {
      queue.guard.skip(due)
      this.#reservedDone = due === 'returned'
      return
    }
    this.#reservedDone = this.#preferred.has(entry)
    if (this.#reservedDone) return
    this.#preferred.add(entry)
    this.#scan(entry, due)
    this.#reservedDone = queue.entries.has(entry)
  }

  #isDirty ({ key }: QueueEntry): boolean {
    const { keys } = this.options
    return keys === undefined || keys.has(key)
  }

  #scan (entry: QueueEntry, reserved?: ReservedStart): void {
    const { queue } = this.options
    if (!queue.entries.has(entry)) return
    if (this.#isDirty(entry)) this.#evaluate(entry, reserved)
    if (queue.entries.has(entry)) this.#places.pass(entry)
  }

  #evaluate (entry: QueueEntry, reserved: ReservedStart | undefined): void {
    const { key, request } = entry
    if (request.isQuarantined()) return entry.end(entry, { type: 'quarantined', expectedMs: entry.expectedMs })
    if (this.deferred.has(key)) return
    // Capacity may be left for a promised request where there is none for others with its key.
    const promised = reserved === 'returned'
    const known = request.hasOwnChoice || promised ? undefined : this.#blocked.get(key)
    const choice = known ?? request.choose(promised)
    if (choice.type === 'send') return this.#send(entry, choice, reserved)
    this.#keep(entry, choice)
    if (known !== undefined || request.hasOwnChoice) return
    this.#blocked.set(key, choice)
    if (this.options.queue.entries.has(entry)) this.options.requestLoad(entry.last, entry)
  }

  #send (entry: QueueEntry, choice: Extract<Choice, { type: 'send' }>, reserved: ReservedStart | undefined): void {
    const { queue, now } = this.options
    if (waitsForCapacity(entry.last)) {
      if (this.#sent.has(choice.id)) {
        this.deferred.add(entry.key)
        return
      }
      this.#sent.add(choice.id)
    }
    queue.recordStart(entry, reserved, now)
    entry.end(entry, { type: 'chosen', choice, expectedMs: entry.expectedMs })
  }

  /** Lets the request wait for the choice, or rejects it. */
  #keep (entry: QueueEntry, choice: Choice): void {
    const { queue, now } = this.options
    queue.update(entry, queuedBehind(choice, this.#places.next('limited', entry.team).ahead), now)
    const place = this.#places.next(entry.last.type, entry.team)
    const rejection = queue.rejection(entry, place, now)
    if (rejection === undefined) return
    entry.end(entry, { type: 'expired', last: entry.last, returnTime: queue.returnTime(entry, place, now), rejection, onArrival: false, expectedMs: entry.expectedMs })
  }
}
