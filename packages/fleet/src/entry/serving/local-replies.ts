/**
 * Responses that an entry generates itself (local replies). The meaning of each status is defined here and nowhere else.
 *
 * 429 and 503: the request has certainly not run; `Retry-After` says when to retry. 502 and 504: it may have run. 400, 401,
 * 404 and 413: retrying is useless.
 */
import type { Quarantine } from '@finchpitch/decisions'
import type { HeaderNames } from '../../ports.js'
import type { CallerResponse } from './caller-response.js'
import { isFinalDenial, type Denial } from './admission.js'
import type { IncomingRequest } from './incoming-request.js'
import type { RequestRecord } from './request-record.js'

/**
 * `Retry-After` where nothing else is known, and the shortest unless capacity is expected sooner. By then an adapter may be loaded or
 * a running request finished.
 */
const defaultRetryAfterMs = 250

/** An outage of the platform's store lasts seconds; a caller that retries sooner is refused again. */
export const outageRetryAfterMs = 2000

/** By then most probes have shown whether the request still crashes its server. */
const probeRetryMs = 2000

const finalStatuses = { no_route: 404, key_not_known: 401, bad_model: 400, no_id: 400, too_large: 413 } as const
export type FinalReason = keyof typeof finalStatuses

const finalMessages: Record<FinalReason, string> = {
  no_route: 'no such route',
  key_not_known: 'a key is needed that is known here',
  bad_model: 'the name of the model is too long',
  no_id: 'a request id is needed',
  too_large: 'the body is too large'
}

export interface LocalRepliesOptions {
  incoming: IncomingRequest
  callerResponse: CallerResponse
  record: RequestRecord
  names: HeaderNames
  /** `Retry-After` while the table can't be proven fresh. */
  staleTableRetryMs: () => number
}

const serversEnded = 'not run: servers ended under this request or under a part of its prompt'

export class LocalReplies {
  #retryAfterMs: number | undefined
  #toldMs: number | undefined

  constructor (private readonly options: LocalRepliesOptions) {}

  /** The `Retry-After` that the caller was told; `undefined` if its request was not rejected. */
  get toldMs (): number | undefined {
    return this.#toldMs
  }

  /** Raises `Retry-After` to at least `ms`. */
  raiseRetryAfter (ms: number): void {
    if (ms > 0) this.#retryAfterMs = Math.max(this.#retryAfterMs ?? defaultRetryAfterMs, ms)
  }

  /** Sets `Retry-After` to when capacity is expected, unless it was raised to a later time. */
  expectCapacityIn (ms: number): void {
    this.#retryAfterMs = Math.max(this.#retryAfterMs ?? 0, ms)
  }

  /** The request has certainly not run and may be retried. Returns the outcome, as all methods below do. */
  refuse (reason: string): string {
    this.#rejectNotRun(503, reason, `not run: ${reason}`, this.#retryAfterMs ?? defaultRetryAfterMs)
    return 'refused'
  }

  /** The quota of its team is exhausted; `readyInMs` estimates when it allows the request. */
  overQuota (readyInMs: number): string {
    this.#rejectNotRun(429, 'over_quota', 'not run: the quota of the team is used up', readyInMs)
    return 'over_quota'
  }

  /** Servers crashed while running it, or requests with a part of its prompt. It is refused until enough of these crashes are too old to count. */
  quarantined ({ servers, leftMs }: Quarantine): string {
    this.#rejectNotRun(503, `quarantined: ${servers.join(', ')} ended under it`, serversEnded, Math.round(leftMs))
    return 'quarantined'
  }

  /** Its quarantine has expired, and another entry is probing whether it still crashes its server. */
  awaitProbe (): string {
    this.#rejectNotRun(503, 'quarantined: run elsewhere to see whether servers still end under it', serversEnded, probeRetryMs)
    return 'quarantined'
  }

  /** The request may have run. */
  fail (status: 502 | 504, reason: string): string {
    const { record, callerResponse } = this.options
    record.reason = reason
    callerResponse.sendLocalReply(status, {}, `may have run: ${reason}`)
    return 'failed'
  }

  deny ({ reason }: Denial): string {
    if (isFinalDenial(reason)) return this.end(reason)
    // Another entry may have a fresher table; during an outage of the store none does.
    this.raiseRetryAfter(this.options.staleTableRetryMs())
    return this.refuse(reason)
  }

  /** Rejects the request for good. */
  end (reason: FinalReason): string {
    const { incoming, callerResponse } = this.options
    incoming.discardBody()
    callerResponse.sendLocalReply(finalStatuses[reason], {}, finalMessages[reason])
    return reason
  }

  #rejectNotRun (status: 429 | 503, reason: string, message: string, retryAfterMs: number): void {
    const { incoming, record, callerResponse, names } = this.options
    incoming.discardBody()
    record.reason = reason
    this.#toldMs = retryAfterMs
    callerResponse.sendLocalReply(status, { [names.retryAfter]: String(retryAfterMs / 1000) }, message)
  }
}
