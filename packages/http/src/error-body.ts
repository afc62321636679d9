/**
 * The JSON format of all error responses, which OpenAI clients understand.
 */
import { messageOf, statusOf, type Failure, type Finding, type RequestId } from '@finchpitch/core'

export interface ErrorBody {
  error: {
    code: Failure['code']
    message: string
    /** Whether the request ran. `not_run` is certain; after `unknown` the caller has to check whether it took effect. */
    outcome: Failure['outcome']
    request_id: string
    retry_after_ms?: number
    /** An Idempotency-Key with which the request can be retried while the store is unavailable. */
    ticket?: string
    findings?: Finding[]
  }
}

export const errorBody = (failure: Failure, requestId: RequestId | string, findings: Finding[] = []): ErrorBody => ({
  error: {
    code: failure.code,
    message: messageOf(failure),
    outcome: failure.outcome,
    request_id: requestId,
    ...(failure.retryAfterMs === undefined ? {} : { retry_after_ms: Math.ceil(failure.retryAfterMs) }),
    ...(failure.ticket === undefined ? {} : { ticket: failure.ticket }),
    ...(findings.length === 0 ? {} : { findings })
  }
})

export const retryAfterHeader = (failure: Failure): Record<string, string> =>
  failure.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.max(1, Math.ceil(failure.retryAfterMs / 1000))) }

export const errorStatus = (failure: Failure): number => statusOf(failure)
