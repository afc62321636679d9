/**
 * Admission of one request: its team, whether it may be sent now, and the quota that it costs.
 */
import { afterSocketReads, boottimeMs, nowMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { HeaderNames } from '../../ports.js'
import type { RouteIndex } from '../../table.js'
import { admit, isFinalDenial, type Admission, type Denial } from './admission.js'
import { credentialOf, type Credential } from './credential.js'
import type { IncomingRequest } from './incoming-request.js'
import type { KeyLease } from '../peers/key-lease.js'
import type { Quotas, Reservation } from '../quotas/quotas.js'
import type { TableConfirmation } from '../peers/table-confirmation.js'

const noCredential: Credential = { type: 'none' }

/** A proof from another process takes a few milliseconds; if none has arrived by then, none is available. */
const maxProofWaitMs = 300
/** The longest wait for a proof, as a fraction of the time that the caller has left. */
const maxProofWaitShare = 0.2

export interface RequestAdmissionOptions {
  facts: Facts
  names: HeaderNames
  lease: KeyLease
  quotas: Quotas
  confirmation: TableConfirmation
}

export class RequestAdmission {
  /** Parsed once, and only where the table has teams. */
  #credential: Credential | undefined
  #reservation: Reservation | undefined
  readonly #arrivedAt = boottimeMs()

  constructor (private readonly options: RequestAdmissionOptions, private readonly incoming: IncomingRequest) {}

  /**
   * Called on arrival and before each attempt, since routes and keys may be removed while the request waits. A missing route or
   * key may have been added meanwhile, so a denial is final only if the table is proven current.
   */
  async admit (): Promise<Admission | Denial> {
    const { facts, confirmation } = this.options
    const waitUntil = nowMs() + Math.min(maxProofWaitMs, this.incoming.remainingMs * maxProofWaitShare)
    let readSockets = false
    for (;;) {
      const admission = this.#check(facts.routes)
      if (admission.type === 'admitted' || !isFinalDenial(admission.reason) || confirmation.isCurrent(this.#arrivedAt)) return admission
      const leftMs = waitUntil - nowMs()
      if (leftMs > 0) await confirmation.awaitProof(leftMs)
      else if (readSockets) return { ...admission, reason: 'table_not_confirmed' }
      else {
        // After a stall of this process, the proof or the new table may be waiting in a socket.
        await afterSocketReads()
        readSockets = true
      }
    }
  }

  /**
   * Reserves the quota that the request costs, once. If it isn't available, returns the milliseconds after which the caller should
   * retry. `firstTriedMs`: time since the caller's first attempt, 0 if this is the first. `service`: the target of the route.
   */
  async reserve ({ team, route }: Admission, firstTriedMs: number, service: string | undefined): Promise<number | undefined> {
    const { quotas } = this.options
    const known = this.#reservation
    if (team?.quota === undefined || known?.spent === true) return undefined
    if (known !== undefined && quotas.isValid(known, team)) return undefined
    this.release()
    const reserved = await quotas.reserve(team, this.incoming.tokens, { firstTriedMs, remainingMs: this.incoming.remainingMs, objectiveMs: route.objectiveMs }, service)
    if (typeof reserved === 'number') return reserved
    this.#reservation = reserved
    return undefined
  }

  /** Spends the reservation just before the request is written. Returns whether it may be sent. */
  spend ({ team }: Admission): boolean {
    const { lease, quotas } = this.options
    if (team !== undefined && !lease.held) return false
    return this.#reservation === undefined || quotas.spend(this.#reservation)
  }

  #check (routes: RouteIndex | undefined): Admission | Denial {
    const { names, lease } = this.options
    const { host, path, message } = this.incoming
    if (routes === undefined) return { type: 'denied', reason: 'table_not_confirmed', route: undefined }
    if (routes.requiresKey) this.#credential ??= credentialOf(message, names)
    return admit(routes, { host, path, credential: this.#credential ?? noCredential, tableConfirmed: lease.held })
  }

  /** Releases an unspent reservation. */
  release (): void {
    if (this.#reservation !== undefined) this.options.quotas.release(this.#reservation)
    this.#reservation = undefined
  }
}
