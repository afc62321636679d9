/**
 * The platform's object API as the system uses it: versions, conditional updates, watches.
 *
 * Every call can fail in three ways that must not be mixed: the store said no (`conflict`), the call surely did
 * nothing (`unavailable`), or a write's answer was lost and it may have taken effect (`ambiguous`).
 */
import type { Result } from 'neverthrow'

/** Grows with each write anywhere in the store. */
export type ResourceVersion = string

export interface StoredObject {
  name: string
  version: ResourceVersion
  value: unknown
}

export const storeFaultTexts = {
  unavailable: 'the store did not answer, and nothing was written',
  ambiguous: 'the answer to a write was lost; it may have taken effect',
  conflict: 'the object has changed since it was read',
  too_old: 'the watch starts at a version that is no longer kept',
  refused: 'the store refused the call'
} as const
export type StoreFaultCode = keyof typeof storeFaultTexts

export interface StoreFault {
  code: StoreFaultCode
  detail: string
}

export const storeFault = (code: StoreFaultCode, detail = ''): StoreFault => ({ code, detail })

export const describeFault = ({ code, detail }: StoreFault): string =>
  detail === '' ? storeFaultTexts[code] : `${storeFaultTexts[code]} (${detail})`

export type WatchEvent =
  | { type: 'changed', object: StoredObject }
  | { type: 'deleted', name: string, version: ResourceVersion }
  | { type: 'ended', fault: StoreFault }

export interface ObjectStore {
  /** `undefined` where there is no such object. */
  get: (name: string) => Promise<Result<StoredObject | undefined, StoreFault>>
  /** Names with the prefix, in order. */
  list: (prefix: string) => Promise<Result<string[], StoreFault>>
  /** Writes if the object is still at `version`, or still absent. */
  put: (name: string, value: unknown, version: ResourceVersion | 'absent') => Promise<Result<StoredObject, StoreFault>>
  remove: (name: string, version: ResourceVersion) => Promise<Result<void, StoreFault>>
  /** Events after `version`, with repeats and gaps; always closes with `ended`. */
  watch: (name: string, version: ResourceVersion, signal: AbortSignal) => AsyncIterable<WatchEvent>
}
