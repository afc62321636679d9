/**
 * Whether the routing table is proven current, which means that it holds every change that has to be in force by now.
 *
 * A 404 or 401 tells a caller not to retry, so it is sent only if the table is proven current. An entry that watches the store
 * usually has a recent proof; the others ask a local side process. Requests that wait for a proof at the same time share one
 * request.
 */
import { pause } from '@finchpitch/core'
import { nowMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { Limits } from '../../ports.js'
import type { SideLinks } from './side-links.js'
import type { StoreWatch } from './store-watch.js'

/** Minimum interval between requests for a proof. */
const requestIntervalMs = 100

export interface TableConfirmationOptions {
  facts: Facts
  limits: () => Pick<Limits, 'applyMs'>
  links: Pick<SideLinks, 'requestProof'>
  watch: Pick<StoreWatch, 'ensureProof' | 'watching'>
}

export class TableConfirmation {
  #requestedAt = -Infinity

  constructor (private readonly options: TableConfirmationOptions) {}

  /** Whether the table is proven current for a request that arrived at `at`, on the boot-time clock. */
  isCurrent (at: number): boolean {
    const { facts, limits } = this.options
    const { applyMs } = limits()
    return applyMs === undefined || facts.freshness.provenAt >= at - applyMs
  }

  /** Requests a proof. Resolves with the next proof or the next table, or after `maxWaitMs` or the request interval, whichever is shorter. */
  async awaitProof (maxWaitMs: number): Promise<void> {
    const { facts } = this.options
    const arrived = new AbortController()
    const unsubscribe = [
      facts.onChange(({ kind }) => { if (kind === 'table') arrived.abort() }),
      facts.freshness.onProof(() => arrived.abort())
    ]
    this.#requestProof()
    await pause(Math.min(maxWaitMs, requestIntervalMs), arrived.signal)
    for (const each of unsubscribe) each()
  }

  /**
   * If an entry that watches the store has no proof, the store does not answer it, and local side processes may depend on this
   * entry; so it also asks remote ones.
   */
  #requestProof (): void {
    const { links, watch } = this.options
    if (nowMs() - this.#requestedAt < requestIntervalMs) return
    this.#requestedAt = nowMs()
    void watch.ensureProof()
    links.requestProof(watch.watching)
  }
}
