/**
 * The callers' routes: each request is read, handed to `serve`, and its answer written at the caller's pace.
 */
import { newRequestId, untried, type Answer, type Failure, type Log } from '@finchpitch/core'
import { readBody, sendAnswer, sendFailure, type Exchange, type RouteHandler, type Routes } from '@finchpitch/http'
import type { Result } from 'neverthrow'
import { readAsk, type Ask, type AskKind } from './ask.js'

/** Serves one ask; `signal` aborts when the caller hangs up. */
export type Serve = (ask: Ask, signal: AbortSignal) => Promise<Result<Answer, Failure>>

export interface CallerOptions {
  serve: Serve
  log: Log
  /** Told of every request's end. */
  observe: (ask: Ask, end: RequestEnd) => void
}

export interface RequestEnd {
  outcome: 'ran' | 'not_run' | 'unknown' | 'hung_up'
  code: Failure['code'] | 'none'
  durationMs: number
}

/** Without having been looked at, a request that carries a key may have run in an earlier try. */
const rejectedOutcome = (failure: Failure, exchange: Exchange): Failure => {
  const { headers } = exchange.request
  const retried = headers['idempotency-key'] !== undefined && headers['finchpitch-first-try'] !== 'yes'
  return retried ? untried(failure) : failure
}

/** The ask, or `undefined` after its rejection has been sent. */
const receive = async (kind: AskKind, exchange: Exchange): Promise<Ask | undefined> => {
  const { request, response } = exchange
  const id = newRequestId()
  const body = await readBody(request)
  if (body.isErr()) {
    response.once('finish', () => request.destroy())
    sendFailure(response, rejectedOutcome(body.error, exchange), id)
    return undefined
  }
  const raw = { id, method: request.method ?? 'GET', path: pathOf(exchange), headers: request.headers, body: body.value }
  const ask = readAsk(kind, raw)
  if (ask.isOk()) return ask.value
  sendFailure(response, rejectedOutcome(ask.error.failure, exchange), id, ask.error.findings)
  return undefined
}

const handle = (kind: AskKind, { serve, log, observe }: CallerOptions): RouteHandler => async exchange => {
  const { response } = exchange
  const startedAt = performance.now()
  const ask = await receive(kind, exchange)
  if (ask === undefined) return
  const hangUp = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) hangUp.abort()
  })
  const end = await deliver(exchange, ask, await serve(ask, hangUp.signal))
  const durationMs = performance.now() - startedAt
  observe(ask, { ...end, durationMs })
  log.debug('request.ended', { request: ask.id, ...end, durationMs })
}

const deliver = async ({ response }: Exchange, ask: Ask, served: Result<Answer, Failure>): Promise<Omit<RequestEnd, 'durationMs'>> => {
  if (served.isErr()) {
    sendFailure(response, served.error, ask.id)
    return { outcome: served.error.outcome, code: served.error.code }
  }
  const delivery = await sendAnswer(response, served.value, ask.id)
  if (delivery.kind === 'whole') return { outcome: 'ran', code: 'none' }
  if (delivery.kind === 'hung_up') return { outcome: 'hung_up', code: 'cancelled' }
  return { outcome: delivery.failure.outcome, code: delivery.failure.code }
}

/** Before the path of what a ticket is for. */
const ticketRoot = '/tickets'
const leadingTicketRoot = /^\/tickets(?=\/)/

/** The path as it came, without what the gateway and the ticket routes take off. */
const pathOf = ({ request }: Exchange): string =>
  ((request as typeof request & { originalUrl?: string }).originalUrl ?? request.url ?? '/').replace(leadingTicketRoot, '')

export const callerRoutes = (options: CallerOptions): Routes => ({
  'POST /v1/chat/completions': handle('chat', options),
  'POST /v1/completions': handle('completion', options),
  '/services/:service/:path*': handle('service', options)
})

export interface TicketOptions {
  /** A key that names the one process which may run it. */
  issue: (ask: Ask) => Promise<Result<string, Failure>>
}

/** Tickets are asked for on the path of what they are for, with the same body and headers. */
export const ticketRoutes = ({ issue }: TicketOptions): Routes => {
  const ticket = (kind: AskKind): RouteHandler => async exchange => {
    const { response } = exchange
    const ask = await receive(kind, exchange)
    if (ask === undefined) return
    const issued = await issue(ask)
    if (issued.isErr()) return sendFailure(response, issued.error, ask.id)
    response.writeHead(201, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ ticket: issued.value }))
  }
  return {
    [`POST ${ticketRoot}/v1/chat/completions`]: ticket('chat'),
    [`POST ${ticketRoot}/v1/completions`]: ticket('completion'),
    [`POST ${ticketRoot}/services/:service/:path*`]: ticket('service')
  }
}
