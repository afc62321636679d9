/**
 * Keeps a catalog up to date by watching the store, with one task per process that watches.
 *
 * Only the head is watched. An event merely triggers a read, so repeated, missing or reordered events cost at most an
 * extra read. The head is also read periodically, which bounds the delay of a change when a watch has died unnoticed.
 */
import { backoff, deadlineIn, pause, type Log, type Random } from '@finchpitch/core'
import type { Catalog } from './catalog.js'
import { StoreSource, catchUp, headName } from './configuration-source.js'
import type { ObjectStore } from './object-store.js'

/** Interval of the periodic read. With the few watching processes per failure domain, it adds up to a few reads per second. */
const readIntervalMs = 3000

export interface ConfigurationWatchOptions {
  store: ObjectStore
  catalog: Catalog
  log: Log
  random: Random
  signal: AbortSignal
}

/** Updates `catalog` until `signal` aborts. */
export const watchConfiguration = async ({ store, catalog, log, random, signal }: ConfigurationWatchOptions): Promise<void> => {
  const source = new StoreSource(store)
  let failures = 0
  while (!signal.aborted) {
    const updated = await catchUp(catalog, source)
    if (updated.isErr()) {
      failures += 1
      log.warn('configuration.unread', { fault: updated.error.code, detail: updated.error.detail, failures })
      await pause(backoff(failures, random), signal)
      continue
    }
    failures = 0
    if (updated.value) log.info('configuration.moved', { revision: catalog.revision })
    await waitForChange(store, source, catalog, signal)
  }
}

const waitForChange = async (store: ObjectStore, source: StoreSource, catalog: Catalog, signal: AbortSignal): Promise<void> => {
  const startedAt = Date.now()
  const nextRead = deadlineIn(readIntervalMs, signal)
  try {
    const found = await source.versionedHead()
    if (found.isErr()) return
    if (found.value !== undefined && found.value.head.revision > catalog.revision) return
    for await (const event of store.watch(headName, found.value?.version ?? '0', nextRead.signal)) {
      if (event.type !== 'ended') return
    }
    // Without the pause, watches that end immediately would cause a tight loop of calls.
    await pause(readIntervalMs - (Date.now() - startedAt), nextRead.signal)
  } finally {
    nextRead.clear()
  }
}
