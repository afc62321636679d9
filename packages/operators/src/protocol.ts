/**
 * Schemas of the operator API, shared by the entry and the command line.
 */
import { Configuration, Failure, ProcessId, Revision, FailureDomain } from '@finchpitch/core'
import { Change } from '@finchpitch/store'
import * as z from 'zod'

export const ApplyBody = z.strictObject({
  configuration: z.unknown(),
  /** The revision that the change is based on. */
  base: Revision,
  actor: z.string().min(1).max(200),
  note: z.string().max(1000).default('')
})
export type ApplyBody = z.infer<typeof ApplyBody>

export const ApplyReply = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('applied'), revision: Revision }),
  z.object({ kind: z.literal('unchanged'), revision: Revision }),
  z.object({ kind: z.literal('conflict'), revision: Revision, changes: z.array(Change) }),
  z.object({ kind: z.literal('invalid'), findings: z.array(z.object({ code: z.string(), path: z.string(), message: z.string() })) }),
  /** The change may have been applied; the history shows whether it was. */
  z.object({ kind: z.literal('unsettled'), detail: z.string() }),
  z.object({ kind: z.literal('unavailable'), detail: z.string() })
])
export type ApplyReply = z.infer<typeof ApplyReply>

export const ConfigurationReply = z.object({ revision: Revision, configuration: Configuration })
export type ConfigurationReply = z.infer<typeof ConfigurationReply>

export const HistoryReply = z.object({ changes: z.array(Change) })
export type HistoryReply = z.infer<typeof HistoryReply>

export const ProcessStatus = z.object({
  process: ProcessId,
  role: z.enum(['entry', 'side']),
  domain: FailureDomain,
  serving: z.string().optional(),
  /** `undefined` if this entry has no connection to the process. */
  revision: Revision.optional(),
  leaving: z.boolean(),
  waiting: z.number().optional(),
  running: z.number().optional()
})
export type ProcessStatus = z.infer<typeof ProcessStatus>

export const StatusReply = z.object({ revision: Revision, processes: z.array(ProcessStatus) })
export type StatusReply = z.infer<typeof StatusReply>

export const LogLevelBody = z.strictObject({ level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']) })

export const ErrorReply = z.object({ error: z.object({ code: Failure.shape.code, message: z.string() }) })
