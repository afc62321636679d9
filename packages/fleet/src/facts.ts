/**
 * Facts: what a process believes of the routing table, the backend servers and the named versions.
 *
 * Each fact carries the store's revision at which it was last changed. The higher revision wins, whether it came
 * from the store or from a peer, so a process that the store turns away is kept current by the others and no
 * belief ever goes back. Removals are remembered as tombstones for as long as an older copy may travel. After a
 * restore from a backup, the store may list facts that have since been replaced or removed; see `supersedes` and `ReturnedServers`.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Log } from '@finchpitch/core'
import type { Complete, StoreSight } from '@finchpitch/wire'
import { nowMs } from './clock.js'
import { isReturned, supersedes, type Fact } from './fact.js'
import { Freshness } from './freshness.js'
import type { ServerLife } from './leavers.js'
import { isFormer, type BackendServer, type NamedVersion } from './server.js'
import { ReturnedServers } from './returned-servers.js'
import { ServerList } from './server-list.js'
import { eraOf, revisionFields } from './store-revision.js'
import { RouteIndex, type RoutingTable } from './table.js'

export interface VersionBelief {
  version: number
  /** When this process learned of it, on its steady clock. */
  learnedAt: number
}

const kinds = ['table', 'server', 'version'] as const

/** Longer than any message between processes is under way. */
const tombstoneMs = 60_000

/** Time allowed after a restore for lost writes to be repeated. */
const rewriteGraceMs = 2000

type Listener = (fact: Fact) => void

export class Facts {
  readonly freshness = new Freshness()
  readonly #serverList: ServerList
  readonly #returned = new ReturnedServers()
  readonly #versions = new Map<string, VersionBelief>()
  readonly #current = new Map<string, Fact>()
  readonly #tombstones = new Map<string, number>()
  readonly #listeners = new Set<Listener>()
  readonly #readListeners = new Set<() => void>()
  readonly #complete: Complete = { table: 0, server: 0, version: 0 }
  #routes: RouteIndex | undefined
  #highest = 0
  #sight: StoreSight = 'resting'
  #confirmedAt = -Infinity

  /** `lapseMs`: how long a server whose entry vanished without notice is kept in reserve. */
  constructor (private readonly log: Log, lapseMs: () => number) {
    this.#serverList = new ServerList({
      log,
      lapseMs,
      revisionOf: id => this.revisionOf('server', id),
      serves: service => this.#routes === undefined || this.#routes.service(service) !== undefined
    })
  }

  get routes (): RouteIndex | undefined {
    return this.#routes
  }

  /** The highest revision seen of anything. */
  get revision (): number {
    return this.#highest
  }

  /** A revision of the store as a whole, read off an answer. */
  saw (revision: number): void {
    if (revision <= this.#highest) return
    const before = this.#highest
    this.#highest = revision
    if (eraOf(revision) > eraOf(before)) this.#handleNewEra(before)
  }

  /** Also called at startup for any era above 0, since a new process can't tell how long ago the store was restored. */
  #handleNewEra (before: number): void {
    if (before > 0) this.log.warn('store.restored', { ...revisionFields(this.#highest), before: revisionFields(before) })
    this.freshness.rejectProofsFor(rewriteGraceMs)
  }

  /** Records that a call begun at `at`, on the elapsed clock, read the store's newest state, at `revision`. */
  proveTable (at: number, revision: number): void {
    // A table from before a restore may be newer than the store's, so it can't be proven until it is written again.
    if (eraOf(this.revisionOf('table', 'table')) === eraOf(revision)) this.freshness.prove(at)
  }

  /** Up to which revision nothing is missing here, for each kind. */
  get complete (): Complete {
    return { ...this.#complete }
  }

  /** How this process sees the store; peers are told of a change at once. */
  get sight (): StoreSight {
    return this.#sight
  }

  setSight (sight: StoreSight): void {
    if (sight === this.#sight) return
    this.log.info('store.sight_changed', { sight, before: this.#sight, ...revisionFields(this.#highest) })
    this.#sight = sight
    for (const listener of this.#readListeners) listener()
  }

  /** When the list of servers was last known to be complete, on the steady clock; by the store's answer or a peer's word. */
  get confirmedAt (): number {
    return this.#confirmedAt
  }

  /** The store was read completely up to `revision`, for one kind. */
  completed (kind: Fact['kind'], revision: number): void {
    const before = this.read
    if (kind === 'server') this.#confirmedAt = nowMs()
    // Peers would never be sent a held server if the list were reported complete.
    if (kind !== 'server' || this.#returned.size === 0) this.#complete[kind] = Math.max(this.#complete[kind], revision)
    this.saw(revision)
    if (!before && this.read) for (const listener of this.#readListeners) listener()
  }

  /** Every kind has been read completely at least once, here or by a peer that told all. */
  get read (): boolean {
    return kinds.every(kind => this.#complete[kind] > 0)
  }

  /** A peer that sends all it learns at once has told how far it is. */
  caughtUp (complete: Complete): void {
    for (const kind of kinds) this.completed(kind, complete[kind])
  }

  get servers (): ReadonlyMap<string, BackendServer> {
    return this.#serverList.servers
  }

  serversOf (service: string): readonly BackendServer[] {
    return this.#serverList.serversOf(service)
  }

  /** Servers that may be sent new work. */
  openTo (service: string): readonly BackendServer[] {
    return this.#serverList.openTo(service)
  }

  /** Whether the server's entry vanished and the server is kept in reserve. */
  lapsed (id: string): boolean {
    return this.#serverList.lapsed(id)
  }

  /** Records that a server announced that it is leaving. */
  noteLeaving (life: ServerLife, from: string): void {
    const fact = this.current('server', life.id)
    if (this.#serverList.noteLeaving(life, from) && fact !== undefined) this.#tell(fact)
  }

  /** Drops servers whose entries have not come back, and accepts returned servers whose entries have not lapsed. */
  expire (): void {
    for (const { fact, from } of this.#returned.due()) this.#replaceFact(fact, from)
    this.#serverList.expire()
  }

  /** The newest version named for an adapter; `undefined` where none was. */
  version (key: string): VersionBelief | undefined {
    return this.#versions.get(key)
  }

  /** The revision at which a fact was last changed, as believed here. */
  revisionOf (kind: Fact['kind'], key: string): number {
    return this.current(kind, key)?.revision ?? 0
  }

  /** What is believed, as it was last told. */
  current (kind: Fact['kind'], key: string): Fact | undefined {
    return this.#current.get(`${kind} ${key}`)
  }

  get versions (): ReadonlyMap<string, VersionBelief> {
    return this.#versions
  }

  onChange (listener: Listener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Called once every kind has been read, and when the sight of the store changes. */
  onRead (listener: () => void): () => void {
    this.#readListeners.add(listener)
    return () => this.#readListeners.delete(listener)
  }

  all (): Fact[] {
    return [...this.#current.values()]
  }

  /** Removed servers that a restored store lists and that are still held back. */
  get returnedServers (): Fact[] {
    return this.#returned.all
  }

  /** Takes a fact over if it is newer than what is believed; says whether it was. */
  offer (fact: Fact, from: string): boolean {
    const known = this.current(fact.kind, fact.key)
    if (known !== undefined && fact.revision <= known.revision) return false
    this.saw(fact.revision)
    if (known !== undefined) {
      if (!supersedes(fact, known)) return this.#ignore(fact, known, from)
      if (isOfFormerLife(fact, known)) return false
      if (isReturned(fact, known) && this.#returned.hold(fact, from)) return this.#ignore(fact, known, from)
    }
    return this.#replaceFact(fact, from)
  }

  /** Logs a fact from a restored store that has since been replaced or removed. */
  #ignore (fact: Fact, known: Fact, from: string): false {
    this.log.info('belief.kept', { kind: fact.kind, key: fact.key, ...revisionFields(fact.revision), from, outcome: describe(known), listed: describe(fact) })
    return false
  }

  /** Returns whether the value changed. */
  #replaceFact (fact: Fact, from: string): boolean {
    const id = `${fact.kind} ${fact.key}`
    const known = this.#current.get(id)
    if (fact.kind === 'server') this.#returned.forget(fact.key)
    this.#current.set(id, fact)
    if (known !== undefined && isDeepStrictEqual(known.value, fact.value)) return false
    handlers[fact.kind](this, fact as never)
    this.#keepTombstone(id, fact)
    this.log.info('belief.changed', { kind: fact.kind, key: fact.key, ...revisionFields(fact.revision), from, outcome: describe(fact) })
    this.#tell(fact)
    return true
  }

  /** Takes over that something is gone for good, so that nothing of it stays in reserve. */
  remove (fact: Fact, from: string): void {
    if (!this.offer({ ...fact, final: true } as Fact, from)) return
    if (!this.#serverList.dropLapsed(fact.key, 'its entry did not come back with the store')) return
    this.#tell(fact)
  }

  /** An error of one listener ends neither the others' hearing nor the task that brought the fact, which would learn nothing any more. */
  #tell (fact: Fact): void {
    for (const listener of this.#listeners) {
      try {
        listener(fact)
      } catch (error) {
        this.log.error('belief.listener_failed', { kind: fact.kind, key: fact.key, ...revisionFields(fact.revision), detail: (error as Error).stack })
      }
    }
  }

  setTable (table: RoutingTable): void {
    this.#routes = new RouteIndex(table)
  }

  setServer (id: string, server: BackendServer | undefined): void {
    this.#serverList.set(id, server)
  }

  setVersion (key: string, named: NamedVersion | undefined): void {
    if (named === undefined) this.#versions.delete(key)
    else this.#versions.set(key, { version: named.version, learnedAt: nowMs() })
  }

  #keepTombstone (id: string, fact: Fact): void {
    const now = nowMs()
    if (fact.value === undefined) this.#tombstones.set(id, now)
    else this.#tombstones.delete(id)
    for (const [old, at] of this.#tombstones) {
      if (now - at < tombstoneMs) return
      this.#tombstones.delete(old)
      this.#current.delete(old)
    }
  }
}

const handlers = {
  table: (facts: Facts, fact: Extract<Fact, { kind: 'table' }>) => facts.setTable(fact.value),
  server: (facts: Facts, fact: Extract<Fact, { kind: 'server' }>) => facts.setServer(fact.key, fact.value),
  version: (facts: Facts, fact: Extract<Fact, { kind: 'version' }>) => facts.setVersion(fact.key, fact.value)
}

/** A write of the former life may take effect in the store after the server has started again. */
const isOfFormerLife = (fact: Fact, known: Fact): boolean =>
  fact.kind === 'server' && known.kind === 'server' && isFormer(fact.value?.bornAt, known.value?.bornAt)

const describe = (fact: Fact): string => {
  if (fact.value === undefined) return 'gone'
  if (fact.kind === 'table') return `version ${fact.value.version}`
  if (fact.kind === 'version') return `version ${fact.value.version}`
  return `${fact.value.service} at ${fact.value.address}${fact.value.leaving ? ', leaving' : ''}`
}
