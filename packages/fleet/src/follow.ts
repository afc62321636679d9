/**
 * Following the store: one task for each kind of fact.
 *
 * It lists once and then waits for changes. After each change it rests a moment, so that a burst of changes costs
 * one call and not one each; the store counts every call.
 */
import { pause, type Log } from '@finchpitch/core'
import { backoffMs } from './backoff.js'
import { removalStep, type Fact, type Facts } from './facts.js'
import type { FactSource, StoreFailure } from './ports.js'

/** A call that waits this long and longer is answered even where nothing changed, so silence means a dead link. */
const watchMs = 4000

/** The least time between two calls: a fraction of the bound within which each kind must be in force. */
const gatherMs: Record<Fact['kind'], number> = { table: 100, server: 700, version: 500 }

const backoff = { firstMs: 100, limitMs: 800 }

export interface Following {
  source: FactSource
  facts: Facts
  log: Log
  signal: AbortSignal
  /** Told each time the store is lost or regained. */
  reached?: (reachable: boolean) => void
}

/** Runs until `signal` aborts. */
export const follow = async ({ source, facts, log, signal, reached }: Following): Promise<void> => {
  const { kind } = source
  let revision: number | undefined
  let failures = 0
  const succeed = (): void => {
    if (failures > 0) log.info('store.regained', { kind, failures })
    failures = 0
    reached?.(true)
  }
  const fail = (failure: StoreFailure): void => {
    if (failures === 0) log.warn('store.lost', { kind, code: failure.code, detail: failure.detail, revision })
    failures += 1
    reached?.(false)
  }
  while (!signal.aborted) {
    const page = revision === undefined ? await source.list() : await source.changes(revision, watchMs, signal)
    if (signal.aborted) return
    if (page.isErr()) {
      if (page.error.code === 'compacted' || page.error.code === 'not_valid') {
        log.warn('store.read_again', { kind, code: page.error.code, detail: page.error.detail, revision })
        revision = undefined
      }
      if (page.error.code !== 'compacted') fail(page.error)
      await pause(backoffMs(failures, backoff), signal)
      continue
    }
    succeed()
    if (revision === undefined) removeMissing(facts, kind, page.value.facts)
    for (const fact of page.value.facts) facts.offer(fact, 'store')
    revision = page.value.revision
    facts.saw(revision)
    await pause(gatherMs[kind], signal)
  }
}

/** What was believed and isn't in a complete list has been removed. */
const removeMissing = (facts: Facts, kind: Fact['kind'], listed: Fact[]): void => {
  if (kind === 'table') return
  const present = new Set(listed.map(fact => fact.key))
  for (const fact of facts.all()) {
    if (fact.kind !== kind || fact.value === undefined || present.has(fact.key)) continue
    facts.offer({ kind, key: fact.key, revision: fact.revision + removalStep, value: undefined }, 'store')
  }
}
