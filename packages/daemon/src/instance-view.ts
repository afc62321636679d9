/**
 * The instance list as one process last read it, read again every few seconds at spread times.
 */
import { pause, type Log, type Random } from '@finchpitch/core'
import type { Instance, InstanceList } from '@finchpitch/store'

const readMs = 2000

export interface InstanceViewOptions {
  list: InstanceList
  log: Log
  random: Random
  /** Told of each reading. */
  update: (instances: Instance[]) => void
  signal: AbortSignal
}

export const readInstances = async ({ list, log, update }: Omit<InstanceViewOptions, 'signal' | 'random'>): Promise<void> => {
  const instances = await list.read()
  if (instances.isOk()) update(instances.value)
  else log.warn('instances.unread', { fault: instances.error.code, detail: instances.error.detail })
}

/** Keeps reading until `signal` aborts; a list that can't be read leaves the last one in place. */
export const watchInstances = async (options: InstanceViewOptions): Promise<void> => {
  const { random, signal } = options
  while (!signal.aborted) {
    await readInstances(options)
    await pause(readMs * (0.75 + random() / 2), signal)
  }
}
