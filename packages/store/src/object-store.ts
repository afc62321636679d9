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

export const storeErrorMessages = {
  unavailable: 'the store did not answer, and nothing was written',
  ambiguous: 'the answer to a write was lost; it may have taken effect',
  conflict: 'the object has changed since it was read',
  too_old: 'the watch starts at a version that is no longer kept',
  refused: 'the store refused the call'
} as const
export type StoreErrorCode = keyof typeof storeErrorMessages

export interface StoreError {
  code: StoreErrorCode
  detail: string
}

export const storeError = (code: StoreErrorCode, detail = ''): StoreError => ({ code, detail })

export const describeStoreError = ({ code, detail }: StoreError): string =>
  detail === '' ? storeErrorMessages[code] : `${storeErrorMessages[code]} (${detail})`

export type WatchEvent =
  | { type: 'changed', object: StoredObject }
  | { type: 'deleted', name: string, version: ResourceVersion }
  | { type: 'ended', fault: StoreError }

export interface ObjectStore {
  /** `undefined` if the object doesn't exist. */
  get: (name: string) => Promise<Result<StoredObject | undefined, StoreError>>
  /** Sorted names of the objects whose name starts with `prefix`. */
  list: (prefix: string) => Promise<Result<string[], StoreError>>
  /** Writes the object if it is still at `version`; with `absent`, if it still doesn't exist. */
  put: (name: string, value: unknown, version: ResourceVersion | 'absent') => Promise<Result<StoredObject, StoreError>>
  remove: (name: string, version: ResourceVersion) => Promise<Result<void, StoreError>>
  /** Yields changes after `version`; events may be repeated or missing. The last event is always `ended`. */
  watch: (name: string, version: ResourceVersion, signal: AbortSignal) => AsyncIterable<WatchEvent>
}
