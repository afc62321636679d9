/**
 * What servers say of themselves with their answers, taken in by all that it concerns.
 *
 * It concerns the server and not the request that it came with: every choice and every sending from then on.
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

/** The answer that a word came with. */
export interface Spoken {
  server: BackendServer
  /** Of the life that was asked. */
  state: ServerState
  /** Id of the request. */
  request: string
  /** When that was sent, on the steady clock. */
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
    // Those that wait for it may go elsewhere.
    room.poke()
  }
}
