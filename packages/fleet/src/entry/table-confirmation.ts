/**
 * Whether the routing table surely holds every change that has to be in force.
 *
 * A final refusal tells a caller that asking again is of no use, so it is given only from such a table. Most entries have a proof
 * that is young enough, or get one within some ms; questions for one are shared by all requests that need it.
 */
import { pause } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { Limits } from '../ports.js'
import type { SideLinks } from './side-links.js'
import type { StoreWatch } from './store-watch.js'

/** Between two questions, however many requests wait for the answer. */
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

  /** The table holds what has to be in force for a request that came at `at`, on the elapsed clock. */
  covers (at: number): boolean {
    const { facts, limits } = this.options
    const { applyMs } = limits()
    return applyMs === undefined || facts.freshness.provenAt >= at - applyMs
  }

  /** Asks for a proof; resolves with the next one, with another table, or after `mostMs`. */
  async next (mostMs: number): Promise<void> {
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

  /** An entry that watches the store and has no proof asks elsewhere too: those near may know only what it knows itself. */
  #ask (): void {
    const { links, watch } = this.options
    if (nowMs() - this.#askedAt < askMs) return
    this.#askedAt = nowMs()
    void watch.prove()
    links.askFresh(watch.watching)
  }
}
