/**
 * An ask: what a caller wants, read from its HTTP request and checked as far as that goes without the
 * configuration.
 */
import { AdapterName, RequestKey, ServiceName, TeamName, WorkClass, findingsOf, finding, notRun, type Call, type Failure, type Finding, type RequestId } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'

const defaultPatienceMs = 60_000
const maxPatienceMs = 24 * 60 * 60 * 1000

export type AskedTarget =
  | { kind: 'adapter', team: TeamName, adapter: AdapterName, version: string | undefined }
  | { kind: 'service', service: ServiceName }

export interface Once {
  key: RequestKey
  /** The caller says that it has never asked with this key before. */
  firstTry: boolean
}

export interface Ask {
  id: RequestId
  token: string | undefined
  target: AskedTarget
  call: Call
  class: WorkClass
  patienceMs: number
  /** Present on requests that may run at most once. */
  once: Once | undefined
  /** Whether the request may be sent again after it may have run. */
  repeatable: boolean
}

export interface Rejection {
  failure: Failure
  findings: Finding[]
}

export interface RawAsk {
  id: RequestId
  method: string
  /** With the query. */
  path: string
  headers: Record<string, string | string[] | undefined>
  body: Buffer
}

const yesNo = z.enum(['yes', 'no'])

const AskHeaders = z.object({
  authorization: z.string().regex(/^Bearer \S+$/i, 'expected "Bearer" and a token').optional(),
  'idempotency-key': RequestKey.optional(),
  'finchpitch-repeatable': yesNo.optional(),
  'finchpitch-first-try': yesNo.default('no'),
  'finchpitch-class': WorkClass.default('caller'),
  'finchpitch-patience-ms': z.coerce.number().int().positive().max(maxPatienceMs).default(defaultPatienceMs)
})
type AskHeaders = z.infer<typeof AskHeaders>

const modelPattern = /^([^/@:]+)\/([^/@:]+)(?:[@:](.+))?$/

const ModelField = z.string().regex(modelPattern, 'expected team/adapter, team/adapter@version or team/adapter:alias').transform((text, context) => {
  const [, team, adapter, version] = modelPattern.exec(text) ?? []
  const names = z.object({ team: TeamName, adapter: AdapterName }).safeParse({ team, adapter })
  if (names.success) return { kind: 'adapter' as const, ...names.data, version }
  context.addIssue('expected names of a-z, 0-9, dot and dash')
  return z.NEVER
})

const Message = z.looseObject({ role: z.string() })
const Common = { model: ModelField, stream: z.boolean().optional(), max_tokens: z.number().int().positive().optional() }
const ChatBody = z.looseObject({ ...Common, messages: z.array(Message).min(1) })
const CompletionBody = z.looseObject({ ...Common, prompt: z.union([z.string(), z.array(z.string()).min(1)]) })

const reject = (code: Failure['code'], findings: Finding[]): Rejection =>
  ({ failure: notRun(code, { detail: findings.map(each => `${each.path}: ${each.message}`).join('; ') }), findings })

type TargetReader = (raw: RawAsk) => Result<AskedTarget, Rejection>

const readJson = (body: Buffer): Result<unknown, Rejection> => {
  try {
    return ok(JSON.parse(body.toString()))
  } catch (error) {
    return err(reject('invalid_body', [finding('invalid_syntax', 'body', (error as Error).message)]))
  }
}

const fromBody = (schema: typeof ChatBody | typeof CompletionBody): TargetReader => raw =>
  readJson(raw.body).andThen((json): Result<AskedTarget, Rejection> => {
    const parsed = schema.safeParse(json)
    return parsed.success ? ok(parsed.data.model) : err(reject('invalid_body', findingsOf(parsed.error, 'body')))
  })

const servicePattern = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/

const fromServicePath: TargetReader = ({ path }) => {
  const name = ServiceName.safeParse(servicePattern.exec(path)?.[1])
  return name.success ? ok({ kind: 'service', service: name.data }) : err(reject('unknown_service', findingsOf(name.error, 'path')))
}

/** Where each kind of path names its target. */
export const targetReaders = {
  chat: fromBody(ChatBody),
  completion: fromBody(CompletionBody),
  service: fromServicePath
} satisfies Record<string, TargetReader>
export type AskKind = keyof typeof targetReaders

/** The path that the backend server sees. */
const innerPath = (kind: AskKind, path: string): string => {
  if (kind !== 'service') return path.split('?')[0] ?? path
  const [, , rest, query] = servicePattern.exec(path) ?? []
  return `${rest ?? '/'}${query ?? ''}`
}

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS'])

const mayRepeat = (kind: AskKind, method: string, headers: AskHeaders): boolean => {
  if (headers['idempotency-key'] !== undefined) return false
  if (headers['finchpitch-repeatable'] !== undefined) return headers['finchpitch-repeatable'] === 'yes'
  return kind !== 'service' || safeMethods.has(method)
}

const ownHeader = /^(finchpitch-|idempotency-key$|authorization$)/

const onward = (headers: RawAsk['headers']): Record<string, string> =>
  Object.fromEntries(Object.entries(headers)
    .filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !ownHeader.test(entry[0]))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]))

export const readAsk = (kind: AskKind, raw: RawAsk): Result<Ask, Rejection> => {
  const parsed = AskHeaders.safeParse(raw.headers)
  if (!parsed.success) return err(reject('invalid_header', findingsOf(parsed.error, 'headers')))
  const headers = parsed.data
  const key = headers['idempotency-key']
  if (headers['finchpitch-repeatable'] === 'no' && key === undefined) {
    return err(reject('key_required', [finding('conflicting_settings', 'headers.idempotency-key', 'required with finchpitch-repeatable: no')]))
  }
  return targetReaders[kind](raw).map(target => ({
    id: raw.id,
    token: headers.authorization?.replace(/^Bearer /i, ''),
    target,
    call: { method: raw.method, path: innerPath(kind, raw.path), headers: onward(raw.headers), body: raw.body },
    class: headers['finchpitch-class'],
    patienceMs: headers['finchpitch-patience-ms'],
    once: key === undefined ? undefined : { key, firstTry: headers['finchpitch-first-try'] === 'yes' },
    repeatable: mayRepeat(kind, raw.method, headers)
  }))
}
