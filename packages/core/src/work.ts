/**
 * Work: one try of a request, as the entry hands it to a side process, and the answer's parts.
 */
import * as z from 'zod'
import { AdapterName, AdapterVersion, Address, Incarnation, ModelName, ProcessId, RequestId, RequestKey, Revision, ServiceName, TeamName } from './id.js'
import type { Failure } from './failure.js'

/** What a side process serves. */
export const Serving = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('model'), model: ModelName }),
  z.object({ kind: z.literal('service'), service: ServiceName })
])
export type Serving = z.infer<typeof Serving>

export const servingName = (serving: Serving): string =>
  serving.kind === 'model' ? `model/${serving.model}` : `service/${serving.service}`

/** What a request runs on; the version is exact, aliases are resolved before. */
export const Target = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('adapter'), team: TeamName, adapter: AdapterName, version: AdapterVersion, model: ModelName, source: z.string() }),
  z.object({ kind: z.literal('service'), service: ServiceName })
])
export type Target = z.infer<typeof Target>
export type AdapterTarget = Extract<Target, { kind: 'adapter' }>

/** `team/adapter@version`, the name of an exact adapter version everywhere. */
export const adapterLabel = (target: AdapterTarget): string => `${target.team}/${target.adapter}@${target.version}`

export const targetLabel = (target: Target): string =>
  target.kind === 'adapter' ? adapterLabel(target) : `service/${target.service}`

export const servingOf = (target: Target): Serving =>
  target.kind === 'adapter' ? { kind: 'model', model: target.model } : { kind: 'service', service: target.service }

/** Classes in the order in which they are served. */
export const workClasses = ['desk', 'caller', 'batch'] as const
export const WorkClass = z.enum(workClasses)
export type WorkClass = z.infer<typeof WorkClass>

export const Headers = z.record(z.string(), z.string())
export type Headers = z.infer<typeof Headers>

/** Bytes of any backing, as they come off a socket. */
export const Bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'expected bytes')

/** An HTTP request without its connection. */
export const Call = z.object({
  method: z.string().max(20),
  path: z.string().max(4000),
  headers: Headers,
  body: Bytes
})
export type Call = z.infer<typeof Call>

/**
 * Which one incarnation may run a key. `epoch` is that incarnation's count of its key windows: it remembers the
 * keys of the current and the last epoch and refuses older ones, so its memory is bounded without clocks being
 * compared. `nonce` tells one's own write of the binding from another's.
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
  /** How long the caller still waits, in milliseconds; a duration, so clocks needn't agree. */
  patienceMs: z.number().nonnegative(),
  /** The configuration that the target was resolved at. */
  revision: Revision,
  target: Target,
  call: Call,
  /** Present exactly on requests that may not be repeated. */
  once: z.object({ key: RequestKey, binding: Binding }).optional()
})
export type Work = z.infer<typeof Work>

/** The start of an answer; the body follows in chunks. */
export interface AnswerHead {
  status: number
  headers: Headers
}

/** A body whose reader sets the pace; it throws `AnswerFailure` when it can't be brought to its end. */
export type AnswerBody = AsyncIterable<Uint8Array>

export interface Answer extends AnswerHead {
  body: AnswerBody
}

/** Ends a body that can't be brought whole. */
export class AnswerFailure extends Error {
  constructor (readonly failure: Failure) {
    super(failure.code)
  }
}
