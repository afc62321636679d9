/**
 * Applies the feedback that servers send in their response headers.
 *
 * It is about the server and not about the request that it came with, so it affects every selection and every send from then on:
 * the advertised limits, the list of draining servers, the backoff of the server and the queued requests.
 */
import { nowMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { BackendServer } from '../../server.js'
import type { Balancer } from './balancer.js'
import type { ServerLimits } from './server-limits.js'
import type { ServerState } from './server-state.js'
import type { ServerFeedback } from './server-feedback.js'
import type { RequestQueue } from '../waiting/request-queue.js'

export interface ServerFeedbackHandlerOptions {
  facts: Facts
  balancer: Balancer
  queue: RequestQueue
  serverLimits: ServerLimits
}

/** The response that the feedback came with. */
export interface FeedbackSource {
  server: BackendServer
  /** State of the incarnation that the request was sent to. */
  state: ServerState
  /** Id of the request that was answered. */
  request: string
  /** When the request was sent, on the monotonic clock. */
  sentAt: number
}

export class ServerFeedbackHandler {
  constructor (private readonly options: ServerFeedbackHandlerOptions) {}

  handle ({ leaving, backoffMs, limitPerSecond }: ServerFeedback, { server, state, request, sentAt }: FeedbackSource): void {
    const { facts, balancer, queue, serverLimits } = this.options
    serverLimits.recordStatement(server, limitPerSecond, sentAt, request)
    if (leaving) facts.markDraining(server, `answer to ${request}`)
    if (backoffMs === undefined) return state.backoff.recordAnswer(nowMs())
    balancer.backOff(server, state, backoffMs, request)
    // Requests that wait for this server may go elsewhere.
    queue.scheduleScan()
  }
}
