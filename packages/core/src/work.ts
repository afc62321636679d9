/**
 * One attempt of a request, as an entry sends it to a side process, and the parts of its response.
 */
import * as z from 'zod'
import { AdapterName, AdapterVersion, Address, Incarnation, ModelName, ProcessId, RequestId, RequestKey, Revision, ServiceName, TeamName } from './id.js'
import type { Failure } from './failure.js'

/** What a side process serves: a base model or a service. */
export const Serving = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('model'), model: ModelName }),
  z.object({ kind: z.literal('service'), service: ServiceName })
])
export type Serving = z.infer<typeof Serving>

export const servingName = (serving: Serving): string =>
  serving.kind === 'model' ? `model/${serving.model}` : `service/${serving.service}`

/** What a request is run on: an adapter, whose alias has been resolved to an exact version, or a service. */
export const Target = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('adapter'), team: TeamName, adapter: AdapterName, version: AdapterVersion, model: ModelName, source: z.string() }),
  z.object({ kind: z.literal('service'), service: ServiceName })
])
export type Target = z.infer<typeof Target>
export type AdapterTarget = Extract<Target, { kind: 'adapter' }>

/** `team/adapter@version`, which identifies an exact version of an adapter. */
export const adapterLabel = (target: AdapterTarget): string => `${target.team}/${target.adapter}@${target.version}`

export const targetLabel = (target: Target): string =>
  target.kind === 'adapter' ? adapterLabel(target) : `service/${target.service}`

export const servingOf = (target: Target): Serving =>
  target.kind === 'adapter' ? { kind: 'model', model: target.model } : { kind: 'service', service: target.service }

/** Priority classes, the most urgent first. */
export const workClasses = ['desk', 'caller', 'batch'] as const
export const WorkClass = z.enum(workClasses)
export type WorkClass = z.infer<typeof WorkClass>

export const Headers = z.record(z.string(), z.string())
export type Headers = z.infer<typeof Headers>

/** Bytes as received from a socket; accepts `Buffer` and any other `Uint8Array`. */
export const Bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'expected bytes')

/** An HTTP request, detached from its connection. */
export const HttpRequest = z.object({
  method: z.string().max(20),
  path: z.string().max(4000),
  headers: Headers,
  body: Bytes
})
export type HttpRequest = z.infer<typeof HttpRequest>

/**
 * The only incarnation that may run the request with a given key. `epoch` counts the key windows of that incarnation: it
 * remembers the keys of the current and the previous epoch and refuses older ones, which bounds its memory without
 * comparing clocks. `nonce` distinguishes a process's own write of the binding from another's.
 */
export const Binding = z.object({
  process: ProcessId,
  address: Address,
  incarnation: Incarnation,
  epoch: z.number().int().nonnegative(),
  nonce: z.string().max(32)
})
export type Binding = z.infer<typeof Binding>

export const Work = z.object({
  id: RequestId,
  team: TeamName,
  class: WorkClass,
  /** How long the caller still waits, in milliseconds; a duration, so that clocks need not be synchronized. */
  patienceMs: z.number().nonnegative(),
  /** The revision of the configuration against which the target was resolved. */
  revision: Revision,
  target: Target,
  call: HttpRequest,
  /** Present on non-idempotent requests only. */
  once: z.object({ key: RequestKey, binding: Binding }).optional()
})
export type Work = z.infer<typeof Work>

/** Status and headers of a response; the body follows in chunks. */
export interface ResponseHead {
  status: number
  headers: Headers
}

/** A response body with backpressure. Iterating it throws a `ResponseError` if the body can't be completed. */
export type ResponseBody = AsyncIterable<Uint8Array>

export interface HttpResponse extends ResponseHead {
  body: ResponseBody
}

/** Thrown by a response body that can't be completed. */
export class ResponseError extends Error {
  constructor (readonly failure: Failure) {
    super(failure.code)
  }
}
