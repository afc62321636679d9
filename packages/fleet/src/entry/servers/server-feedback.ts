/**
 * Feedback that a server sends about itself in the response headers: that it is draining, asks for backoff or advertises a limit.
 *
 * It is valid whatever the response is, even if the body is truncated, the request is refused or the response belongs to another
 * request.
 */
import type { IncomingMessage } from 'node:http'
import { maxBackoffMs } from '@finchpitch/decisions'
import type { HeaderNames } from '../../ports.js'
import { headerOf } from '../serving/header.js'

export interface ServerFeedback {
  /** The server is draining and wants no new requests. */
  leaving: boolean
  /** How long it wants no requests from this process; `undefined` if it asks for no backoff. */
  backoffMs: number | undefined
  /**
   * Requests per second that it accepts from all entries together, valid until it says otherwise: `Infinity` if it advertises no
   * limit, `undefined` if the header is malformed and therefore ignored.
   */
  limitPerSecond: number | undefined
}

/** Value of the header that says a server is draining. */
const leavingValue = '1'
/** Status with which a server that asks for backoff rejects the request. */
export const overloadedStatus = 503

/** `undefined` if the response came from a server other than `serverId`, as its headers say nothing about this one. */
export const readServerFeedback = (response: IncomingMessage, names: HeaderNames, serverId: string): ServerFeedback | undefined => {
  const responder = headerOf(response, names.serverId)
  if (responder !== undefined && responder !== serverId) return undefined
  return { leaving: headerOf(response, names.leaving)?.trim() === leavingValue, backoffMs: parseBackoff(response, names), limitPerSecond: parseLimit(response, names) }
}

/** Seconds, fractions allowed. Anything else asks for no backoff; values above `maxBackoffMs` are capped. */
const parseBackoff = (response: IncomingMessage, names: HeaderNames): number | undefined => {
  if (response.statusCode !== overloadedStatus) return undefined
  const text = headerOf(response, names.retryAfter)?.trim() ?? ''
  const ms = text === '' ? NaN : Number(text) * 1000
  return ms > 0 ? Math.min(ms, maxBackoffMs) : undefined
}

/** A decimal number, including 0. */
const decimalNumber = /^\d+(\.\d+)?$/

const parseLimit = (response: IncomingMessage, names: HeaderNames): number | undefined => {
  const text = headerOf(response, names.limit)?.trim()
  if (text === undefined) return Infinity
  const perSecond = decimalNumber.test(text) ? Number(text) : NaN
  return Number.isFinite(perSecond) ? perSecond : undefined
}
