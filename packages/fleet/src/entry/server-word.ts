/**
 * What a server says of itself with an answer, whatever that answer is: it stands in the head, and holds also where the rest
 * breaks off, refuses the request or belongs to another one.
 */
import type { IncomingMessage } from 'node:http'
import { longestRestMs } from '@finchpitch/decisions'
import type { HeaderNames } from '../ports.js'
import { headerOf } from './header.js'

export interface ServerWord {
  /** It leaves, and wants no new requests. */
  leaving: boolean
  /** How long it wants no request from this process; `undefined` where it asks for no rest. */
  restMs: number | undefined
  /**
   * Requests a second that it takes from all entries together, for as long as it says so: `Infinity` where it names no limit,
   * `undefined` where what it names can't be read, which says nothing.
   */
  limitPerSecond: number | undefined
}

/** How a server says yes. */
const yes = '1'
/** A server that asks for rest turns the request away with this status. */
export const turnedAway = 503

/** `undefined` where another server than `serverId` answered: that says nothing of this one. */
export const serverWordOf = (answer: IncomingMessage, names: HeaderNames, serverId: string): ServerWord | undefined => {
  const speaker = headerOf(answer, names.serverId)
  if (speaker !== undefined && speaker !== serverId) return undefined
  return { leaving: headerOf(answer, names.leaving)?.trim() === yes, restMs: restMsOf(answer, names), limitPerSecond: limitOf(answer, names) }
}

/** Seconds, fractions included. What is no such number asks for nothing; what is longer than is believed, for that. */
const restMsOf = (answer: IncomingMessage, names: HeaderNames): number | undefined => {
  if (answer.statusCode !== turnedAway) return undefined
  const text = headerOf(answer, names.retryAfter)?.trim() ?? ''
  const ms = text === '' ? NaN : Number(text) * 1000
  return ms > 0 ? Math.min(ms, longestRestMs) : undefined
}

/** A decimal number, 0 included. */
const decimal = /^\d+(\.\d+)?$/

const limitOf = (answer: IncomingMessage, names: HeaderNames): number | undefined => {
  const text = headerOf(answer, names.limit)?.trim()
  if (text === undefined) return Infinity
  const perSecond = decimal.test(text) ? Number(text) : NaN
  return Number.isFinite(perSecond) ? perSecond : undefined
}
