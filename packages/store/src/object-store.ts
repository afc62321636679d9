/**
 * The interface to the platform's object store: versioned objects, conditional updates and watches.
 *
 * Callers must tell apart three ways in which a write can fail: the object has changed (`conflict`), the write certainly
 * had no effect (`unavailable`), or its response was lost and it may have taken effect (`ambiguous`).
 */
import type { Result } from 'neverthrow'

/** Increases with every write to any object of the store. */
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
  /** `undefined` if the object doesn't exist. */
  get: (name: string) => Promise<Result<StoredObject | undefined, StoreFault>>
  /** Sorted names of the objects whose name starts with `prefix`. */
  list: (prefix: string) => Promise<Result<string[], StoreFault>>
  /** Writes the object if it is still at `version`; with `absent`, if it still doesn't exist. */
  put: (name: string, value: unknown, version: ResourceVersion | 'absent') => Promise<Result<StoredObject, StoreFault>>
  remove: (name: string, version: ResourceVersion) => Promise<Result<void, StoreFault>>
  /** Yields changes after `version`; events may be repeated or missing. The last event is always `ended`. */
  watch: (name: string, version: ResourceVersion, signal: AbortSignal) => AsyncIterable<WatchEvent>
}
