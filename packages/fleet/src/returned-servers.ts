/**
 * Servers that a restored store lists although they are known to be removed.
 *
 * The backup may be older than the removal. The entry of a stopped server is not renewed and lapses, so a listed server is held back
 * until its entry is written again or has outlived the lapse time.
 */
import { nowMs } from './clock.js'
import type { Fact } from './fact.js'

/** The time in which the entry of a stopped server lapses after a restore: 2 s for servers to write again, plus three heartbeats. */
const holdMs = 5000

export interface ReturnedServer {
  fact: Fact
  from: string
}

export class ReturnedServers {
  readonly #held = new Map<string, ReturnedServer & { until: number }>()

  get size (): number {
    return this.#held.size
  }

  get all (): Fact[] {
    return [...this.#held.values()].map(({ fact }) => fact)
  }

  /** Returns whether the server is held back; a later revision than the held one ends the hold. */
  hold (fact: Fact, from: string): boolean {
    const held = this.#held.get(fact.key)
    if (held === undefined) this.#held.set(fact.key, { fact, from, until: nowMs() + holdMs })
    return held === undefined || fact.revision <= held.fact.revision
  }

  /** Drops a server that was accepted or removed. */
  forget (key: string): void {
    this.#held.delete(key)
  }

  /** Held servers whose entries have not lapsed in time. */
  due (): ReturnedServer[] {
    const now = nowMs()
    return [...this.#held.values()].filter(({ until }) => now >= until)
  }
}
