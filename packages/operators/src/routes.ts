/**
 * The routes of the operator API of an entry, and the health, metrics and log level routes of every process.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { timingSafeEqual } from 'node:crypto'
import { findingsOf, newRequestId, notRun, printFindings, type Failure, type LogLevel } from '@finchpitch/core'
import { readBody, sendFailure, type Exchange, type RouteHandler, type Routes } from '@finchpitch/http'
import { hashToken } from '@finchpitch/store'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { ApplyBody, LogLevelBody, type ApplyReply, type ConfigurationReply, type HistoryReply, type StatusReply } from './protocol.js'

/** Ample for a configuration of 52,000 adapters, which takes about 10 MB. */
const maxApplyBytes = 64 * 1024 * 1024

export interface OperatorHandlers {
  apply: (body: ApplyBody) => Promise<ApplyReply>
  configuration: () => ConfigurationReply
  history: () => HistoryReply
  status: () => StatusReply
}

export interface ProcessHandlers {
  /** Why the process is not ready to serve requests; `undefined` if it is. */
  notReadyReason: () => string | undefined
  metrics: () => Promise<string>
  setLogLevel: (level: LogLevel) => void
}

export interface OperatorAccess {
  /** Hexadecimal SHA-256 hash of the bearer token of operators. */
  tokenHash: string
}

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

const sendText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' })
  response.end(text)
}

const isAuthorized = (request: IncomingMessage, { tokenHash }: OperatorAccess): boolean => {
  const token = /^Bearer (\S+)$/i.exec(request.headers.authorization ?? '')?.[1]
  if (token === undefined) return false
  return timingSafeEqual(Buffer.from(hashToken(token)), Buffer.from(tokenHash))
}

const requireOperator = (access: OperatorAccess, handler: RouteHandler): RouteHandler => async exchange => {
  if (isAuthorized(exchange.request, access)) return await handler(exchange)
  exchange.request.resume()
  sendFailure(exchange.response, notRun('unauthenticated'), newRequestId())
}

const parseJson = (text: Buffer): Result<unknown, Failure> => {
  try {
    return ok(JSON.parse(text.toString()))
  } catch (error) {
    return err(notRun('invalid_body', { detail: (error as Error).message }))
  }
}

/** Returns the parsed body, or `undefined` after an error response has been sent. */
const readJson = async <S extends z.ZodType>({ request, response }: Exchange, schema: S): Promise<z.infer<S> | undefined> => {
  const body = await readBody(request, maxApplyBytes)
  const json = body.andThen(parseJson)
  if (json.isErr()) {
    sendFailure(response, json.error, newRequestId())
    return undefined
  }
  const parsed = schema.safeParse(json.value)
  if (parsed.success) return parsed.data
  const findings = findingsOf(parsed.error, 'body')
  sendFailure(response, notRun('invalid_body', { detail: printFindings(findings) }), newRequestId(), findings)
  return undefined
}

const applyStatusCodes: Record<ApplyReply['kind'], number> = {
  applied: 200, unchanged: 200, conflict: 409, invalid: 422, unsettled: 504, unavailable: 503
}

export const operatorRoutes = (handlers: OperatorHandlers, access: OperatorAccess): Routes => {
  const replyWith = (read: () => unknown): RouteHandler => requireOperator(access, async ({ response }) => sendJson(response, 200, read()))
  return {
    'POST /operator/v1/apply': requireOperator(access, async exchange => {
      const body = await readJson(exchange, ApplyBody)
      if (body === undefined) return
      const reply = await handlers.apply(body)
      sendJson(exchange.response, applyStatusCodes[reply.kind], reply)
    }),
    'GET /operator/v1/configuration': replyWith(() => handlers.configuration()),
    'GET /operator/v1/history': replyWith(() => handlers.history()),
    'GET /operator/v1/status': replyWith(() => handlers.status())
  }
}

export const processRoutes = ({ notReadyReason, metrics, setLogLevel }: ProcessHandlers, access: OperatorAccess): Routes => ({
  'GET /healthz': async ({ response }) => sendText(response, 200, 'ok\n'),
  'GET /readyz': async ({ response }) => {
    const reason = notReadyReason()
    sendText(response, reason === undefined ? 200 : 503, reason === undefined ? 'ready\n' : `${reason}\n`)
  },
  'GET /metrics': async ({ response }) => sendText(response, 200, await metrics()),
  'PUT /operator/v1/log-level': requireOperator(access, async exchange => {
    const body = await readJson(exchange, LogLevelBody)
    if (body === undefined) return
    setLogLevel(body.level)
    sendJson(exchange.response, 200, body)
  })
})
