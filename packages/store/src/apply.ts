/**
 * Applies a configuration: writes its shards, then commits it with one conditional update of the head.
 *
 * When the response to that update is lost, the outcome is resolved by reading the head back. If the head's recent
 * changes contain this change, it was committed, even if later changes have followed. If another change has the same
 * revision, that one was committed first, and the operator has to decide again.
 */
import { Revision, backoff, pause, randomToken, type Configuration, type Random } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { splitIntoShards, type Change, type Head, type Shards } from './catalog.js'
import { StoreSource, headName, shardName, type VersionedHead } from './configuration-source.js'
import { storeError, type ObjectStore, type StoreError } from './object-store.js'

const maxWriteAttempts = 5
const maxConcurrentWrites = 8
const maxRecentChanges = 20

export interface ApplyRequest {
  configuration: Configuration
  /** The revision that the change is based on; 0 for the first configuration. */
  base: Revision
  actor: string
  note: string
}

export type ApplyOutcome =
  | { kind: 'applied', head: Head }
  /** The configuration equals the current one, so nothing was written. */
  | { kind: 'unchanged', head: Head }
  /** The current revision isn't the one that the change is based on; nothing was applied. */
  | { kind: 'conflict', head: Head }

const isUnchanged = (head: Head, shards: Shards): boolean =>
  head.common === shards.common && JSON.stringify(head.adapters) === JSON.stringify(shards.adapters)

const writeShard = async (store: ObjectStore, hash: string, text: string, random: Random): Promise<Result<void, StoreError>> => {
  for (let failures = 0; ; failures++) {
    const written = await store.put(shardName(hash), text, 'absent')
    // A shard is named after the hash of its content, so an existing object of that name has the same content.
    if (written.isOk() || written.error.code === 'conflict') return ok(undefined)
    if (written.error.code === 'refused' || failures + 1 >= maxWriteAttempts) return err(written.error)
    await pause(backoff(failures, random))
  }
}

const writeShards = async (store: ObjectStore, shards: Shards, known: Set<string>, random: Random): Promise<Result<void, StoreError>> => {
  const missing = [...shards.texts].filter(([hash]) => !known.has(hash))
  for (let at = 0; at < missing.length; at += maxConcurrentWrites) {
    const batch = missing.slice(at, at + maxConcurrentWrites)
    const written = await Promise.all(batch.map(([hash, text]) => writeShard(store, hash, text, random)))
    const failed = written.find(each => each.isErr())
    if (failed !== undefined) return failed
  }
  return ok(undefined)
}

/**
 * The outcome of `change` according to `head`. `pending`: its write may still take effect. `unknown`: the recent changes
 * no longer reach back to its revision.
 */
const outcomeIn = (head: Head | undefined, change: Change): ApplyOutcome | 'pending' | 'unknown' => {
  if (head === undefined || head.revision < change.revision) return 'pending'
  const committed = head.recent.find(each => each.revision === change.revision)
  if (committed === undefined) return 'unknown'
  return { kind: committed.applyId === change.applyId ? 'applied' : 'conflict', head }
}

const ambiguousOutcome = (change: Change): StoreError =>
  storeError('ambiguous', `change ${change.applyId} may have been accepted: see the history before applying again`)

/** Reads the head, with retries, to find out which change has the revision of `change`. */
const resolveOutcome = async (source: StoreSource, change: Change, random: Random): Promise<Result<ApplyOutcome | 'pending', StoreError>> => {
  for (let failures = 0; failures < maxWriteAttempts; failures++) {
    const found = await source.head()
    if (found.isOk()) {
      const outcome = outcomeIn(found.value, change)
      return outcome === 'unknown' ? err(ambiguousOutcome(change)) : ok(outcome)
    }
    await pause(backoff(failures, random))
  }
  return err(ambiguousOutcome(change))
}

const writeHead = async (source: StoreSource, base: VersionedHead | undefined, head: Head, change: Change, random: Random): Promise<Result<ApplyOutcome, StoreError>> => {
  let mayBeCommitted = false
  for (let failures = 0; failures < maxWriteAttempts; failures++) {
    const written = await source.store.put(headName, head, base?.version ?? 'absent')
    if (written.isOk()) return ok({ kind: 'applied', head })
    if (written.error.code === 'refused') return err(written.error)
    mayBeCommitted ||= written.error.code === 'ambiguous'
    // Also after a conflict: it may be due to an earlier attempt of this change that took effect.
    const resolved = await resolveOutcome(source, change, random)
    if (resolved.isErr()) return mayBeCommitted ? err(resolved.error) : err(written.error)
    if (resolved.value !== 'pending') return ok(resolved.value)
    await pause(backoff(failures, random))
  }
  return err(mayBeCommitted ? ambiguousOutcome(change) : storeError('unavailable', 'the head was not written'))
}

export const applyConfiguration = async (store: ObjectStore, request: ApplyRequest, random: Random): Promise<Result<ApplyOutcome, StoreError>> => {
  const source = new StoreSource(store)
  const current = await source.versionedHead()
  if (current.isErr()) return err(current.error)
  const base = current.value
  const shards = splitIntoShards(request.configuration)
  if (base !== undefined && base.head.revision !== request.base) return ok({ kind: 'conflict', head: base.head })
  if (base !== undefined && isUnchanged(base.head, shards)) return ok({ kind: 'unchanged', head: base.head })
  const known = new Set(base === undefined ? [] : [base.head.common, ...base.head.adapters])
  const written = await writeShards(store, shards, known, random)
  if (written.isErr()) return err(written.error)
  const change: Change = {
    revision: Revision.parse((base?.head.revision ?? 0) + 1),
    applyId: randomToken(),
    actor: request.actor,
    at: Date.now(),
    note: request.note
  }
  const head: Head = {
    revision: change.revision,
    recent: [change, ...(base?.head.recent ?? [])].slice(0, maxRecentChanges),
    common: shards.common,
    adapters: shards.adapters
  }
  return writeHead(source, base, head, change, random)
}
