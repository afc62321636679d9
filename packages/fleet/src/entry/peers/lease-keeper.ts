/**
 * Renews an entry's lease on keys: requests proofs of the routing table's freshness before the lease expires, and logs when the
 * lease expires or is regained.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { KeyLease } from './key-lease.js'
import { outageRetryAfterMs } from '../serving/local-replies.js'
import type { SideLinks } from './side-links.js'
import type { StoreWatch } from './store-watch.js'

/** Interval between requests for a proof: each goes to another side process, which answers within a few ms. */
const requestIntervalMs = 200
/** The interval after the lease has expired: then all entries request proofs at once, mostly because the store answers nobody. */
const expiredRequestIntervalMs = 600
/**
 * `Retry-After` for requests that were refused for lack of a proof. Their retry reaches another entry, since the load balancer
 * knows within a second that this one is not ready. During a store outage no entry has a proof, so the delay is longer.
 */
const otherEntryRetryAfterMs = 250

export interface LeaseKeeperOptions {
  lease: KeyLease
  facts: Facts
  links: Pick<SideLinks, 'requestProof' | 'outage'>
  watch: Pick<StoreWatch, 'ensureProof' | 'watching'>
  log: Log
}

export class LeaseKeeper {
  #requestedAt = -Infinity
  /** Whether the lease was held when last logged. */
  #loggedHeld = true

  constructor (private readonly options: LeaseKeeperOptions) {}

  /** `Retry-After` for requests that are refused for lack of a proof. */
  get retryMs (): number {
    return this.options.links.outage ? outageRetryAfterMs : otherEntryRetryAfterMs
  }

  /** Called several times a second. */
  check (): void {
    this.#requestProof()
    this.#logChange()
  }

  /**
   * An entry that watches the store gets its proofs from there. The others ask side processes, and so does one that the store
   * does not answer.
   */
  #requestProof (): void {
    const { lease, links, watch } = this.options
    const now = nowMs()
    if (!lease.proofDue || now - this.#requestedAt < (lease.held ? requestIntervalMs : expiredRequestIntervalMs)) return
    this.#requestedAt = now
    void watch.ensureProof()
    if (!watch.watching || lease.remoteProofDue) links.requestProof(lease.remoteProofDue)
  }

  #logChange (): void {
    const { lease, facts, links, log } = this.options
    const { held } = lease
    if (held === this.#loggedHeld) return
    this.#loggedHeld = held
    const { ageMs } = facts.freshness
    log.info('keys.lease_changed', { held, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, table: facts.routes?.table.version, outage: links.outage })
  }
}
