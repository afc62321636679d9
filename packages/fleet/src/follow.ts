/**
 * Following the store: one task for each kind of fact.
 *
 * It lists once and then waits for changes. After each change it rests a moment, so that a burst of changes costs
 * one call and not one each; the store counts every call.
 */
import { backoff, pause, type Log } from '@finchpitch/core'
import { nowMs } from './clock.js'
import { removalStep, type Fact, type Facts } from './facts.js'
import type { FactSource, StoreFailure } from './ports.js'
import { Removals } from './removals.js'

/**
 * How long a watch waits where nothing changes. Servers change all the time, so their watch is the one that notices a
 * dead connection; the others are cut off and renewed as soon as it does.
 */
const watchMs: Record<Fact['kind'], number> = { table: 3000, server: 1500, version: 5000 }

const storeSpan = { firstMs: 100, limitMs: 800 }

/** The least rest between two calls: a fraction of the bound within which each kind must be in force. */
const leastRestMs: Record<Fact['kind'], number> = { table: 100, server: 700, version: 500 }
/** So many entries rest no longer than that; more share the work, since what one learns it passes on. */
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

/** What the tasks of one process tell each other of the store: a call that failed puts the other watches in doubt. */
export class Outage {
  #doubt = new AbortController()

  /** Aborts when another task's call failed. */
  get signal (): AbortSignal {
    return this.#doubt.signal
  }

  /** How often the store's history was found gone; who has listed since an earlier count lists again. */
  compactions = 0

  /** One task found the history gone. A watch that was renewed in between may hang on it and say nothing. */
  compacted (): void {
    this.compactions += 1
    this.noticed()
  }

  noticed (): void {
    this.#doubt.abort()
    this.#doubt = new AbortController()
  }
}

export interface Following {
  source: FactSource
  facts: Facts
  log: Log
  signal: AbortSignal
  outage: Outage
  /** How long to rest after a call. */
  restMs: (kind: Fact['kind']) => number
}

/** Runs until `signal` aborts. */
export const follow = async ({ source, facts, log, signal, outage, restMs }: Following): Promise<void> => {
  const { kind } = source
  let revision: number | undefined
  let failures = 0
  let compactions = outage.compactions
  /** Since when nothing was heard that should have been. */
  let lostAt = 0
  const removals = new Removals(missing => {
    log.info('store.entries_missing', { kind, keys: missing.map(fact => fact.key) })
    for (const fact of missing) facts.remove(fact, 'store')
  })
  const fail = (failure: StoreFailure, askedAt: number): void => {
    if (failures === 0) {
      log.warn('store.lost', { kind, code: failure.code, detail: failure.detail, revision })
      lostAt = Math.min(nowMs(), askedAt + watchMs[kind])
    }
    failures += 1
    if (failures === 1) outage.noticed()
  }
  while (!signal.aborted) {
    if (compactions !== outage.compactions) revision = undefined
    compactions = outage.compactions
    const doubt = AbortSignal.any([signal, outage.signal])
    const askedAt = nowMs()
    const page = revision === undefined ? await source.list() : await source.changes(revision, watchMs[kind], doubt)
    if (signal.aborted) return removals.stop()
    if (page.isErr()) {
      // A watch that was cut off here is simply asked again: it tells nothing of the store.
      if (doubt.aborted && revision !== undefined) continue
      if (page.error.code === 'compacted' || page.error.code === 'not_valid') {
        log.warn('store.read_again', { kind, code: page.error.code, detail: page.error.detail, revision })
        revision = undefined
      }
      if (page.error.code === 'compacted' && compactions === outage.compactions) {
        outage.compacted()
        compactions = outage.compactions
      }
      if (page.error.code !== 'compacted') fail(page.error, askedAt)
      await pause(backoff(failures - 1, Math.random, storeSpan), signal)
      continue
    }
    if (failures > 0) {
      log.info('store.regained', { kind, failures, awayMs: Math.round(nowMs() - lostAt) })
      if (kind === 'server') removals.returned(lostAt)
    }
    failures = 0
    const missing = revision === undefined ? missingFrom(facts, kind, page.value.facts) : []
    for (const fact of removals.sift([...missing, ...page.value.facts])) facts.offer(fact, 'store')
    revision = page.value.revision
    facts.completed(kind, revision)
    await pause(restMs(kind), signal)
  }
}

/** Removals of what was believed and isn't in a complete list. */
const missingFrom = (facts: Facts, kind: Fact['kind'], listed: Fact[]): Fact[] => {
  if (kind === 'table') return []
  const present = new Set(listed.map(fact => fact.key))
  return facts.all()
    .filter(fact => fact.kind === kind && fact.value !== undefined && !present.has(fact.key))
    .map(fact => ({ kind, key: fact.key, revision: fact.revision + removalStep, value: undefined }))
}
