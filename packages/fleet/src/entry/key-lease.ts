/**
 * The lease under which an entry sends requests with keys: how old its proof that no key was taken away may be.
 *
 * Of the time in which a key that was taken away must stop working, a fifth is kept for a request on its way to its server.
 * The rest is divided so that each step of finding a proof has a second try before the lease ends: from 0.3 on an entry that
 * reads the store asks that and others ask a side process near, from 0.4 one elsewhere, from 0.5 they read the store themselves.
 */
import type { Facts } from '../facts.js'
import type { Limits } from '../ports.js'

const shares = {
  /** Requests with keys are sent on a proof no older. */
  lease: 0.8,
  /** A proof from a side process near is asked for. */
  ask: 0.3,
  /** Side processes of other failure domains are asked too. */
  askFar: 0.4,
  /** The entry watches the store itself. */
  watchItself: 0.5
}

export class KeyLease {
  constructor (private readonly facts: Facts, private readonly limits: () => Pick<Limits, 'revokeMs'>) {}

  /** Requests with keys may be sent. */
  get held (): boolean {
    return !this.#olderThan('lease')
  }

  get askDue (): boolean {
    return this.#olderThan('ask')
  }

  get askFarDue (): boolean {
    return this.#olderThan('askFar')
  }

  get watchDue (): boolean {
    return this.#olderThan('watchItself')
  }

  get #needed (): boolean {
    return this.facts.routes?.keyed === true
  }

  #olderThan (share: keyof typeof shares): boolean {
    const { revokeMs } = this.limits()
    return this.#needed && revokeMs !== undefined && this.facts.freshness.ageMs > revokeMs * shares[share]
  }
}
