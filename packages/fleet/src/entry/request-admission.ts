/**
 * One request's admission: whose it is, whether it may be sent now, and what it counts of its team's quota.
 */
import { elapsedMs, nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { HeaderNames } from '../ports.js'
import type { RouteIndex } from '../table.js'
import { admit, isFinalDenial, type Admitted, type Denial } from './gate.js'
import { credentialOf, type Credential } from './identity.js'
import type { Incoming } from './incoming.js'
import type { KeyLease } from './key-lease.js'
import type { Quotas, Reservation } from './quotas.js'
import type { TableConfirmation } from './table-confirmation.js'

const noCredential: Credential = { type: 'none' }

/** A proof takes some ms over two processes; where none has come by then, none is available. */
const confirmMs = 300
/** The most that a request waits for a proof, as a part of the time that its caller has left. */
const confirmShare = 0.2

export interface RequestAdmissionOptions {
  facts: Facts
  names: HeaderNames
  lease: KeyLease
  quotas: Quotas
  confirmation: TableConfirmation
}

export class RequestAdmission {
  /** Read once, and only where the table knows teams. */
  #credential: Credential | undefined
  #reservation: Reservation | undefined
  readonly #arrivedAt = elapsedMs()

  constructor (private readonly options: RequestAdmissionOptions, private readonly incoming: Incoming) {}

  /**
   * Asked on arrival and before each sending, since routes and keys may go while it waits. A missing route or key may have been
   * added, so the denial is final only if the table is proved to be current.
   */
  async admit (): Promise<Admitted | Denial> {
    const { facts, confirmation } = this.options
    const until = nowMs() + Math.min(confirmMs, this.incoming.remainingMs * confirmShare)
    for (;;) {
      const admission = this.#lookUp(facts.routes)
      if (admission.type === 'admitted' || !isFinalDenial(admission.reason) || confirmation.isCurrent(this.#arrivedAt)) return admission
      const leftMs = until - nowMs()
      if (leftMs <= 0) return { ...admission, reason: 'table_not_confirmed' }
      await confirmation.nextProof(leftMs)
    }
  }

  /** Sets aside what the request counts, once; gives the ms until that may be there where it isn't. */
  async reserve ({ team }: Admitted): Promise<number | undefined> {
    const { quotas } = this.options
    const known = this.#reservation
    if (team?.quota === undefined || known?.spent === true) return undefined
    if (known !== undefined && quotas.lasts(known, team)) return undefined
    this.release()
    const reserved = await quotas.reserve(team, this.incoming.tokens)
    if (typeof reserved === 'number') return reserved
    this.#reservation = reserved
    return undefined
  }

  /** Spends what was set aside, in the moment of sending; says whether the request may be sent. */
  spend ({ team }: Admitted): boolean {
    const { lease, quotas } = this.options
    if (team !== undefined && !lease.held) return false
    return this.#reservation === undefined || quotas.spend(this.#reservation)
  }

  #lookUp (routes: RouteIndex | undefined): Admitted | Denial {
    const { names, lease } = this.options
    const { host, path, message } = this.incoming
    if (routes === undefined) return { type: 'denied', reason: 'table_not_confirmed', route: undefined }
    if (routes.keyed) this.#credential ??= credentialOf(message, names)
    return admit(routes, { host, path, credential: this.#credential ?? noCredential, confirmed: lease.held })
  }

  /** Gives back what was set aside and not spent. */
  release (): void {
    if (this.#reservation !== undefined) this.options.quotas.release(this.#reservation)
    this.#reservation = undefined
  }
}
