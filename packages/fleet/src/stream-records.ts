/**
 * The software versions at which streams began, for a while after that. The oldest are dropped where there are too many; until they would
 * have expired, a missing record shows nothing.
 */
import { nowMs } from './clock.js'
import { streamWindowMs } from './software-versions.js'

/** Of each of the two generations: some megabytes at most. */
const maxRecords = 50_000

const keyOf = (service: string, request: string): string => `${service} ${request}`

export class StreamRecords {
  /** Records are kept for one to two windows: they are dropped by generation. */
  #recent = new Map<string, string>()
  #older = new Map<string, string>()
  #startedAt = nowMs()
  /** When records that had not expired were last dropped. */
  #droppedAt = -Infinity

  /** Whether all records of the last window are kept. */
  get isComplete (): boolean {
    return nowMs() - this.#droppedAt > streamWindowMs
  }

  add (service: string, request: string, version: string): void {
    this.#expire()
    this.#recent.set(keyOf(service, request), version)
  }

  version (service: string, request: string): string | undefined {
    this.#expire()
    const key = keyOf(service, request)
    return this.#recent.get(key) ?? this.#older.get(key)
  }

  #expire (): void {
    const now = nowMs()
    const ageMs = now - this.#startedAt
    if (ageMs < streamWindowMs && this.#recent.size < maxRecords) return
    if (ageMs < streamWindowMs && this.#older.size > 0) this.#droppedAt = now
    this.#older = ageMs < 2 * streamWindowMs ? this.#recent : new Map()
    this.#recent = new Map()
    this.#startedAt = now
  }
}
