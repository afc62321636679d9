/**
 * Following the configuration: one task for each process that watches the store.
 *
 * Only the head is watched. An event is a hint to read again: repeats, gaps and events out of order then cost a
 * read and nothing else. The head is also read every few seconds, so that a watch which died unnoticed delays a
 * change by that and no more.
 */
import { backoff, deadlineIn, pause, type Log, type Random } from '@finchpitch/core'
import type { Catalog } from './catalog.js'
import { StoreSource, catchUp, headName } from './configuration-store.js'
import type { ObjectStore } from './object-store.js'

/** With the few watching processes of a failure domain this is a handful of reads a second. */
const rereadMs = 3000

export interface Following {
  store: ObjectStore
  catalog: Catalog
  log: Log
  random: Random
  signal: AbortSignal
}

/** Runs until `signal` aborts. */
export const follow = async ({ store, catalog, log, random, signal }: Following): Promise<void> => {
  const source = new StoreSource(store)
  let failures = 0
  while (!signal.aborted) {
    const moved = await catchUp(catalog, source)
    if (moved.isErr()) {
      failures += 1
      log.warn('configuration.unread', { fault: moved.error.code, detail: moved.error.detail, failures })
      await pause(backoff(failures, random), signal)
      continue
    }
    failures = 0
    if (moved.value) log.info('configuration.moved', { revision: catalog.revision })
    await waitForChange(store, source, catalog, signal)
  }
}

const waitForChange = async (store: ObjectStore, source: StoreSource, catalog: Catalog, signal: AbortSignal): Promise<void> => {
  const started = Date.now()
  const reread = deadlineIn(rereadMs, signal)
  try {
    const found = await source.versionedHead()
    if (found.isErr()) return
    if (found.value !== undefined && found.value.head.revision > catalog.revision) return
    for await (const event of store.watch(headName, found.value?.version ?? '0', reread.signal)) {
      if (event.type !== 'ended') return
    }
    // A watch that ends at once must not turn into a loop of calls.
    await pause(rereadMs - (Date.now() - started), reread.signal)
  } finally {
    reread.clear()
  }
}
