/**
 * One request's admission: whose it is, whether it may be sent now, and what it counts of its team's quota.
 */
import type { HeaderNames } from '../ports.js'
import type { RouteIndex } from '../table.js'
import { admit, type Admitted, type Denial } from './gate.js'
import { credentialOf, type Credential } from './identity.js'
import type { Incoming } from './incoming.js'
import type { KeyLease } from './key-lease.js'
import type { Quotas, Reservation } from './quotas.js'

const noCredential: Credential = { type: 'none' }

export interface RequestAdmissionOptions {
  names: HeaderNames
  lease: KeyLease
  quotas: Quotas
}

export class RequestAdmission {
  /** Read once, and only where the table knows teams. */
  #credential: Credential | undefined
  #reservation: Reservation | undefined

  constructor (private readonly options: RequestAdmissionOptions, private readonly incoming: Incoming) {}

  /** Asked on arrival and before each sending, since routes and keys may go while it waits. */
  admit (routes: RouteIndex): Admitted | Denial {
    const { names, lease } = this.options
    const { host, path, message } = this.incoming
    if (routes.keyed) this.#credential ??= credentialOf(message, names)
    return admit(routes, { host, path, credential: this.#credential ?? noCredential, confirmed: lease.held })
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

  /** Gives back what was set aside and not spent. */
  release (): void {
    if (this.#reservation !== undefined) this.options.quotas.release(this.#reservation)
    this.#reservation = undefined
  }
}
