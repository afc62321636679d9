/**
 * Holds requests that reach a starting entry before it has a routing table.
 *
 * Callers reach a process some 0.1 s before it has read the store; on an overloaded machine the read takes a second and more.
 * Holding their requests is better than refusing them with a `Retry-After` of 0.5 s or more, while the table is still expected.
 */
import { pause } from '@finchpitch/core'
import { afterSocketReads, nowMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { KeyLease } from '../peers/key-lease.js'
import { outageRetryAfterMs } from './local-replies.js'
import { maxWaitShare } from './request-times.js'

/** How long loading the routing table may take after a start. It takes some 0.2 s if the store or a peer has a table. */
const startupMs = 500

export interface TableWaitOptions {
  facts: Facts
  lease: Pick<KeyLease, 'held'>
}

export class TableWait {
  readonly #startedAt = nowMs()

  constructor (private readonly options: TableWaitOptions) {}

  /**
   * Resolves once this entry can serve, or when its startup time has passed. If no table has been read by then, and the store is not
   * known to be unavailable, a request waits as long as for a server. `remainingMs`: the time that its caller has left.
   */
  async untilLoaded (remainingMs: number): Promise<void> {
    const startedUpAt = this.#startedAt + startupMs
    const waitUntil = nowMs() + remainingMs * maxWaitShare
    const leftMs = (): number => (this.#tableExpected ? Math.max(startedUpAt, waitUntil) : startedUpAt) - nowMs()
    for (let ms = leftMs(); !this.#isLoaded && ms > 0; ms = leftMs()) {
      await this.#change(ms)
      // After a stall of this process, the table may be waiting in a socket.
      if (!this.#isLoaded && leftMs() <= 0) await afterSocketReads()
    }
  }

  /** `Retry-After` without a routing table: short during startup, longer if neither the store nor a peer provided one by then. */
  get retryMs (): number {
    return nowMs() - this.#startedAt < startupMs ? startupMs : outageRetryAfterMs
  }

  /** Resolves after `maxMs`, or once there is another table, a proof or another store status. */
  async #change (maxMs: number): Promise<void> {
    const { facts } = this.options
    const changed = new AbortController()
    const abort = (): void => changed.abort()
    const unsubscribe = [
      facts.onChange(({ kind }) => { if (kind === 'table') abort() }),
      facts.freshness.onProof(abort),
      facts.onStatusChange(abort)
    ]
    await pause(maxMs, changed.signal)
    for (const each of unsubscribe) each()
  }

  get #isLoaded (): boolean {
    return this.options.facts.routes !== undefined && this.options.lease.held
  }

  /** The table has not been read since the start, and no call to the store has failed lately. */
  get #tableExpected (): boolean {
    return this.options.facts.routes === undefined && this.options.facts.sight !== 'blind'
  }
}
