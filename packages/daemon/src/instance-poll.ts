/**
 * Polls the instance list every few seconds, with jitter.
 */
import { pause, type Log, type Random } from '@finchpitch/core'
import type { Instance, InstanceList } from '@finchpitch/store'

const pollIntervalMs = 2000

export interface InstancePollOptions {
  list: InstanceList
  log: Log
  random: Random
  /** Called with the list after each successful read. */
  onUpdate: (instances: Instance[]) => void
  signal: AbortSignal
}

export const pollInstancesOnce = async ({ list, log, onUpdate }: Omit<InstancePollOptions, 'signal' | 'random'>): Promise<void> => {
  const instances = await list.read()
  if (instances.isOk()) onUpdate(instances.value)
  else log.warn('instances.unread', { fault: instances.error.code, detail: instances.error.detail })
}

/** Polls until `signal` aborts. While the list can't be read, the last one stays in use. */
export const pollInstances = async (options: InstancePollOptions): Promise<void> => {
  const { random, signal } = options
  while (!signal.aborted) {
    await pollInstancesOnce(options)
    await pause(pollIntervalMs * (0.75 + random() / 2), signal)
  }
}
