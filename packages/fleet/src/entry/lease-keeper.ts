/**
 * Keeps an entry's lease on keys: asks for proofs before it ends, and tells in the log when it does or begins again.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { KeyLease } from './key-lease.js'
import { outageRetryAfterMs } from './local-replies.js'
import type { SideLinks } from './side-links.js'
import type { StoreWatch } from './store-watch.js'

/** Between two questions for a proof: each goes to another side process, and one answers in some ms. */
const askMs = 200
/** The same after the lease has ended, when everybody asks at once, and mostly because the store answers nobody. */
const lapsedAskMs = 600
/** When callers should come back that were turned away for want of a proof. Their next try meets another entry, since the balancer knows within a second that this one is not ready; in an outage of the store no entry has a proof for a while. */
const elsewhereRetryMs = 250

export interface LeaseKeeperOptions {
  lease: KeyLease
  facts: Facts
  links: Pick<SideLinks, 'askFresh' | 'outage'>
  watch: Pick<StoreWatch, 'prove' | 'watching'>
  log: Log
}

export class LeaseKeeper {
  #askedAt = -Infinity
  /** As last told in the log. */
  #held = true

  constructor (private readonly options: LeaseKeeperOptions) {}

  /** When callers should come back that were turned away for want of a proof. */
  get retryMs (): number {
    return this.options.links.outage ? outageRetryAfterMs : elsewhereRetryMs
  }

  /** Called several times a second. */
  check (): void {
    this.#ask()
    this.#tell()
  }

  /** One that reads the store proves by itself that its table is the newest; others ask, and so does one that gets no answer. */
  #ask (): void {
    const { lease, links, watch } = this.options
    const now = nowMs()
    if (!lease.proofDue || now - this.#askedAt < (lease.held ? askMs : lapsedAskMs)) return
    this.#askedAt = now
    void watch.prove()
    if (!watch.watching || lease.remoteProofDue) links.askFresh(lease.remoteProofDue)
  }

  #tell (): void {
    const { lease, facts, links, log } = this.options
    const { held } = lease
    if (held === this.#held) return
    this.#held = held
    const { ageMs } = facts.freshness
    log.info('keys.lease_changed', { held, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, table: facts.routes?.table.version, outage: links.outage })
  }
}
