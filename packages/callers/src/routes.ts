/**
 * The routes of the callers' API. Each request is parsed and passed to `serve`, and the response is streamed back with
 * backpressure.
 */
import { newRequestId, notRunThisAttempt, type HttpResponse, type Failure, type Log } from '@finchpitch/core'
import { readBody, sendResponse, sendFailure, type Exchange, type RouteHandler, type Routes } from '@finchpitch/http'
import type { Result } from 'neverthrow'
import { parseCallerRequest, type CallerRequest, type EndpointKind } from './caller-request.js'

/** Handles one request; `signal` aborts when the caller disconnects. */
export type RequestHandler = (request: CallerRequest, signal: AbortSignal) => Promise<Result<HttpResponse, Failure>>

export interface CallerRoutesOptions {
  serve: RequestHandler
  log: Log
  /** Called at the end of every request. */
  onRequestEnd: (request: CallerRequest, end: RequestEnd) => void
}

export interface RequestEnd {
  outcome: 'ran' | 'not_run' | 'unknown' | 'hung_up'
  code: Failure['code'] | 'none'
  durationMs: number
}

/**
 * The key of a rejected request has not been looked up, so an earlier attempt with it may have run, unless the caller
 * states that this is the first.
 */
const withRejectionOutcome = (failure: Failure, exchange: Exchange): Failure => {
  const { headers } = exchange.request
  const mayBeRetry = headers['idempotency-key'] !== undefined && headers['finchpitch-first-try'] !== 'yes'
  return mayBeRetry ? notRunThisAttempt(failure) : failure
}

/** Returns the parsed request, or `undefined` after an error response has been sent. */
const receiveRequest = async (kind: EndpointKind, exchange: Exchange): Promise<CallerRequest | undefined> => {
  const { request, response } = exchange
  const id = newRequestId()
  const body = await readBody(request)
  if (body.isErr()) {
    response.once('finish', () => request.destroy())
    sendFailure(response, withRejectionOutcome(body.error, exchange), id)
    return undefined
  }
  const raw = { id, method: request.method ?? 'GET', path: pathOf(exchange), headers: request.headers, body: body.value }
  const parsed = parseCallerRequest(kind, raw)
  if (parsed.isOk()) return parsed.value
  sendFailure(response, withRejectionOutcome(parsed.error.failure, exchange), id, parsed.error.findings)
  return undefined
}

const handle = (kind: EndpointKind, { serve, log, onRequestEnd }: CallerRoutesOptions): RouteHandler => async exchange => {
  const { response } = exchange
  const startedAt = performance.now()
  const request = await receiveRequest(kind, exchange)
  if (request === undefined) return
  const disconnected = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) disconnected.abort()
  })
  const end = await respond(exchange, request, await serve(request, disconnected.signal))
  const durationMs = performance.now() - startedAt
  onRequestEnd(request, { ...end, durationMs })
  log.debug('request.ended', { request: request.id, ...end, durationMs })
}

const respond = async ({ response }: Exchange, request: CallerRequest, served: Result<HttpResponse, Failure>): Promise<Omit<RequestEnd, 'durationMs'>> => {
  if (served.isErr()) {
    sendFailure(response, served.error, request.id)
    return { outcome: served.error.outcome, code: served.error.code }
  }
  const sent = await sendResponse(response, served.value, request.id)
  if (sent.kind === 'whole') return { outcome: 'ran', code: 'none' }
  if (sent.kind === 'hung_up') return { outcome: 'hung_up', code: 'cancelled' }
  return { outcome: sent.failure.outcome, code: sent.failure.code }
}

/** Prefix of the path for which a ticket is requested. */
const ticketPrefix = '/tickets'
const leadingTicketPrefix = /^\/tickets(?=\/)/

/** The original path of the request, before the gateway rewrote it, without the prefix of the ticket routes. */
const pathOf = ({ request }: Exchange): string =>
  ((request as typeof request & { originalUrl?: string }).originalUrl ?? request.url ?? '/').replace(leadingTicketPrefix, '')

export const callerRoutes = (options: CallerRoutesOptions): Routes => ({
  'POST /v1/chat/completions': handle('chat', options),
  'POST /v1/completions': handle('completion', options),
  '/services/:service/:path*': handle('service', options)
})

export interface TicketRoutesOptions {
  /** Returns an idempotency key that identifies the only process that may run the request. */
  issue: (request: CallerRequest) => Promise<Result<string, Failure>>
}

/** A ticket is requested with the path, body and headers of the request that it is for. */
export const ticketRoutes = ({ issue }: TicketRoutesOptions): Routes => {
  const handleTicket = (kind: EndpointKind): RouteHandler => async exchange => {
    const { response } = exchange
    const request = await receiveRequest(kind, exchange)
    if (request === undefined) return
    const issued = await issue(request)
    if (issued.isErr()) return sendFailure(response, issued.error, request.id)
    response.writeHead(201, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ ticket: issued.value }))
  }
  return {
    [`POST ${ticketPrefix}/v1/chat/completions`]: handleTicket('chat'),
    [`POST ${ticketPrefix}/v1/completions`]: handleTicket('completion'),
    [`POST ${ticketPrefix}/services/:service/:path*`]: handleTicket('service')
  }
}
