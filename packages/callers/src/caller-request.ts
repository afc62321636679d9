/**
 * Parses a caller's HTTP request, and validates all of it that can be validated without the configuration.
 */
import { AdapterName, RequestKey, ServiceName, TeamName, WorkClass, findingsOf, finding, notRun, type HttpRequest, type Failure, type Finding, type RequestId } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'

const defaultPatienceMs = 60_000
const maxPatienceMs = 24 * 60 * 60 * 1000

export type RequestTarget =
  | { kind: 'adapter', team: TeamName, adapter: AdapterName, version: string | undefined }
  | { kind: 'service', service: ServiceName }

/** The idempotency key of a request that may run at most once. */
export interface Idempotency {
  key: RequestKey
  /** The caller states that it has not sent a request with this key before. */
  firstTry: boolean
}

export interface CallerRequest {
  id: RequestId
  token: string | undefined
  target: RequestTarget
  call: HttpRequest
  class: WorkClass
  /** How long the caller is willing to wait. */
  patienceMs: number
  /** Set on requests that may run at most once. */
  once: Idempotency | undefined
  /** Whether the request may be retried even if it may have run already. */
  repeatable: boolean
}

export interface Rejection {
  failure: Failure
  findings: Finding[]
}

export interface RawRequest {
  id: RequestId
  method: string
  /** Including the query. */
  path: string
  headers: Record<string, string | string[] | undefined>
  body: Buffer
}

const yesNo = z.enum(['yes', 'no'])

const RequestHeaders = z.object({
  authorization: z.string().regex(/^Bearer \S+$/i, 'expected "Bearer" and a token').optional(),
  'idempotency-key': RequestKey.optional(),
  'finchpitch-repeatable': yesNo.optional(),
  'finchpitch-first-try': yesNo.default('no'),
  'finchpitch-class': WorkClass.default('caller'),
  'finchpitch-patience-ms': z.coerce.number().int().positive().max(maxPatienceMs).default(defaultPatienceMs)
})
type RequestHeaders = z.infer<typeof RequestHeaders>

const modelPattern = /^([^/@:]+)\/([^/@:]+)(?:[@:](.+))?$/

const ModelField = z.string().regex(modelPattern, 'expected team/adapter, team/adapter@version or team/adapter:alias').transform((text, context) => {
  const [, team, adapter, version] = modelPattern.exec(text) ?? []
  const names = z.object({ team: TeamName, adapter: AdapterName }).safeParse({ team, adapter })
  if (names.success) return { kind: 'adapter' as const, ...names.data, version }
  context.addIssue('expected names of a-z, 0-9, dot and dash')
  return z.NEVER
})

const Message = z.looseObject({ role: z.string() })
const commonFields = { model: ModelField, stream: z.boolean().optional(), max_tokens: z.number().int().positive().optional() }
const ChatBody = z.looseObject({ ...commonFields, messages: z.array(Message).min(1) })
const CompletionBody = z.looseObject({ ...commonFields, prompt: z.union([z.string(), z.array(z.string()).min(1)]) })

const rejection = (code: Failure['code'], findings: Finding[]): Rejection =>
  ({ failure: notRun(code, { detail: findings.map(each => `${each.path}: ${each.message}`).join('; ') }), findings })

type TargetParser = (raw: RawRequest) => Result<RequestTarget, Rejection>

const readJson = (body: Buffer): Result<unknown, Rejection> => {
  try {
    return ok(JSON.parse(body.toString()))
  } catch (error) {
    return err(rejection('invalid_body', [finding('invalid_syntax', 'body', (error as Error).message)]))
  }
}

const targetFromBody = (schema: typeof ChatBody | typeof CompletionBody): TargetParser => raw =>
  readJson(raw.body).andThen((json): Result<RequestTarget, Rejection> => {
    const parsed = schema.safeParse(json)
    return parsed.success ? ok(parsed.data.model) : err(rejection('invalid_body', findingsOf(parsed.error, 'body')))
  })

const servicePattern = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/

const targetFromPath: TargetParser = ({ path }) => {
  const name = ServiceName.safeParse(servicePattern.exec(path)?.[1])
  return name.success ? ok({ kind: 'service', service: name.data }) : err(rejection('unknown_service', findingsOf(name.error, 'path')))
}

/** Reads the target of a request, for each kind of endpoint. */
export const targetParsers = {
  chat: targetFromBody(ChatBody),
  completion: targetFromBody(CompletionBody),
  service: targetFromPath
} satisfies Record<string, TargetParser>
export type EndpointKind = keyof typeof targetParsers

/** The path that is sent to the backend server. */
const backendPath = (kind: EndpointKind, path: string): string => {
  if (kind !== 'service') return path.split('?')[0] ?? path
  const [, , rest, query] = servicePattern.exec(path) ?? []
  return `${rest ?? '/'}${query ?? ''}`
}

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS'])

const isRepeatable = (kind: EndpointKind, method: string, headers: RequestHeaders): boolean => {
  if (headers['idempotency-key'] !== undefined) return false
  if (headers['finchpitch-repeatable'] !== undefined) return headers['finchpitch-repeatable'] === 'yes'
  return kind !== 'service' || safeMethods.has(method)
}

const reservedHeader = /^(finchpitch-|idempotency-key$|authorization$)/

const forwardedHeaders = (headers: RawRequest['headers']): Record<string, string> =>
  Object.fromEntries(Object.entries(headers)
    .filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !reservedHeader.test(entry[0]))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]))

export const parseCallerRequest = (kind: EndpointKind, raw: RawRequest): Result<CallerRequest, Rejection> => {
  const parsed = RequestHeaders.safeParse(raw.headers)
  if (!parsed.success) return err(rejection('invalid_header', findingsOf(parsed.error, 'headers')))
  const headers = parsed.data
  const key = headers['idempotency-key']
  if (headers['finchpitch-repeatable'] === 'no' && key === undefined) {
    return err(rejection('key_required', [finding('conflicting_settings', 'headers.idempotency-key', 'required with finchpitch-repeatable: no')]))
  }
  return targetParsers[kind](raw).map(target => ({
    id: raw.id,
    token: headers.authorization?.replace(/^Bearer /i, ''),
    target,
    call: { method: raw.method, path: backendPath(kind, raw.path), headers: forwardedHeaders(raw.headers), body: raw.body },
    class: headers['finchpitch-class'],
    patienceMs: headers['finchpitch-patience-ms'],
    once: key === undefined ? undefined : { key, firstTry: headers['finchpitch-first-try'] === 'yes' },
    repeatable: isRepeatable(kind, raw.method, headers)
  }))
}
