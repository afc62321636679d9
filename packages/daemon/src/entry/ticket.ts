/**
 * Tickets: idempotency keys that name the one incarnation of a side process that may run them.
 *
 * A caller requests a ticket, then sends its request with the ticket as idempotency key. Since the ticket itself is the binding, the
 * request runs at most once even while the store is down. The cost is an additional call, and a ticket becomes useless when its
 * incarnation ends.
 */
import { Binding, Incarnation, ProcessId, RequestKey, randomToken } from '@finchpitch/core'
import * as z from 'zod'

const prefix = 'tk1'
const separator = '/'

export interface Ticket {
  process: ProcessId
  incarnation: Incarnation
  epoch: number
  nonce: string
}

const TicketParts = z.tuple([
  z.literal(prefix),
  ProcessId,
  Incarnation,
  z.coerce.number().int().nonnegative(),
  z.string().regex(/^[A-Za-z0-9_-]{16}$/)
])

export const issueTicket = (process: ProcessId, incarnation: Incarnation, epoch: number): RequestKey =>
  RequestKey.parse([prefix, process, incarnation, epoch, randomToken()].join(separator))

export const isTicket = (key: RequestKey): boolean => key.startsWith(prefix + separator)

/** `undefined` for a key that has the prefix of a ticket but is not a valid one. */
export const parseTicket = (key: RequestKey): Ticket | undefined => {
  const parsed = TicketParts.safeParse(key.split(separator))
  if (!parsed.success) return undefined
  const [, process, incarnation, epoch, nonce] = parsed.data
  return { process, incarnation, epoch, nonce }
}

export const bindingOf = (ticket: Ticket, address: Binding['address']): Binding => ({ ...ticket, address })
