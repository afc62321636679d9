/**
 * The crash history of one request, looked up by its fingerprint, which depends on the body and on the team that it is admitted for.
 */
import type { Fingerprint } from '@finchpitch/core'
import type { Quarantine } from '@finchpitch/decisions'
import type { BackendServer } from '../../server.js'
import type { FleetTeam } from '../../team.js'
import type { CrashTracker } from '../servers/crash-tracker.js'
import { fingerprintOf, partFingerprintOf } from './fingerprint.js'
import type { IncomingRequest } from './incoming-request.js'
import { sharedPartsOf } from './prompt-parts.js'

const emptyBuffer = Buffer.alloc(0)

export interface BrokenAttempt {
  server: BackendServer
  /** When it was sent, on the monotonic clock. */
  sentAt: number
  /** Time from then to the head of the response; `undefined` if there was none. */
  responseMs: number | undefined
}

export class RequestCrashes {
  /** Set once the body has been read. */
  body: Buffer = emptyBuffer
  /** This entry was granted the one probe that follows an expired quarantine. */
  #probeGranted = false
  /** Cached per team, which may change with the table while the request waits. */
  #cached: { team: string | undefined, fingerprint: Fingerprint } | undefined

  constructor (private readonly crashes: CrashTracker, private readonly incoming: IncomingRequest) {}

  /** Set while the request may be sent to no server, because servers crashed while running it. */
  quarantine (team: FleetTeam | undefined): Quarantine | undefined {
    return this.crashes.isEmpty ? undefined : this.crashes.quarantine(this.#fingerprint(team))
  }

  /** Whether the request may be sent now. After its quarantine has expired, this takes a probe grant from other processes. */
  async mayRun (team: FleetTeam | undefined): Promise<boolean> {
    if (this.crashes.isEmpty || !this.crashes.probeDue(this.#fingerprint(team))) return true
    this.#probeGranted = await this.crashes.requestProbe(this.#fingerprint(team), this.incoming.id)
    return this.#probeGranted
  }

  /** Rechecks just before the request is written whether it may be sent. A probe grant allows one attempt. */
  spend (team: FleetTeam | undefined): boolean {
    if (this.crashes.isEmpty) return true
    if (!this.#probeGranted) return this.quarantine(team) === undefined && !this.crashes.probeDue(this.#fingerprint(team))
    this.#probeGranted = false
    return true
  }

  /** The request ran to completion, so it doesn't crash servers. */
  recordCompletion (team: FleetTeam | undefined): void {
    if (!this.crashes.isEmpty) this.crashes.recordCompletion(this.#fingerprint(team))
  }

  /** An attempt failed while its server was running it. */
  brokeOff ({ server, sentAt, responseMs }: BrokenAttempt, team: FleetTeam | undefined): void {
    const parts = sharedPartsOf(this.incoming.promptParts).map(part => partFingerprintOf(server.service, part))
    void this.crashes.brokeOff({ request: this.incoming.id, fingerprint: this.#fingerprint(team), parts, server, sentAt, responseMs })
  }

  #fingerprint (team: FleetTeam | undefined): Fingerprint {
    const { host, message: { method, url } } = this.incoming
    if (this.#cached !== undefined && this.#cached.team === team?.name) return this.#cached.fingerprint
    const fingerprint = fingerprintOf({ method, host, url, team: team?.name, body: this.body })
    this.#cached = { team: team?.name, fingerprint }
    return fingerprint
  }
}
