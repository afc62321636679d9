/**
 * Servers that a restored store lists although they are known to have been removed.
 *
 * The backup may be older than the removal. A stopped server does not renew its record, which then expires. A relisted server is
 * therefore held back until its record is written again or has outlived the expiry time.
 */
import { nowMs } from './clock.js'
import type { Fact } from './fact.js'

/**
 * The record of a stopped server expires within this time after a restore: 2 s for servers to write their records again, plus
 * three heartbeats.
 */
const holdMs = 5000

export interface RelistedServer {
  fact: Fact
  from: string
}

export class RelistedServers {
  readonly #held = new Map<string, RelistedServer & { until: number }>()

  get size (): number {
    return this.#held.size
  }

  get all (): Fact[] {
    return [...this.#held.values()].map(({ fact }) => fact)
  }

  /** Holds a server back. Returns false once its record was written again, that is, has a later revision than the held one. */
  hold (fact: Fact, from: string): boolean {
    const held = this.#held.get(fact.key)
    if (held === undefined) this.#held.set(fact.key, { fact, from, until: nowMs() + holdMs })
    return held === undefined || fact.revision <= held.fact.revision
  }

  /** Drops a server that has been accepted or removed. */
  forget (key: string): void {
    this.#held.delete(key)
  }

  /** Held servers whose records have outlived the expiry time. */
  due (): RelistedServer[] {
    const now = nowMs()
    return [...this.#held.values()].filter(({ until }) => now >= until)
  }
}
