/**
 * The lease under which an entry sends authenticated requests: how old its last proof that the table is fresh, and so that no
 * key was revoked, may be.
 *
 * Of the time within which a revoked key must stop working, a fifth is reserved for requests in transit to their server. The
 * rest is divided so that each way to get a proof can be tried twice before the lease expires: from 0.3 on, an entry that watches
 * the store asks the store, and the others ask a side process in their failure domain; from 0.4 on, one in another failure
 * domain; from 0.5 on, they watch the store themselves.
 */
import type { Facts } from '../../facts.js'
import type { Limits } from '../../ports.js'

const shares = {
  /** Authenticated requests are sent while the proof is no older. */
  lease: 0.8,
  /** A side process of the same failure domain is asked for a proof. */
  ask: 0.3,
  /** Side processes of other failure domains are asked as well. */
  askRemote: 0.4,
  /** The entry watches the store itself. */
  watch: 0.5
}

export class KeyLease {
  constructor (private readonly facts: Facts, private readonly limits: () => Pick<Limits, 'revokeMs'>) {}

  /** Authenticated requests may be sent. */
  get held (): boolean {
    return !this.#olderThan('lease')
  }

  get proofDue (): boolean {
    return this.#olderThan('ask')
  }

  get remoteProofDue (): boolean {
    return this.#olderThan('askRemote')
  }

  get watchDue (): boolean {
    return this.#olderThan('watch')
  }

  get #needed (): boolean {
    return this.facts.routes?.requiresKey === true
  }

  #olderThan (share: keyof typeof shares): boolean {
    const { revokeMs } = this.limits()
    return this.#needed && revokeMs !== undefined && this.facts.freshness.ageMs > revokeMs * shares[share]
  }
}
