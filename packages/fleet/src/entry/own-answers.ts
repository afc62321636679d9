/**
 * The answers that an entry gives itself: what each status promises is decided here and nowhere else.
 *
 * 429 and 503 say that the request has surely not run, and when to come back; 502 and 504 that it may have run; 400, 401,
 * 404 and 413 that asking again is of no use.
 */
import type { QuarantineCase } from '@finchpitch/decisions'
import type { HeaderNames } from '../ports.js'
import type { Delivery } from './delivery.js'
import { isFinalDenial, type Denial } from './gate.js'
import type { Incoming } from './incoming.js'
import type { RequestRecord } from './request-record.js'

/** When callers are told to come back, unless a server says later: after something may have been loaded or have ended. */
const leastRetryAfterMs = 250

/** An outage of the platform's store takes seconds; a caller that comes back sooner is refused a second time. */
export const outageRetryMs = 2000

/** Most runs have shown by then whether a server ends under the request. */
const probeRetryMs = 2000

const finalStatuses = { no_route: 404, key_not_known: 401, bad_model: 400, too_large: 413 } as const
export type FinalReason = keyof typeof finalStatuses

const finalTexts: Record<FinalReason, string> = {
  no_route: 'no such route',
  key_not_known: 'a key is needed that is known here',
  bad_model: 'the name of the model is too long',
  too_large: 'the body is too large'
}

export interface OwnAnswersOptions {
  incoming: Incoming
  delivery: Delivery
  record: RequestRecord
  names: HeaderNames
  /** When callers should come back while it can't be known what the newest table says. */
  unconfirmedRetryMs: () => number
}

export class OwnAnswers {
  #retryAfterMs = leastRetryAfterMs

  constructor (private readonly options: OwnAnswersOptions) {}

  /** Callers are told to come back no sooner. */
  notBefore (ms: number): void {
    this.#retryAfterMs = Math.max(this.#retryAfterMs, ms)
  }

  /** It has surely not run, and may be asked again. Gives the outcome, as all of these do. */
  refuse (reason: string): string {
    this.#promise(503, reason, `not run: ${reason}`, this.#retryAfterMs)
    return 'refused'
  }

  /** The quota of its team is used up, and may have room after so long. */
  overQuota (readyInMs: number): string {
    this.#promise(429, 'over_quota', 'not run: the quota of the team is used up', readyInMs)
    return 'over_quota'
  }

  /** It ends the servers that run it, and is refused until too few of those ends count. */
  quarantined ({ servers, leftMs }: QuarantineCase): string {
    this.#promise(503, `quarantined: ${servers.join(', ')} ended under it`, 'not run: servers ended under this request', Math.round(leftMs))
    return 'quarantined'
  }

  /** Its quarantine has lapsed, and another entry runs it to see whether it still ends its server. */
  probedElsewhere (): string {
    this.#promise(503, 'quarantined: run elsewhere to see whether servers still end under it', 'not run: servers ended under this request', probeRetryMs)
    return 'quarantined'
  }

  /** It may have run. */
  fail (status: 502 | 504, reason: string): string {
    const { record, delivery } = this.options
    record.reason = reason
    delivery.own(status, {}, `may have run: ${reason}`)
    return 'failed'
  }

  deny ({ reason }: Denial): string {
    if (isFinalDenial(reason)) return this.end(reason)
    // Another entry may know more at once; where the store answers nobody, none does.
    this.notBefore(this.options.unconfirmedRetryMs())
    return this.refuse(reason)
  }

  end (reason: FinalReason): string {
    const { incoming, delivery } = this.options
    incoming.message.resume()
    delivery.own(finalStatuses[reason], {}, finalTexts[reason])
    return reason
  }

  #promise (status: 429 | 503, reason: string, text: string, retryAfterMs: number): void {
    const { incoming, record, delivery, names } = this.options
    // The rest of a body that nobody reads would stand before the next request on this connection.
    incoming.message.resume()
    record.reason = reason
    delivery.own(status, { [names.retryAfter]: String(retryAfterMs / 1000) }, text)
  }
}
