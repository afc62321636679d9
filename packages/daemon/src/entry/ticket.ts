/**
 * Tickets: keys that name the one incarnation which may run them, so that no store is needed.
 *
 * A caller takes a ticket, then asks with it as its key. Nobody else can be bound to a ticket, so at most once
 * holds however the store fares. The price is a call more, and that the ticket is lost with its incarnation.
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

/** `undefined` for a key that looks like a ticket and isn't one. */
export const readTicket = (key: RequestKey): Ticket | undefined => {
  const parsed = TicketParts.safeParse(key.split(separator))
  if (!parsed.success) return undefined
  const [, process, incarnation, epoch, nonce] = parsed.data
  return { process, incarnation, epoch, nonce }
}

export const bindingOf = (ticket: Ticket, address: Binding['address']): Binding => ({ ...ticket, address })
