/**
 * A process's local replica of the store: the routing table, the backend servers and the named versions.
 *
 * Each fact carries the store's revision at which it last changed. The higher revision wins, whether it came from the store or
 * from a peer, so a process that can't read the store is kept up to date by its peers, and no fact is ever replaced by an older
 * one. Removals are kept as tombstones for as long as an older copy may still be in transit. After a restore from a backup, the
 * store may list facts that have since been replaced or removed; see `supersedes` and `RelistedServers`.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Log } from '@finchpitch/core'
import type { CompleteRevisions, Listing, StoreSight } from '@finchpitch/wire'
import { nowMs } from './clock.js'
import { isRelisted, observedRevision, supersedes, type Fact } from './fact.js'
import { reregistrationMs, rewriteGraceByKindMs } from './deferred-removals.js'
import { Freshness } from './freshness.js'
import type { ServerIncarnation } from './draining-servers.js'
import { isEarlierIncarnation, type BackendServer, type NamedVersion } from './server.js'
import { RelistedServers } from './relisted-servers.js'
import { ServerList } from './server-list.js'
import { missingFrom } from './listing.js'
import { ServerUses } from './server-uses.js'
import { eraOf, revisionFields } from './store-revision.js'
import { RouteIndex, type RoutingTable } from './table.js'

export interface KnownVersion {
  version: number
  /** When this process learned of it, on its monotonic clock. */
  learnedAt: number
}

const kinds = ['table', 'server', 'version'] as const

/** Longer than any message between processes can be in transit. */
const tombstoneMs = 60_000

/** Time allowed after a restore for lost writes to be repeated. */
const rewriteGraceMs = 2000

type Listener = (fact: Fact) => void

export class Facts {
  readonly freshness = new Freshness()
  readonly #serverList: ServerList
  readonly #relisted = new RelistedServers()
  readonly #serverUses: ServerUses
  readonly #versions = new Map<string, KnownVersion>()
  readonly #current = new Map<string, Fact>()
  readonly #tombstones = new Map<string, number>()
  readonly #listeners = new Set<Listener>()
  readonly #settledListeners = new Set<(kinds: ReadonlySet<Fact['kind']>) => void>()
  readonly #statusListeners = new Set<() => void>()
  /** Kinds of the facts that have changed in the current batch; `undefined` outside of a batch. */
  #batchKinds: Set<Fact['kind']> | undefined
  /** Number of changes in the listing that is being applied; `undefined` if each change is logged by itself. */
  #listedChanges: number | undefined
  readonly #complete: CompleteRevisions = { table: 0, server: 0, version: 0 }
  /** For each kind, the revision from which on this replica knows all removals. */
  readonly #removalsFrom: CompleteRevisions = { table: 0, server: 0, version: 0 }
  readonly #deferredListings = new Map<Fact['kind'], Listing>()
  readonly #listingListeners = new Set<() => void>()
  #listingDue = false
  #routes: RouteIndex | undefined
  #highestRevision = 0
  #storeStatus: StoreSight = 'resting'
  /** When the store status last ceased to be `blind`, on the monotonic clock. */
  #blindUntil = -Infinity
  #serversConfirmedAt = -Infinity

  /** `fallbackMs`: how long a server whose record vanished without notice is kept as a fallback. */
  constructor (private readonly log: Log, fallbackMs: () => number) {
    this.#serverUses = new ServerUses(log)
    this.#serverList = new ServerList({
      log,
      fallbackMs,
      revisionOf: id => this.revisionOf('server', id),
      serves: service => this.#routes === undefined || this.#routes.service(service) !== undefined
    })
  }

  get routes (): RouteIndex | undefined {
    return this.#routes
  }

  /** The highest revision observed, of any fact or of the store as a whole. */
  get revision (): number {
    return this.#highestRevision
  }

  /** Records a revision of the store as a whole, taken from an answer or a peer's frame. */
  observeRevision (revision: number): void {
    if (revision <= this.#highestRevision) return
    const before = this.#highestRevision
    this.#highestRevision = revision
    if (eraOf(revision) > eraOf(before)) this.#handleRestore(before)
  }

  /**
   * Starts the grace period for repeated writes. Also called at startup for any era above 0, since a new process can't tell how
   * long ago the store was restored.
   */
  #handleRestore (before: number): void {
    if (before > 0) this.log.warn('store.restored', { ...revisionFields(this.#highestRevision), before: revisionFields(before) })
    this.freshness.rejectProofsFor(rewriteGraceMs)
  }

  /** Records that a call begun at `at`, on the boot-time clock, read the store's newest state, at `revision`. */
  proveTable (at: number, revision: number): void {
    // A table from before a restore may be newer than the store's, so it can't be proven until it is written again.
    if (eraOf(this.revisionOf('table', 'table')) === eraOf(revision)) this.freshness.prove(at)
  }

  /** For each kind, the revision up to which this replica is complete. */
  get complete (): CompleteRevisions {
    return { ...this.#complete }
  }

  /** This process's store status: it reads the store, gets no answer, or leaves it to others. Peers are notified at once of changes. */
  get sight (): StoreSight {
    return this.#storeStatus
  }

  setSight (status: StoreSight): void {
    if (status === this.#storeStatus) return
    this.log.info('store.sight_changed', { sight: status, before: this.#storeStatus, ...revisionFields(this.#highestRevision) })
    if (this.#storeStatus === 'blind') this.#blindUntil = nowMs()
    this.#storeStatus = status
    for (const listener of this.#statusListeners) listener()
  }

  /** When the list of servers was last confirmed to be complete, by the store or by a peer, on the monotonic clock. */
  get serversConfirmedAt (): number {
    return this.#serversConfirmedAt
  }

  /**
   * Records that all facts of a kind up to `revision` have been received. `listedAt`: the revision of the list that was read, if the
   * removals before it may be unknown.
   */
  markComplete (kind: Fact['kind'], revision: number, listedAt = 0): void {
    const before = this.hasSynced
    if (listedAt > this.#complete[kind]) this.#loseRemovals(kind, listedAt)
    if (kind === 'server' && revision > 0 && revision >= this.#complete.server) this.#serversConfirmedAt = nowMs()
    // If the list were reported complete, peers would never be sent a relisted server that is held back here.
    if (kind !== 'server' || this.#relisted.size === 0) this.#complete[kind] = Math.max(this.#complete[kind], revision)
    this.observeRevision(revision)
    this.#notifyListing()
    if (!before && this.hasSynced) for (const listener of this.#statusListeners) listener()
  }

  /** Whether every kind has been received completely at least once, from the store or from a peer. */
  get hasSynced (): boolean {
    return kinds.every(kind => this.#complete[kind] > 0)
  }

  /** Adopts the complete revisions of a peer that forwards everything it learns without delay, so that this replica has the same facts. */
  markAllComplete (complete: CompleteRevisions): void {
    // With removals still deferred, this replica would pass on servers that are gone as part of a complete list.
    for (const kind of kinds) if (!this.#deferredListings.has(kind)) this.markComplete(kind, complete[kind])
  }

  /**
   * What a peer that is complete up to these revisions has to know before it may take over this replica's: a listing of each kind of
   * which this replica lacks removals since.
   */
  listingsFor (complete: CompleteRevisions): Listing[] {
    return kinds.filter(kind => kind !== 'table' && complete[kind] < this.#removalsFrom[kind])
      .map(kind => ({ kind, revision: this.#complete[kind], keys: this.all().filter(fact => fact.kind === kind && fact.value !== undefined).map(fact => fact.key) }))
  }

  /** Removes what a peer's listing lacks, unless this replica has read as much itself. */
  applyListing (listing: Listing, from: string): void {
    const { kind, revision } = listing
    if (revision <= Math.max(this.#complete[kind], this.#removalsFrom[kind])) return
    const deferMs = this.#listingDeferralMs(listing)
    this.#loseRemovals(kind, revision)
    if (deferMs > 0) this.#deferListing(listing, from, deferMs)
    else this.#removeMissing(listing, from)
  }

  /** Applies the listing after `ms`, unless a later one has come by then. */
  #deferListing (listing: Listing, from: string, ms: number): void {
    const { kind } = listing
    this.#deferredListings.set(kind, listing)
    setTimeout(() => {
      if (this.#deferredListings.get(kind) !== listing) return
      this.#deferredListings.delete(kind)
      this.#removeMissing(listing, from)
    }, ms)
  }

  /** What a list lacks after an outage or a restore may still be written again; the peer may have started too late to know of it. */
  #listingDeferralMs ({ kind, revision }: Listing): number {
    if (eraOf(revision) !== eraOf(this.#complete[kind]) && this.#complete[kind] > 0) return rewriteGraceByKindMs[kind]
    const sinceOutageMs = this.#storeStatus === 'blind' ? 0 : nowMs() - this.#blindUntil
    return Math.max(0, reregistrationMs - sinceOutageMs)
  }

  #removeMissing (listing: Listing, from: string): void {
    const { kind, revision } = listing
    // Dependents may have adopted the listing's revision, and have to be sent the removals nevertheless.
    const missing = missingFrom(this, listing).map(fact => ({ ...fact, seenAt: this.#highestRevision }) as Fact)
    if (missing.length > 0) this.log.info('belief.not_listed', { kind, keys: missing.map(fact => fact.key), ...revisionFields(revision), from, complete: this.#complete[kind] })
    this.batch(() => { for (const fact of missing) this.offer(fact, from) })
  }

  /** Calls the listener when peers may need a listing, as this replica does not know all removals, until the returned function is called. */
  onListing (listener: () => void): () => void {
    this.#listingListeners.add(listener)
    return () => this.#listingListeners.delete(listener)
  }

  /** Records that removals up to `revision` may be unknown. */
  #loseRemovals (kind: Fact['kind'], revision: number): void {
    if (revision <= this.#removalsFrom[kind]) return
    this.#removalsFrom[kind] = revision
    this.#listingDue = true
  }

  #notifyListing (): void {
    if (!this.#listingDue) return
    this.#listingDue = false
    for (const listener of this.#listingListeners) listener()
  }

  get servers (): ReadonlyMap<string, BackendServer> {
    return this.#serverList.servers
  }

  serversOf (service: string): readonly BackendServer[] {
    return this.#serverList.serversOf(service)
  }

  /** Servers that may be sent new requests; see `ServerList`. */
  eligibleServers (service: string): readonly BackendServer[] {
    return this.#serverList.eligibleServers(service)
  }

  /** Whether the server's record vanished and the server is kept as a fallback. */
  isFallback (id: string): boolean {
    return this.#serverList.isFallback(id)
  }

  /** Records that a request was sent to the server. */
  recordUse (id: string): void {
    this.#serverUses.record(id, this.isFallback(id), this.#complete.server)
  }

  /** Records that a server announced that it is draining. */
  markDraining (incarnation: ServerIncarnation, from: string): void {
    const fact = this.current('server', incarnation.id)
    if (this.#serverList.markDraining(incarnation, from) && fact !== undefined) this.#notify(fact)
  }

  /** Drops fallback servers whose records have not come back, and accepts relisted servers whose records have not expired. */
  expire (): void {
    for (const { fact, from } of this.#relisted.due()) this.#replaceFact(fact, from)
    this.#serverList.expire()
  }

  /** The newest version named for an adapter or a base model; `undefined` if none was. */
  version (key: string): KnownVersion | undefined {
    return this.#versions.get(key)
  }

  /** The revision at which a fact last changed, as known here; 0 if it is unknown. */
  revisionOf (kind: Fact['kind'], key: string): number {
    return this.current(kind, key)?.revision ?? 0
  }

  /** The current fact, which may be a removal. */
  current (kind: Fact['kind'], key: string): Fact | undefined {
    return this.#current.get(`${kind} ${key}`)
  }

  get versions (): ReadonlyMap<string, KnownVersion> {
    return this.#versions
  }

  /** Calls the listener whenever a fact's value changes, until the returned function is called. */
  onChange (listener: Listener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Calls the listener after each change, or once after a batch of them, with the kinds that have changed. */
  onSettled (listener: (kinds: ReadonlySet<Fact['kind']>) => void): () => void {
    this.#settledListeners.add(listener)
    return () => this.#settledListeners.delete(listener)
  }

  /** Whether a batch of changes is being applied, so that what follows from them can wait for its end. */
  get inBatch (): boolean {
    return this.#batchKinds !== undefined
  }

  /** Applies several changes, after which listeners of `onSettled` are called once. */
  batch (apply: () => void): void {
    if (this.#batchKinds !== undefined) return apply()
    const changed = new Set<Fact['kind']>()
    this.#batchKinds = changed
    try {
      apply()
    } finally {
      this.#batchKinds = undefined
      if (changed.size > 0) this.#notifySettled(changed)
    }
  }

  /**
   * Applies the first listing of a kind as a batch. Its changes are logged as one line: after a power loss, all processes learn all
   * servers at once, while callers wait for them.
   */
  applyFirstListing (kind: Fact['kind'], revision: number, from: string, apply: () => void): void {
    this.#listedChanges = 0
    try {
      this.batch(apply)
    } finally {
      const count = this.#listedChanges
      this.#listedChanges = undefined
      if (count > 0) this.log.info('belief.listed', { kind, count, ...revisionFields(revision), from })
    }
  }

  /** Calls the listener once every kind has been received, and whenever the store status changes. */
  onStatusChange (listener: () => void): () => void {
    this.#statusListeners.add(listener)
    return () => this.#statusListeners.delete(listener)
  }

  all (): Fact[] {
    return [...this.#current.values()]
  }

  /** Removed servers that a restored store lists again and that are still held back. */
  get relistedServers (): Fact[] {
    return this.#relisted.all
  }

  /**
   * Applies a fact if it is newer than the known one. `asOf`: a revision at which it was in the store, if that is later than its own.
   * Returns whether the value changed.
   */
  offer (fact: Fact, from: string, asOf = fact.revision): boolean {
    const known = this.current(fact.kind, fact.key)
    if (known === undefined && this.#wasRemoved(fact, asOf)) return this.#ignoreRemoved(fact, from)
    if (known !== undefined && fact.revision <= known.revision) return false
    this.observeRevision(fact.revision)
    if (known !== undefined) {
      if (!supersedes(fact, known)) return this.#ignore(fact, known, from)
      if (isFromEarlierIncarnation(fact, known)) return false
      if (isRelisted(fact, known) && this.#relisted.hold(fact, from)) return this.#ignore(fact, known, from)
    }
    return this.#replaceFact(fact, from)
  }

  /** Whether this replica is complete beyond `asOf`, so that a fact which it lacks must have been removed. */
  #wasRemoved ({ kind, revision, value }: Fact, asOf: number): boolean {
    const complete = Math.max(this.#complete[kind], this.#removalsFrom[kind])
    // Operators name a version again only some time after a restore; until then, only peers know it.
    if (kind === 'version' && eraOf(revision) !== eraOf(complete)) return false
    return value !== undefined && Math.max(revision, asOf) < complete
  }

  #ignoreRemoved (fact: Fact, from: string): false {
    this.log.info('belief.outdated', { kind: fact.kind, key: fact.key, ...revisionFields(fact.revision), from, complete: this.#complete[fact.kind] })
    return false
  }

  /** Logs that a fact from a restored store was ignored, as it has since been replaced or removed. */
  #ignore (fact: Fact, known: Fact, from: string): false {
    this.log.info('belief.kept', { kind: fact.kind, key: fact.key, ...revisionFields(fact.revision), from, outcome: describe(known), listed: describe(fact) })
    return false
  }

  /** Stores a fact and notifies listeners. Returns whether the value changed. */
  #replaceFact (fact: Fact, from: string): boolean {
    const id = `${fact.kind} ${fact.key}`
    const known = this.#current.get(id)
    if (fact.kind === 'server') this.#relisted.forget(fact.key)
    this.#current.set(id, fact)
    if (fact.kind === 'server') this.#serverUses.recordFact(fact, from, this.#complete.server)
    if (known !== undefined && isDeepStrictEqual(known.value, fact.value)) return false
    handlers[fact.kind](this, fact as never)
    this.#keepTombstone(id, fact)
    if (this.#listedChanges === undefined) this.log.info('belief.changed', { kind: fact.kind, key: fact.key, ...revisionFields(fact.revision), from, complete: this.#complete[fact.kind], outcome: describe(fact) })
    else this.#listedChanges += 1
    this.#notify(fact)
    return true
  }

  /** Applies a final removal: the server is not kept as a fallback. */
  remove (fact: Fact, from: string): void {
    if (!this.offer({ ...fact, final: true } as Fact, from)) return
    if (!this.#serverList.dropFallback(fact.key, 'its entry did not come back with the store')) return
    this.#notify(fact)
  }

  /**
   * Notifies all listeners. An error in one must not keep the fact from the others, nor end the task that received it: a store watch
   * that ended would never learn of another change.
   */
  #notify (fact: Fact): void {
    for (const listener of this.#listeners) {
      try {
        listener(fact)
      } catch (error) {
        this.log.error('belief.listener_failed', { kind: fact.kind, key: fact.key, ...revisionFields(fact.revision), detail: (error as Error).stack })
      }
    }
    if (this.#batchKinds === undefined) this.#notifySettled(new Set([fact.kind]))
    else this.#batchKinds.add(fact.kind)
  }

  #notifySettled (kinds: ReadonlySet<Fact['kind']>): void {
    for (const listener of this.#settledListeners) {
      try {
        listener(kinds)
      } catch (error) {
        this.log.error('belief.listener_failed', { kinds: [...kinds], ...revisionFields(this.#highestRevision), detail: (error as Error).stack })
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
      const removed = this.#current.get(old)
      if (removed?.kind === 'server') this.#serverUses.forget(removed.key)
      if (removed !== undefined) this.#loseRemovals(removed.kind, observedRevision(removed))
      this.#current.delete(old)
    }
  }
}

const handlers = {
  table: (facts: Facts, fact: Extract<Fact, { kind: 'table' }>) => facts.setTable(fact.value),
  server: (facts: Facts, fact: Extract<Fact, { kind: 'server' }>) => facts.setServer(fact.key, fact.value),
  version: (facts: Facts, fact: Extract<Fact, { kind: 'version' }>) => facts.setVersion(fact.key, fact.value)
}

/**
 * Whether a fact comes from an earlier incarnation of its server. A write made before a restart may reach the store after the
 * server has registered again.
 */
const isFromEarlierIncarnation = (fact: Fact, known: Fact): boolean =>
  fact.kind === 'server' && known.kind === 'server' && isEarlierIncarnation(fact.value?.bornAt, known.value?.bornAt)

const describe = (fact: Fact): string => {
  if (fact.value === undefined) return 'gone'
  if (fact.kind === 'table') return `version ${fact.value.version}`
  if (fact.kind === 'version') return `version ${fact.value.version}`
  return `${fact.value.service} at ${fact.value.address}${fact.value.leaving ? ', leaving' : ''}`
}
