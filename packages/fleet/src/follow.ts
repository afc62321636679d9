/**
 * Following the store: one task for each kind of fact.
 *
 * It lists once and then waits for changes. After each change it rests a moment, so that a burst of changes costs
 * one call and not one each; the store counts every call.
 */
import { backoff, pause, type Log } from '@finchpitch/core'
import { elapsedMs, nowMs } from './clock.js'
import { isFinal, removalStep, type Fact } from './fact.js'
import type { Facts } from './facts.js'
import type { Outage } from './outage.js'
import type { FactPage, FactSource, StoreFailure } from './ports.js'
import { Removals, returnMs } from './removals.js'
import { eraOf, revisionFields } from './store-revision.js'
import type { Turn } from './turn.js'

/**
 * How long a watch waits where nothing changes. Its source gives up 1 s later, so a connection that died is noticed within
 * 2.5 s: before a process whose connections were lost counts as in touch again (3 s), and in time for a named version, which
 * has to be learned within 3 s.
 */
const watchMs = 1500

/**
 * How long a call waits while it is in doubt whether the store answers; the least that it takes for a wait. A call that was
 * begun before the store's return is never answered, so it must not be long.
 */
const doubtMs = 1

const storeSpan = { firstMs: 100, limitMs: 800 }

/** The least rest between two calls: a fraction of the bound within which each kind must be in force. */
const leastRestMs: Record<Fact['kind'], number> = { table: 100, server: 700, version: 500 }
/** So many watching entries rest no longer than that; more share the work, since what one learns it passes on. */
const restingEntries = 6
/** The most, as a part of the time in which work may still go to a server that leaves. */
const drainShare = 0.6

export const gatherMs = (kind: Fact['kind'], entries: number, drainMs: number): number => {
  if (kind !== 'server') return leastRestMs[kind]
  return Math.min(drainMs * drainShare, leastRestMs.server * Math.max(1, entries / restingEntries))
}

/** What is left, for delays on the way, of the time in which work may still go to a server that leaves. */
const reserveShare = 0.85

/**
 * How long a server whose entry vanished stays in reserve: work may go there for `drainMs` from the store's word, of
 * which the watch may have rested `restMs`.
 */
export const reserveMs = (restMs: number, drainMs: number): number => Math.max(0, drainMs * reserveShare - restMs)

/** How long an entry may be missing from a restored store before it counts as removed. Operators repeat writes later than servers do. */
const rewriteGraceMs: Record<Fact['kind'], number> = { table: returnMs, server: returnMs, version: 10_000 }

export interface Following {
  source: FactSource
  facts: Facts
  log: Log
  signal: AbortSignal
  outage: Outage
  /** Whether this process watches the store now. */
  turn: Turn
  /** How long to rest after a call. */
  restMs: (kind: Fact['kind']) => number
}

/** Runs until `signal` aborts. */
export const follow = async (following: Following): Promise<void> => await new Follower(following).run()

/** The task of one kind: what it has read, and how the store answered it last. */
class Follower {
  readonly #kind: Fact['kind']
  readonly #removals: Removals
  /** Read completely up to here; `undefined` where everything has to be listed. */
  #revision: number | undefined
  #failures = 0
  /** Whether the store answers is in doubt since the last call. */
  #doubtful = false
  /** Since when nothing was heard that should have been. */
  #lostAt = 0
  #compactions: number
  /** The latest era for which removals have been held back. */
  #heldEra = 0

  constructor (private readonly options: Following) {
    this.#kind = options.source.kind
    this.#compactions = options.outage.compactions
    this.#removals = new Removals(missing => this.#remove(missing))
  }

  async run (): Promise<void> {
    const { signal } = this.options
    while (!signal.aborted) {
      if (!this.options.turn.on) await this.#rest()
      if (signal.aborted) break
      const restMs = await this.#step()
      if (restMs > 0) await pause(restMs, this.#failures > 0 ? this.#stopOrDoubt : signal)
    }
    this.#removals.stop()
  }

  /** Leaves the watching to others, and goes on from where they brought this process. */
  async #rest (): Promise<void> {
    const { turn, signal, facts, outage } = this.options
    outage.forget(this.#kind)
    await turn.begun(signal)
    const complete = facts.complete[this.#kind]
    this.#revision = complete > 0 ? Math.max(complete, this.#revision ?? 0) : undefined
    this.#failures = 0
  }

  get #stopOrDoubt (): AbortSignal {
    const { signal, outage } = this.options
    return AbortSignal.any([signal, outage.signal])
  }

  /** One call and what follows from it; gives how long to rest. */
  async #step (): Promise<number> {
    const { source, outage, signal, restMs } = this.options
    if (this.#compactions !== outage.compactions) this.#revision = undefined
    this.#compactions = outage.compactions
    const doubt = this.#stopOrDoubt
    const askedAt = nowMs()
    const provenAt = elapsedMs()
    const waitMs = this.#doubtful ? doubtMs : watchMs
    const watching = this.#revision !== undefined
    const page = this.#revision === undefined ? await source.list() : await source.changes(this.#revision, waitMs, doubt)
    if (signal.aborted) return 0
    this.#doubtful = page.isErr()
    if (page.isOk() && !this.#isOutdated(page.value)) {
      this.#answered(page.value)
      this.#proved(page.value, provenAt)
      return restMs(this.#kind)
    }
    if (doubt.aborted && watching) return this.#cutOff(askedAt)
    this.#failed(page.isErr() ? page.error : outdatedAnswer, askedAt + waitMs)
    return backoff(this.#failures - 1, Math.random, storeSpan)
  }

  /** A watch that was cut off here is asked again at once: it tells nothing of the store. */
  #cutOff (askedAt: number): number {
    this.options.log.info('store.asked_anew', { kind: this.#kind, afterMs: Math.round(nowMs() - askedAt), failures: this.#failures, ...this.#revisionFields })
    return 0
  }

  #answered ({ facts: listed, revision }: FactPage): void {
    const { facts, log } = this.options
    const kind = this.#kind
    if (this.#failures > 0) {
      log.info('store.regained', { kind, failures: this.#failures, awayMs: Math.round(nowMs() - this.#lostAt) })
      if (kind === 'server') this.#removals.returned(this.#lostAt)
    }
    this.#failures = 0
    this.options.outage.note(kind, true)
    this.#holdAfterRestore(revision)
    const missing = this.#revision === undefined ? missingFrom(facts, kind, listed) : []
    for (const fact of this.#removals.sift([...missing, ...listed])) this.#take(seenAt(fact, revision))
    this.#revision = revision
    // What is held back is not known here yet, and peers that were told so would never be told of it.
    if (!this.#removals.holding) facts.completed(kind, revision)
  }

  /** Whether an answer predates a restore that is already known, for example from a peer. */
  #isOutdated ({ revision }: FactPage): boolean {
    return eraOf(revision) < eraOf(this.options.facts.revision)
  }

  /** Holds removals back after a restore, since writes newer than the backup are missing until they are repeated. */
  #holdAfterRestore (revision: number): void {
    const era = eraOf(revision)
    const complete = this.options.facts.complete[this.#kind]
    if (complete === 0 || era <= eraOf(complete) || era <= this.#heldEra) return
    this.#heldEra = era
    this.#removals.hold(rewriteGraceMs[this.#kind])
  }

  #take (fact: Fact): void {
    const { facts } = this.options
    if (isFinal(fact)) facts.remove(fact, 'store')
    else facts.offer(fact, 'store')
  }

  /** A table that could not be read may have taken a key away. */
  #proved ({ revision, unread = 0 }: FactPage, provenAt: number): void {
    if (this.#kind === 'table' && unread === 0) this.options.facts.proveTable(provenAt, revision)
  }

  /** `dueAt`: when the answer should have come at the latest. */
  #failed (failure: StoreFailure, dueAt: number): void {
    const { code, detail } = failure
    const kind = this.#kind
    const historyGone = code === 'compacted' || code === 'restored'
    if (historyGone || code === 'not_valid') {
      this.options.log.warn('store.read_again', { kind, code, detail, ...this.#revisionFields })
      this.#revision = undefined
    }
    if (historyGone) this.#compacted()
    else this.#lost(failure, dueAt)
  }

  #compacted (): void {
    const { outage } = this.options
    if (this.#compactions === outage.compactions) outage.compacted()
    this.#compactions = outage.compactions
  }

  #lost ({ code, detail }: StoreFailure, dueAt: number): void {
    const { log, outage } = this.options
    const kind = this.#kind
    this.#failures += 1
    outage.note(kind, false)
    if (this.#failures > 1) return
    log.warn('store.lost', { kind, code, detail, ...this.#revisionFields })
    this.#lostAt = Math.min(nowMs(), dueAt)
    outage.noticed()
  }

  get #revisionFields (): { era?: number, revision?: number } {
    return this.#revision === undefined ? {} : revisionFields(this.#revision)
  }

  #remove (missing: Fact[]): void {
    const { facts, log } = this.options
    if (missing.length > 0) log.info('store.entries_missing', { kind: this.#kind, keys: missing.map(fact => fact.key) })
    const revision = this.#revision ?? facts.revision
    for (const fact of missing) facts.remove(seenAt(fact, revision), 'store')
    if (this.#revision !== undefined) facts.completed(this.#kind, this.#revision)
  }
}

const outdatedAnswer: StoreFailure = { code: 'restored', detail: 'answer predates a restore of the store' }

/** A removal with the store's revision at which it was seen. */
const seenAt = (fact: Fact, revision: number): Fact =>
  fact.kind === 'table' || fact.value !== undefined ? fact : { ...fact, seenAt: revision }

/** Removals of what was believed and isn't in a complete list. */
const missingFrom = (facts: Facts, kind: Fact['kind'], listed: Fact[]): Fact[] => {
  if (kind === 'table') return []
  const present = new Set(listed.map(fact => fact.key))
  // Held servers are not among the current facts; without them, an entry that lapsed while the history was gone would be accepted.
  return [...facts.all(), ...facts.returnedServers]
    .filter(fact => fact.kind === kind && fact.value !== undefined && !present.has(fact.key))
    .map(fact => ({ kind, key: fact.key, revision: fact.revision + removalStep, value: undefined }))
}
