/**
 * Requests that wait at the entry for a place or an adapter: the urgent first, then in order of arrival.
 */
import { nowMs } from '../clock.js'
import type { Cancellation } from './cancellation.js'
import type { Choice } from './choice.js'

export interface Waiter {
  /** Requests with the same key get the same choice. */
  key: string
  /** The service that it asks. */
  service: string
  /** Its rank now; the lowest goes first. */
  rank: () => number
  /** When it stops waiting, on the steady clock. */
  until: number
  choose: () => Choice
  /** Whether waiting for this can still help; it is ended at once otherwise. */
  mayWaitFor: (choice: Choice) => boolean
  /** It is to be sent nowhere, whatever falls free. */
  hopeless: () => boolean
  /** Asks an engine to bring in what is waited for by so many. */
  bring: (ask: string, waiting: number) => void
}

export type WaitEnd = { type: 'chosen', choice: Extract<Choice, { type: 'send' }> } | { type: 'expired', last: Choice } | { type: 'left' } | { type: 'hopeless' }

interface Entry extends Waiter {
  since: number
  last: Choice
  end: (end: WaitEnd) => void
}

/** News come in bursts; one look serves them all. */
const scanMs = 12
/** Requests that wait for a place are looked at this often, as places fall free at engines without any news. */
const sweepMs = 60
/** Of so many such looks one is at all that wait: what they wait for is told, so this only helps where news was lost. */
const sweepAllEvery = 4

/** The choice for one that comes after `ahead` others. */
export const behind = (choice: Choice, ahead: number): Choice =>
  choice.type === 'limited' && ahead > 0 ? { ...choice, readyInMs: choice.readyInMs + ahead * choice.everyMs } : choice

export class WaitingRoom {
  readonly #entries = new Set<Entry>()
  #scan: NodeJS.Timeout | undefined
  /** Runs while anybody waits. */
  #sweep: NodeJS.Timeout | undefined
  #sweeps = 0
  /** Keys to look at in the next scan; `undefined` for all. */
  #due: Set<string> | undefined = new Set()

  get size (): number {
    return this.#entries.size
  }

  /** How many wait for the key. */
  waiting (key: string): number {
    let count = 0
    for (const entry of this.#entries) if (entry.key === key) count += 1
    return count
  }

  /** How many with a better rank wait for servers of the service that name limits. */
  limitedAhead (service: string, rank: number): number {
    let count = 0
    for (const entry of this.#entries) if (entry.last.type === 'limited' && entry.service === service && entry.rank() <= rank) count += 1
    return count
  }

  wait (waiter: Waiter, first: Choice, cancellation: Cancellation): Promise<WaitEnd> {
    return new Promise(resolve => {
      const timer = setTimeout(() => entry.end({ type: 'expired', last: entry.last }), Math.max(0, waiter.until - nowMs()))
      const leave = (): void => entry.end({ type: 'left' })
      const entry: Entry = {
        ...waiter,
        since: nowMs(),
        last: first,
        end: end => {
          if (!this.#entries.delete(entry)) return
          clearTimeout(timer)
          if (this.#entries.size === 0) this.#endSweep()
          forget()
          resolve(end)
        }
      }
      const forget = cancellation.onCancel(leave)
      this.#entries.add(entry)
      this.#sweep ??= setInterval(() => this.#sweepOnce(), sweepMs)
      if (cancellation.cancelled) return leave()
      this.#bring(first, entry)
    })
  }

  /** Something changed that may let waiting requests go on: those for `keys`, or any. */
  poke (keys?: readonly string[]): void {
    if (this.#entries.size === 0) return
    if (keys === undefined) this.#due = undefined
    for (const key of keys ?? []) this.#due?.add(key)
    this.#scan ??= setTimeout(() => this.#look(), scanMs)
  }

  /** A place fell free: that matters only to those who wait for one. */
  pokeFull (): void {
    const keys = new Set<string>()
    for (const { last, key } of this.#entries) if (last.type === 'full' || last.type === 'resting' || last.type === 'limited' || (last.type === 'bring' && last.held)) keys.add(key)
    if (keys.size > 0) this.poke([...keys])
  }

  #sweepOnce (): void {
    this.#sweeps += 1
    if (this.#sweeps % sweepAllEvery === 0) this.poke()
    else this.pokeFull()
  }

  #endSweep (): void {
    clearInterval(this.#sweep)
    this.#sweep = undefined
  }

  #look (): void {
    this.#scan = undefined
    const due = this.#due
    this.#due = new Set()
    const waiting = [...this.#entries].filter(entry => due === undefined || due.has(entry.key))
    const ranked = waiting.map(entry => ({ entry, rank: entry.rank() }))
    const ordered = ranked.sort((a, b) => a.rank - b.rank || a.entry.since - b.entry.since)
    const stuck = new Map<string, Choice>()
    /** How many go before the next one to servers that name limits, by service. */
    const limited = new Map<string, number>()
    for (const { entry } of ordered) {
      if (entry.hopeless()) {
        entry.end({ type: 'hopeless' })
        continue
      }
      const known = stuck.get(entry.key)
      const ahead = limited.get(entry.service) ?? 0
      const alone = known ?? entry.choose()
      const choice = behind(alone, ahead)
      entry.last = choice
      if (!entry.mayWaitFor(choice)) {
        entry.end({ type: 'expired', last: choice })
        continue
      }
      if (choice.type === 'send') {
        entry.end({ type: 'chosen', choice })
        continue
      }
      if (choice.type === 'limited') limited.set(entry.service, ahead + 1)
      if (known !== undefined) continue
      stuck.set(entry.key, alone)
      this.#bring(choice, entry)
    }
  }

  #bring (choice: Choice, entry: Entry): void {
    if (choice.type === 'bring' && choice.ask !== undefined) entry.bring(choice.ask, this.waiting(entry.key))
  }
}
