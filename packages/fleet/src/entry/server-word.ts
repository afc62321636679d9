/**
 * What a server says of itself with an answer, whatever that answer is: it stands in the head, and holds also where the rest
 * breaks off, refuses the request or belongs to another one.
 */
import type { IncomingMessage } from 'node:http'
import type { HeaderNames } from '../ports.js'
import { headerOf } from './header.js'

export interface ServerWord {
  /** It leaves, and wants no new requests. */
  leaving: boolean
}

/** How a server says yes. */
const yes = '1'

/** `undefined` where another server than `serverId` answered: that says nothing of this one. */
export const serverWordOf = (answer: IncomingMessage, names: HeaderNames, serverId: string): ServerWord | undefined => {
  const speaker = headerOf(answer, names.serverId)
  if (speaker !== undefined && speaker !== serverId) return undefined
  return { leaving: headerOf(answer, names.leaving)?.trim() === yes }
}
