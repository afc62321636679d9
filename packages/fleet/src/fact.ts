/**
 * A fact: one record of the store (the routing table, a backend server or a named version) with the revision at which it last
 * changed, and its conversion to and from the frame that carries it between processes.
 */
import type { FactFrame } from '@finchpitch/wire'
import { BackendServer, NamedVersion, refKey } from './server.js'
import { eraOf } from './store-revision.js'
import { RoutingTable } from './table.js'

export type Fact =
  | { kind: 'table', key: 'table', revision: number, value: RoutingTable }
  | { kind: 'server', key: string, revision: number, value: BackendServer | undefined, seenAt?: number, final?: boolean }
  | { kind: 'version', key: string, revision: number, value: NamedVersion | undefined, seenAt?: number }

/**
 * A removal gets the revision of the fact's last change plus this half step: newer than that change, older than any later one.
 * The store does not report the revision of the removal itself; `seenAt` is the store's revision at which the removal was
 * observed, and a process that has read everything up to there has it too.
 */
export const removalRevisionStep = 0.5

export const versionFact = (named: NamedVersion, revision: number): Fact =>
  ({ kind: 'version', key: refKey(named), revision, value: named })

/** Parses a fact from a peer's frame; `undefined` if its value is not valid. */
export const factOf = (frame: FactFrame): Fact | undefined => {
  const { kind, key, revision, seenAt, final } = frame
  if (frame.value === null) return kind === 'table' ? undefined : { kind, key, revision, value: undefined, seenAt, final } as Fact
  const parsed = schemas[kind].safeParse(frame.value)
  return parsed.success ? { kind, key, revision, value: parsed.data } as Fact : undefined
}

export const frameOf = (fact: Fact): FactFrame => {
  const { kind, key, revision, value } = fact
  const seenAt = seenAtOf(fact)
  return { type: 'fact', kind, key, revision, value: value ?? null, ...(seenAt === undefined ? {} : { seenAt }), ...(isFinal(fact) ? { final: true } : {}) }
}

const seenAtOf = (fact: Fact): number | undefined => 'seenAt' in fact ? fact.seenAt : undefined

/** Whether this is a final removal: the server is not kept as a fallback. */
export const isFinal = (fact: Fact): boolean => fact.kind === 'server' && fact.final === true

/**
 * Whether a fact replaces `known`. A restored store may hold an older version than the known one, which is kept until the store
 * holds at least the same version again.
 */
export const supersedes = (fact: Fact, known: Fact): boolean => {
  if (fact.revision <= known.revision) return false
  const [version, knownVersion] = [versionOf(fact), versionOf(known)]
  const isOlder = version !== undefined && knownVersion !== undefined && version < knownVersion
  return eraOf(fact.revision) === eraOf(known.revision) || !isOlder
}

/** The version number in a fact's value; `undefined` for servers and removals, which have none. */
const versionOf = ({ kind, value }: Fact): number | undefined => kind === 'server' ? undefined : value?.version

/** Whether a server that was removed before a restore is listed again after it. */
export const isRelisted = (fact: Fact, known: Fact): boolean =>
  fact.kind === 'server' && fact.value !== undefined && known.value === undefined && eraOf(fact.revision) !== eraOf(known.revision)

/** A process that has read everything up to this revision of the store has the fact. */
export const observedRevision = (fact: Fact): number => seenAtOf(fact) ?? fact.revision

const schemas = { table: RoutingTable, server: BackendServer, version: NamedVersion }
