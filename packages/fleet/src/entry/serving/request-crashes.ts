/**
 * The crash history of one request and of the parts of its prompt, looked up by their fingerprints. These depend on the body, on the team
 * that the request is admitted for and on the service that it goes to.
 */
import type { Fingerprint } from '@finchpitch/core'
import type { CrashVerdict, Quarantine } from '@finchpitch/decisions'
import type { BackendServer } from '../../server.js'
import type { CrashTracker } from '../servers/crash-tracker.js'
import { fingerprintOf, partFingerprintOf } from './fingerprint.js'
import type { IncomingRequest } from './incoming-request.js'
import { sharedPartsOf } from './prompt-parts.js'

const emptyBuffer = Buffer.alloc(0)

/** Whose request it is and where it goes. Both may change with the routing table while it waits. */
export interface CrashScope {
  /** Name of its team, if the table has teams. */
  team: string | undefined
  service: string
}

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
  #cached: { scope: CrashScope, request: Fingerprint, parts: readonly Fingerprint[] } | undefined

  constructor (private readonly crashes: CrashTracker, private readonly incoming: IncomingRequest) {}

  /** Set while the request may be sent to no server, because servers crashed while running it or other requests with a part of its prompt. */
  quarantine (scope: CrashScope): Quarantine | undefined {
    const verdict = this.#verdict(scope)
    return verdict.type === 'quarantined' ? verdict.quarantine : undefined
  }

  /** Whether the request may be sent now. After its quarantine has expired, this takes a probe grant from other processes. */
  async mayRun (scope: CrashScope): Promise<boolean> {
    const verdict = this.#verdict(scope)
    if (verdict.type !== 'probe') return true
    this.#probeGranted = await this.#requestProbes(verdict.of)
    return this.#probeGranted
  }

  /** Rechecks just before the request is written whether it may be sent. A probe grant allows one attempt. */
  spend (scope: CrashScope): boolean {
    if (!this.#probeGranted) return this.#verdict(scope).type === 'run'
    this.#probeGranted = false
    return true
  }

  /**
   * The request ran to completion, so it doesn't crash servers. A part of its prompt is cleared only by a run that wrote a successful
   * answer: in any other one, the server may not have processed the prompt.
   */
  recordCompletion (scope: CrashScope, { wroteAnswer }: { wroteAnswer: boolean }): void {
    if (this.crashes.isEmpty) return
    const { request, parts } = this.#fingerprints(scope)
    this.crashes.recordCompletion(wroteAnswer ? [...parts, request] : [request])
  }

  /** An attempt failed while its server was running it. */
  brokeOff ({ server, sentAt, responseMs }: BrokenAttempt, scope: CrashScope): void {
    const { request: fingerprint, parts } = this.#fingerprints(scope)
    void this.crashes.brokeOff({ request: this.incoming.id, fingerprint, parts, server, sentAt, responseMs })
  }

  #verdict (scope: CrashScope): CrashVerdict {
    return this.crashes.isEmpty ? { type: 'run' } : this.crashes.verdict(this.#work(scope))
  }

  /** One by one, as a denial makes further grants useless. */
  async #requestProbes (work: readonly Fingerprint[]): Promise<boolean> {
    for (const fingerprint of work) if (!await this.crashes.requestProbe(fingerprint, this.incoming.id)) return false
    return true
  }

  #work (scope: CrashScope): readonly Fingerprint[] {
    const { request, parts } = this.#fingerprints(scope)
    return [...parts, request]
  }

  #fingerprints ({ team, service }: CrashScope): { request: Fingerprint, parts: readonly Fingerprint[] } {
    const { host, promptParts, message: { method, url } } = this.incoming
    if (this.#cached !== undefined && this.#cached.scope.team === team && this.#cached.scope.service === service) return this.#cached
    const request = fingerprintOf({ method, host, url, team, body: this.body })
    const parts = sharedPartsOf(promptParts).map(part => partFingerprintOf(service, part))
    this.#cached = { scope: { team, service }, request, parts }
    return this.#cached
  }
}
