/**
 * Watches the store, with one task for each kind of fact.
 *
 * A task lists all facts once and then watches for changes with long polling. It pauses after each answer, so that a burst of
 * changes costs one call rather than one each; the store meters every call.
 */
import { backoff, pause, type Log } from '@finchpitch/core'
import { boottimeMs, nowMs } from './clock.js'
import { isFinal, type Fact } from './fact.js'
import type { Facts } from './facts.js'
import type { StoreHealth } from './store-health.js'
import type { FactPage, FactSource, StoreFailure } from './ports.js'
import { missingFrom } from './listing.js'
import { DeferredRemovals, rewriteGraceByKindMs } from './deferred-removals.js'
import { eraOf, revisionFields } from './store-revision.js'
import type { DutySwitch } from './duty-switch.js'

/**
 * How long a watch call waits if nothing changes. The source times out 1 s later, so a dead connection is detected within 2.5 s:
 * before a process that lost its connections counts as connected again (3 s), and early enough for a named version, which must
 * be learned within 3 s.
 */
const watchMs = 1500

/**
 * How long a watch call waits after a failed call: the shortest wait that the store accepts. A call that began before the store
 * recovered is never answered, so a long wait would delay the detection of the recovery.
 */
const recheckWaitMs = 1

const retryBackoff = { firstMs: 100, limitMs: 800 }

/** The minimum pause between two calls: a fraction of the time within which a change of each kind must take effect. */
const minPauseMs: Record<Fact['kind'], number> = { table: 100, server: 700, version: 500 }
/** Up to this many watching entries use the minimum pause. More entries pause longer, since each forwards what it learns. */
const minPauseEntries = 6
/** The maximum pause, as a fraction of the time during which a draining server may still be sent requests. */
const maxPauseShare = 0.6

/** The longest pause of any entry that watches the store, however many there are. */
export const maxWatchPauseMs = (drainMs: number): number => drainMs * maxPauseShare

/** How long to pause after a call, if `entries` entries watch the store. */
export const watchPauseMs = (kind: Fact['kind'], entries: number, drainMs: number): number => {
  if (kind !== 'server') return minPauseMs[kind]
  return Math.min(maxWatchPauseMs(drainMs), minPauseMs.server * Math.max(1, entries / minPauseEntries))
}

/** The usable fraction of the time during which a draining server may still be sent requests; the remainder covers transit delays. */
const usableDrainShare = 0.85

/**
 * How long a server whose record vanished is kept as a fallback. It may be sent requests for `drainMs` after the store removed the
 * record, of which the watch may already have spent `pauseMs` pausing.
 */
export const fallbackRetentionMs = (pauseMs: number, drainMs: number): number => Math.max(0, drainMs * usableDrainShare - pauseMs)

export interface FactWatchOptions {
  source: FactSource
  facts: Facts
  log: Log
  signal: AbortSignal
  outage: StoreHealth
  /** Whether it is currently this process's task to watch the store. */
  duty: DutySwitch
  /** How long to pause after a call. */
  pauseMs: (kind: Fact['kind']) => number
}

/** Watches one kind of fact until `signal` aborts. */
export const watchFacts = async (options: FactWatchOptions): Promise<void> => await new WatchTask(options).run()

/** The task for one kind of fact: what it has read so far, and whether the last call succeeded. */
class WatchTask {
  readonly #kind: Fact['kind']
  readonly #removals: DeferredRemovals
  /** The revision up to which everything was read; `undefined` if everything has to be listed. */
  #revision: number | undefined
  /** The revision of the last list, from which on removals were read as such. */
  #listedAt = 0
  #failures = 0
  /** Whether the last call failed, so that the next one should return quickly. */
  #lastCallFailed = false
  /** When the first answer of the current outage was due. */
  #outageBeganAt = 0
  #historyLosses: number
  /** The latest era after whose start removals were deferred. */
  #deferredEra = 0

  constructor (private readonly options: FactWatchOptions) {
    this.#kind = options.source.kind
    this.#historyLosses = options.outage.historyLosses
    this.#removals = new DeferredRemovals(missing => this.#applyRemovals(missing))
  }

  async run (): Promise<void> {
    const { signal } = this.options
    while (!signal.aborted) {
      if (!this.options.duty.on) await this.#waitForDuty()
      if (signal.aborted) break
      const pauseMs = await this.#step()
      if (pauseMs > 0) await pause(pauseMs, this.#failures > 0 ? this.#stopOrRecheck : signal)
    }
    this.#removals.stop()
  }

  /** Pauses while other processes watch the store, then resumes from the revision that their updates reached. */
  async #waitForDuty (): Promise<void> {
    const { duty, signal, facts, outage: storeHealth } = this.options
    storeHealth.forget(this.#kind)
    await duty.whenActive(signal)
    const complete = facts.complete[this.#kind]
    this.#revision = complete > 0 ? Math.max(complete, this.#revision ?? 0) : undefined
    this.#failures = 0
  }

  get #stopOrRecheck (): AbortSignal {
    const { signal, outage: storeHealth } = this.options
    return AbortSignal.any([signal, storeHealth.recheckSignal])
  }

  /** Makes one call and handles the result. Returns how long to pause. */
  async #step (): Promise<number> {
    const { source, outage: storeHealth, signal, pauseMs } = this.options
    if (this.#historyLosses !== storeHealth.historyLosses) this.#revision = undefined
    this.#historyLosses = storeHealth.historyLosses
    const callSignal = this.#stopOrRecheck
    const askedAt = nowMs()
    const provenAt = boottimeMs()
    const waitMs = this.#lastCallFailed ? recheckWaitMs : watchMs
    const watching = this.#revision !== undefined
    const page = this.#revision === undefined ? await source.list() : await source.changes(this.#revision, waitMs, callSignal)
    if (signal.aborted) return 0
    this.#lastCallFailed = page.isErr()
    if (page.isOk() && !this.#isOutdated(page.value)) {
      this.#handlePage(page.value)
      this.#proveTable(page.value, provenAt)
      return pauseMs(this.#kind)
    }
    if (callSignal.aborted && watching) return this.#handleAborted(askedAt)
    this.#handleFailure(page.isErr() ? page.error : outdatedPageFailure, askedAt + waitMs)
    return backoff(this.#failures - 1, Math.random, retryBackoff)
  }

  /** A watch that this process aborted is repeated immediately, since its failure says nothing about the store. */
  #handleAborted (askedAt: number): number {
    this.options.log.info('store.asked_anew', { kind: this.#kind, afterMs: Math.round(nowMs() - askedAt), failures: this.#failures, ...this.#revisionFields })
    return 0
  }

  #handlePage ({ facts: listed, revision }: FactPage): void {
    const { facts, log } = this.options
    const kind = this.#kind
    if (this.#failures > 0) {
      log.info('store.regained', { kind, failures: this.#failures, awayMs: Math.round(nowMs() - this.#outageBeganAt) })
      if (kind === 'server') this.#removals.storeRecovered(this.#outageBeganAt)
    }
    this.#failures = 0
    this.options.outage.note(kind, true)
    this.#deferAfterRestore(revision)
    if (this.#revision === undefined) this.#listedAt = revision
    const missing = this.#revision === undefined ? missingFrom(facts, { kind, revision, keys: listed.map(fact => fact.key) }) : []
    const apply = (): void => { for (const fact of this.#removals.filter([...missing, ...listed])) this.#apply(withSeenAt(fact, revision), revision) }
    // The table is a single fact, whose line names its version.
    if (kind !== 'table' && facts.complete[kind] === 0) facts.applyFirstListing(kind, revision, 'store', apply)
    else facts.batch(apply)
    this.#revision = revision
    // Deferred removals are not applied yet. If this process reported itself complete, peers would never send them to it.
    if (!this.#removals.active) facts.markComplete(kind, revision, this.#listedAt)
  }

  /** Whether an answer predates a restore that this process already knows of, for example from a peer. */
  #isOutdated ({ revision }: FactPage): boolean {
    return eraOf(revision) < eraOf(this.options.facts.revision)
  }

  /** Defers removals after a restore, since writes newer than the backup are missing until they are repeated. */
  #deferAfterRestore (revision: number): void {
    const era = eraOf(revision)
    const complete = this.options.facts.complete[this.#kind]
    if (complete === 0 || era <= eraOf(complete) || era <= this.#deferredEra) return
    this.#deferredEra = era
    this.#removals.defer(rewriteGraceByKindMs[this.#kind])
  }

  #apply (fact: Fact, asOf: number): void {
    const { facts } = this.options
    if (isFinal(fact)) facts.remove(fact, 'store')
    else facts.offer(fact, 'store', asOf)
  }

  /** Proves the table current, unless a table could not be read: it may have revoked a key. */
  #proveTable ({ revision, unread = 0 }: FactPage, provenAt: number): void {
    if (this.#kind === 'table' && unread === 0) this.options.facts.proveTable(provenAt, revision)
  }

  /** `dueAt`: when the answer was due at the latest. */
  #handleFailure (failure: StoreFailure, dueAt: number): void {
    const { code, detail } = failure
    const kind = this.#kind
    const historyGone = code === 'compacted' || code === 'restored'
    if (historyGone || code === 'not_valid') {
      this.options.log.warn('store.read_again', { kind, code, detail, ...this.#revisionFields })
      this.#revision = undefined
    }
    if (historyGone) this.#handleHistoryLoss()
    else this.#handleOutage(failure, dueAt)
  }

  #handleHistoryLoss (): void {
    const { outage: storeHealth } = this.options
    if (this.#historyLosses === storeHealth.historyLosses) storeHealth.noteHistoryLoss()
    this.#historyLosses = storeHealth.historyLosses
  }

  #handleOutage ({ code, detail }: StoreFailure, dueAt: number): void {
    const { log, outage: storeHealth } = this.options
    const kind = this.#kind
    this.#failures += 1
    storeHealth.note(kind, false)
    if (this.#failures > 1) return
    log.warn('store.lost', { kind, code, detail, ...this.#revisionFields })
    this.#outageBeganAt = Math.min(nowMs(), dueAt)
    storeHealth.recheck()
  }

  get #revisionFields (): { era?: number, revision?: number } {
    return this.#revision === undefined ? {} : revisionFields(this.#revision)
  }

  #applyRemovals (missing: Fact[]): void {
    const { facts, log } = this.options
    if (missing.length > 0) log.info('store.entries_missing', { kind: this.#kind, keys: missing.map(fact => fact.key) })
    const revision = this.#revision ?? facts.revision
    for (const fact of missing) facts.remove(withSeenAt(fact, revision), 'store')
    if (this.#revision !== undefined) facts.markComplete(this.#kind, this.#revision, this.#listedAt)
  }
}

const outdatedPageFailure: StoreFailure = { code: 'restored', detail: 'the answer predates a restore of the store' }

/** Adds to a removal the store's revision at which it was observed. */
const withSeenAt = (fact: Fact, revision: number): Fact =>
  fact.kind === 'table' || fact.value !== undefined ? fact : { ...fact, seenAt: revision }
