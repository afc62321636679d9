/**
 * Findings: the errors that validation reports, each with a code, a path and a message.
 *
 * Validation does not stop at the first error, so that an operator sees all of them at once. The codes are a closed set,
 * and their messages are defined in the table below.
 */
import type { z } from 'zod'

export const findingMessages = {
  invalid_value: (detail: string) => detail,
  invalid_syntax: (detail: string) => `can't be read: ${detail}`,
  duplicate_name: (detail: string) => `${detail} is declared twice`,
  unknown_team: (detail: string) => `team ${detail} is not declared`,
  unknown_model: (detail: string) => `base model ${detail} is not declared`,
  unknown_service: (detail: string) => `service ${detail} is not declared`,
  unknown_version: (detail: string) => `version ${detail} is not among the adapter's versions`,
  conflicting_settings: (detail: string) => detail
} satisfies Record<string, (detail: string) => string>

export type FindingCode = keyof typeof findingMessages

export interface Finding {
  code: FindingCode
  /** Location: a file and line, a flag, or a path into a document. */
  path: string
  message: string
}

export const finding = (code: FindingCode, path: string, detail: string): Finding =>
  ({ code, path, message: findingMessages[code](detail) })

const joinPath = (prefix: string, path: PropertyKey[]): string =>
  [prefix, ...path.map(String)].filter(part => part !== '').join('.')

/** Converts a schema's issues to findings, with `prefix` prepended to their paths. */
export const findingsOf = (error: z.ZodError, prefix = ''): Finding[] =>
  error.issues.map(issue => finding('invalid_value', joinPath(prefix, issue.path), issue.message))

export const printFindings = (findings: Finding[]): string =>
  findings.map(({ code, path, message }) => `${path}: ${message} [${code}]`).join('\n')
