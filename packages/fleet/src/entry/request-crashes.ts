/**
 * One request as `Crashes` knows it: by its fingerprint, which takes the body and the team that it is admitted for.
 */
import type { RequestFingerprint } from '@finchpitch/core'
import type { QuarantineCase } from '@finchpitch/decisions'
import type { BackendServer } from '../server.js'
import type { FleetTeam } from '../team.js'
import type { Crashes } from './crashes.js'
import { fingerprintOf } from './fingerprint.js'
import type { Incoming } from './incoming.js'

const noBytes = Buffer.alloc(0)

export class RequestCrashes {
  /** Set once it has been read. */
  body: Buffer = noBytes
  /** This entry may send it though its quarantine has only lapsed. */
  #probing = false
  /** Made once for a team, which may change with the table while the request waits. */
  #made: { team: string | undefined, fingerprint: RequestFingerprint } | undefined

  constructor (private readonly crashes: Crashes, private readonly incoming: Incoming) {}

  /** Why it is to be sent to no server now: it ends those that run it. */
  quarantine (team: FleetTeam | undefined): QuarantineCase | undefined {
    return this.crashes.none ? undefined : this.crashes.quarantine(this.#fingerprint(team))
  }

  /** Whether it may be sent now, which is asked of others where its quarantine has only lapsed. */
  async mayRun (team: FleetTeam | undefined): Promise<boolean> {
    if (this.crashes.none || !this.crashes.probeDue(this.#fingerprint(team))) return true
    this.#probing = await this.crashes.probe(this.#fingerprint(team), this.incoming.id)
    return this.#probing
  }

  /** Asked in the moment of sending: whether it may be sent after all. A probe is one sending. */
  spend (team: FleetTeam | undefined): boolean {
    if (this.crashes.none) return true
    if (!this.#probing) return this.quarantine(team) === undefined && !this.crashes.probeDue(this.#fingerprint(team))
    this.#probing = false
    return true
  }

  /** It ran to its end, so it ends no server. */
  endedWell (team: FleetTeam | undefined): void {
    if (!this.crashes.none) this.crashes.endedWell(this.#fingerprint(team))
  }

  /** A try that was sent at `sentAt`, on the steady clock, broke off at its server. */
  brokeOff (server: BackendServer, sentAt: number, team: FleetTeam | undefined): void {
    void this.crashes.brokeOff({ request: this.incoming.id, fingerprint: this.#fingerprint(team), server, sentAt })
  }

  #fingerprint (team: FleetTeam | undefined): RequestFingerprint {
    const { host, message: { method, url } } = this.incoming
    if (this.#made !== undefined && this.#made.team === team?.name) return this.#made.fingerprint
    const fingerprint = fingerprintOf({ method, host, url, team: team?.name, body: this.body })
    this.#made = { team: team?.name, fingerprint }
    return fingerprint
  }
}
