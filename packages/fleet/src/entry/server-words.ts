/**
 * Applies the feedback that servers send in their response headers.
 *
 * It is about the server and not about the request that it came with, so it affects every selection and every send from then on:
 * the rate limits, the list of leaving servers, the backoff of the server and the queued requests.
 */
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { BackendServer } from '../server.js'
import type { Balancer } from './balancer.js'
import type { ServerLimits } from './server-limits.js'
import type { ServerState } from './server-state.js'
import type { ServerWord } from './server-word.js'
import type { WaitingRoom } from './waiting-room.js'

export interface ServerWordsOptions {
  facts: Facts
  balancer: Balancer
  room: WaitingRoom
  serverLimits: ServerLimits
}

/** The answer that the feedback came with. */
export interface Spoken {
  server: BackendServer
  /** State of the incarnation that the request was sent to. */
  state: ServerState
  /** Id of the request that was answered. */
  request: string
  /** When the request was sent, on the monotonic clock. */
  sentAt: number
}

export class ServerWords {
  constructor (private readonly options: ServerWordsOptions) {}

  take ({ leaving, restMs, limitPerSecond }: ServerWord, { server, state, request, sentAt }: Spoken): void {
    const { facts, balancer, room, serverLimits } = this.options
    serverLimits.heard(server, limitPerSecond, sentAt, request)
    if (leaving) facts.noteLeaving(server, `answer to ${request}`)
    if (restMs === undefined) return state.rest.answered(nowMs())
    balancer.rest(server, state, restMs, request)
    // Requests that wait for this server may go elsewhere.
    room.poke()
  }
}
