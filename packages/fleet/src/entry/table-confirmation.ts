/**
 * Whether the routing table is proved to be current: to hold every change that has to be in force by now.
 *
 * A 404 or 401 tells a caller not to retry, so it is given only from a current table. An entry that reads the store has a proof
 * anyway; the others ask a side process near. Requests that wait for a proof at the same time share one question.
 */
import { pause } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { Limits } from '../ports.js'
import type { SideLinks } from './side-links.js'
import type { StoreWatch } from './store-watch.js'

/** The least time between two questions. */
const askMs = 100

export interface TableConfirmationOptions {
  facts: Facts
  limits: () => Pick<Limits, 'applyMs'>
  links: Pick<SideLinks, 'askFresh'>
  watch: Pick<StoreWatch, 'prove' | 'watching'>
}

export class TableConfirmation {
  #askedAt = -Infinity

  constructor (private readonly options: TableConfirmationOptions) {}

  /** For a request that came at `at`, on the elapsed clock. */
  isCurrent (at: number): boolean {
    const { facts, limits } = this.options
    const { applyMs } = limits()
    return applyMs === undefined || facts.freshness.provenAt >= at - applyMs
  }

  /** Asks for a proof; resolves with the next one, with another table, or after `mostMs` at the latest. */
  async nextProof (mostMs: number): Promise<void> {
    const { facts } = this.options
    const came = new AbortController()
    const forget = [
      facts.onChange(({ kind }) => { if (kind === 'table') came.abort() }),
      facts.freshness.onProof(() => came.abort())
    ]
    this.#ask()
    await pause(Math.min(mostMs, askMs), came.signal)
    for (const each of forget) each()
  }

  /** A watching entry without a proof is not answered by the store, and side processes near may depend on it; so it asks elsewhere too. */
  #ask (): void {
    const { links, watch } = this.options
    if (nowMs() - this.#askedAt < askMs) return
    this.#askedAt = nowMs()
    void watch.prove()
    links.askFresh(watch.watching)
  }
}
