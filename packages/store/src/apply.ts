/**
 * Applying a configuration: shards first, then one conditional update of the head. Only that update accepts it.
 *
 * A lost answer is settled by reading the head back: one's own change among the recent ones means accepted, also
 * when others have built on it since. Another change in its place means that somebody else came first, and the
 * operator decides again.
 */
import { Revision, backoff, pause, randomToken, type Configuration, type Random } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { split, type Change, type Head, type Shards } from './catalog.js'
import { StoreSource, headName, shardName, type VersionedHead } from './configuration-store.js'
import { storeFault, type ObjectStore, type StoreFault } from './object-store.js'

const triesOfWrite = 5
const writesAtOnce = 8
const recentChanges = 20

export interface ApplyRequest {
  configuration: Configuration
  /** The revision that the operator looked at; 0 for the first. */
  base: Revision
  actor: string
  note: string
}

export type ApplyOutcome =
  | { kind: 'applied', head: Head }
  /** Nothing to do: what is declared is in force. */
  | { kind: 'unchanged', head: Head }
  /** Another change came first; nothing was applied. */
  | { kind: 'conflict', head: Head }

const isSame = (head: Head, shards: Shards): boolean =>
  head.common === shards.common && JSON.stringify(head.adapters) === JSON.stringify(shards.adapters)

const writeShard = async (store: ObjectStore, hash: string, text: string, random: Random): Promise<Result<void, StoreFault>> => {
  for (let failures = 0; ; failures++) {
    const written = await store.put(shardName(hash), text, 'absent')
    // A shard's name is its content's hash: one that is there already is the same.
    if (written.isOk() || written.error.code === 'conflict') return ok(undefined)
    if (written.error.code === 'refused' || failures + 1 >= triesOfWrite) return err(written.error)
    await pause(backoff(failures, random))
  }
}

const writeShards = async (store: ObjectStore, shards: Shards, known: Set<string>, random: Random): Promise<Result<void, StoreFault>> => {
  const fresh = [...shards.texts].filter(([hash]) => !known.has(hash))
  for (let at = 0; at < fresh.length; at += writesAtOnce) {
    const part = fresh.slice(at, at + writesAtOnce)
    const written = await Promise.all(part.map(([hash, text]) => writeShard(store, hash, text, random)))
    const failed = written.find(each => each.isErr())
    if (failed !== undefined) return failed
  }
  return ok(undefined)
}

/** What `head` says of `change`; `open` while its write may still take effect. */
const judge = (head: Head | undefined, change: Change): ApplyOutcome | 'open' | 'forgotten' => {
  if (head === undefined || head.revision < change.revision) return 'open'
  const inPlace = head.recent.find(each => each.revision === change.revision)
  if (inPlace === undefined) return 'forgotten'
  return { kind: inPlace.applyId === change.applyId ? 'applied' : 'conflict', head }
}

const unsettled = (change: Change): StoreFault =>
  storeFault('ambiguous', `change ${change.applyId} may have been accepted: see the history before applying again`)

/** Reads until the store answers whose change is in place. */
const settle = async (source: StoreSource, change: Change, random: Random): Promise<Result<ApplyOutcome | 'open', StoreFault>> => {
  for (let failures = 0; failures < triesOfWrite; failures++) {
    const found = await source.head()
    if (found.isOk()) {
      const verdict = judge(found.value, change)
      return verdict === 'forgotten' ? err(unsettled(change)) : ok(verdict)
    }
    await pause(backoff(failures, random))
  }
  return err(unsettled(change))
}

const writeHead = async (source: StoreSource, base: VersionedHead | undefined, head: Head, change: Change, random: Random): Promise<Result<ApplyOutcome, StoreFault>> => {
  let mayHaveLanded = false
  for (let failures = 0; failures < triesOfWrite; failures++) {
    const written = await source.store.put(headName, head, base?.version ?? 'absent')
    if (written.isOk()) return ok({ kind: 'applied', head })
    if (written.error.code === 'refused') return err(written.error)
    mayHaveLanded ||= written.error.code === 'ambiguous'
    // After a conflict too: an earlier try may be the one that took effect.
    const settled = await settle(source, change, random)
    if (settled.isErr()) return mayHaveLanded ? err(settled.error) : err(written.error)
    if (settled.value !== 'open') return ok(settled.value)
    await pause(backoff(failures, random))
  }
  return err(mayHaveLanded ? unsettled(change) : storeFault('unavailable', 'the head was not written'))
}

export const apply = async (store: ObjectStore, request: ApplyRequest, random: Random): Promise<Result<ApplyOutcome, StoreFault>> => {
  const source = new StoreSource(store)
  const current = await source.versionedHead()
  if (current.isErr()) return err(current.error)
  const base = current.value
  const shards = split(request.configuration)
  if (base !== undefined && base.head.revision !== request.base) return ok({ kind: 'conflict', head: base.head })
  if (base !== undefined && isSame(base.head, shards)) return ok({ kind: 'unchanged', head: base.head })
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
    recent: [change, ...(base?.head.recent ?? [])].slice(0, recentChanges),
    common: shards.common,
    adapters: shards.adapters
  }
  return writeHead(source, base, head, change, random)
}
