/**
 * Failures: what a caller is told when a request got no complete response.
 *
 * `outcome` states whether the request may have taken effect. `not_run` is a guarantee that it did not and won't. Only
 * a process that could have run the request and now never will may give it, or any process before the request was sent
 * on. Whatever can't be proved is `unknown`.
 */
import * as z from 'zod'
import { RequestKey, Revision } from './id.js'

interface FailureDefinition {
  status: number
  message: string
}

export const failureDefinitions = {
  unauthenticated: { status: 401, message: 'The bearer token is missing or belongs to no team.' },
  forbidden: { status: 403, message: 'This team may not use what the request names.' },
  unknown_path: { status: 404, message: 'Nothing is served under this path.' },
  unknown_adapter: { status: 404, message: 'The team has no such adapter.' },
  unknown_version: { status: 404, message: 'The adapter has no such version or alias.' },
  unknown_service: { status: 404, message: 'No such service is open to this team.' },
  invalid_body: { status: 400, message: 'The body is not valid.' },
  invalid_header: { status: 400, message: 'A header is not valid.' },
  body_too_large: { status: 413, message: 'The body is larger than is accepted.' },
  key_required: { status: 400, message: 'A request that may not be repeated needs an Idempotency-Key.' },
  key_reused: { status: 422, message: 'This Idempotency-Key was used before with another request.' },
  team_limit: { status: 429, message: 'The team is at its limit; nothing was run.' },
  overloaded: { status: 503, message: 'The waiting work is too much for the deadline; nothing was run.' },
  keys_full: { status: 503, message: 'No more requests with keys can be remembered now; nothing was run.' },
  no_backend: { status: 503, message: 'No backend server can take this request now.' },
  not_sent: { status: 503, message: 'The request could not be handed to the process that was chosen for it.' },
  leaving: { status: 503, message: 'The backend server is leaving and takes no new work.' },
  stale_revision: { status: 503, message: 'A process is behind the configuration and could not catch up.' },
  not_ready: { status: 503, message: 'This process holds no accepted configuration yet.' },
  load_failed: { status: 503, message: 'The adapter could not be loaded.' },
  backend_unreachable: { status: 502, message: 'The backend server did not accept the connection.' },
  backend_refused: { status: 502, message: 'The backend server refused before running the request.' },
  engine_restarted: { status: 502, message: 'The engine restarted while the request was with it.' },
  store_unavailable: { status: 503, message: 'The platform store can\'t be asked which process holds this key.' },
  incarnation_gone: { status: 502, message: 'The process that may have run this request is gone. Check whether it took effect before asking for it anew.' },
  answer_expired: { status: 409, message: 'This request was handled earlier and its answer is no longer kept. Check whether it took effect.' },
  connection_lost: { status: 502, message: 'The connection to the process that runs this request was lost. Ask again with the same key.' },
  answer_cut: { status: 502, message: 'The answer was cut before its end. Ask again with the same key, or check whether the request took effect.' },
  deadline: { status: 504, message: 'The deadline passed before the whole answer came. Ask again with the same key, or check whether the request took effect.' },
  cancelled: { status: 499, message: 'The caller ended the request.' },
  internal: { status: 500, message: 'The process met a fault of its own.' }
} satisfies Record<string, FailureDefinition>

export type FailureCode = keyof typeof failureDefinitions

const FailureCode = z.enum(Object.keys(failureDefinitions) as [FailureCode, ...FailureCode[]])

const maxDetailLength = 2000

export const Failure = z.object({
  code: FailureCode,
  outcome: z.enum(['not_run', 'unknown']),
  detail: z.string().max(maxDetailLength).optional(),
  /** When a retry makes sense, in milliseconds from now. */
  retryAfterMs: z.number().nonnegative().optional(),
  /** A key for retries that is bound to one process, so that they don't need the store. */
  ticket: RequestKey.optional(),
  /** With `stale_revision`: the configuration revision of the refusing process. */
  revision: Revision.optional()
})
export type Failure = z.infer<typeof Failure>

export type FailureDetail = Partial<Omit<Failure, 'code' | 'outcome'>>

/** A backend server gives reasons of any length, and a process closes the connection to a peer that sends an invalid failure. */
const boundDetail = (details: FailureDetail): FailureDetail =>
  details.detail === undefined ? details : { ...details, detail: details.detail.slice(0, maxDetailLength) }

export const notRun = (code: FailureCode, details: FailureDetail = {}): Failure => ({ code, outcome: 'not_run', ...boundDetail(details) })

export const outcomeUnknown = (code: FailureCode, details: FailureDetail = {}): Failure => ({ code, outcome: 'unknown', ...boundDetail(details) })

/** Converts a refusal from before the key was looked up: this attempt was not run, but an earlier one with its key may have been. */
export const notRunThisAttempt = (failure: Failure): Failure => {
  const note = ' This try was not run; an earlier one with its key may have been.'
  const detail = `${(failure.detail ?? '').slice(0, maxDetailLength - note.length)}${note}`.trim()
  return { ...failure, outcome: 'unknown', detail }
}

export const statusOf = (failure: Failure): number => failureDefinitions[failure.code].status

export const messageOf = (failure: Failure): string => {
  const text = failureDefinitions[failure.code].message
  return failure.detail === undefined ? text : `${text} ${failure.detail}`
}
