/**
 * Uplinks: how a configuration change reaches every process while few of them watch the store.
 *
 * In each failure domain the entries that lead one rendezvous order hold a watch. Every other process keeps one
 * channel to one of them, whose heartbeat names a new revision as soon as it is there. Views of the instance list
 * may differ: then a few more watches are held, or a process hears of a change one step later.
 */
import { backoff, pause, type Address, type FailureDomain, type Log, type ProcessId, type Random } from '@finchpitch/core'
import { rankCandidates } from '@finchpitch/decisions'
import { type Catalog, type Instance } from '@finchpitch/store'
import { Channel, type ChannelOptions, type Dial } from '@finchpitch/wire'
import { CatalogExchange } from './catalog-exchange.js'

/** Watching entries in each failure domain. */
export const watchersPerDomain = 3
const watcherKey = 'watchers'

/** The entries that hold a watch for `domain`; those of other domains where it has none. */
export const watchersOf = (instances: readonly Instance[], domain: FailureDomain): Instance[] => {
  const entries = instances.filter(each => each.role === 'entry' && !each.leaving)
  const near = entries.filter(each => each.domain === domain)
  return rankCandidates(watcherKey, near.length > 0 ? near : entries, watchersPerDomain)
}

export interface UplinkOptions {
  process: ProcessId
  domain: FailureDomain
  /** The instance list, read when an uplink is wanted and not before. */
  instances: () => Promise<readonly Instance[]>
  catalog: Catalog
  channel: ChannelOptions
  dial: Dial
  log: Log
  random: Random
  signal: AbortSignal
}

/** One watcher that isn't this process, spread so that each serves its share. */
const pick = async ({ process, domain, instances }: UplinkOptions, failures: number): Promise<Address | undefined> => {
  const others = watchersOf(await instances(), domain).filter(each => each.process !== process)
  return rankCandidates(process, others, others.length)[failures % Math.max(1, others.length)]?.address
}

/** Keeps one uplink until `signal` aborts. */
export const keepUplink = async (options: UplinkOptions): Promise<void> => {
  const { signal, random } = options
  let failures = 0
  while (!signal.aborted) {
    const address = await pick(options, failures)
    const lasted = address === undefined ? false : await holdChannel(address, options)
    failures = lasted ? 0 : failures + 1
    await pause(backoff(failures, random), signal)
  }
}

/** Reads one channel to its end; whether it had come to a hello. */
const holdChannel = async (address: Address, { dial, channel: channelOptions, catalog, log, signal }: UplinkOptions): Promise<boolean> => {
  try {
    const channel = new Channel(await dial(address), channelOptions)
    const close = (): void => channel.close()
    signal.addEventListener('abort', close)
    await readPeer(channel, catalog)
    signal.removeEventListener('abort', close)
    return await channel.greeted
  } catch (error) {
    log.debug('uplink.unreachable', { address, detail: (error as Error).message })
    return false
  }
}

/** Reads a channel that carries configuration and nothing else. */
export const readPeer = async (channel: Channel, catalog: Catalog): Promise<void> => {
  const configuration = new CatalogExchange(catalog, channel)
  void channel.greeted.then(greeted => { if (greeted) configuration.see(channel.peer.revision) })
  for await (const frame of channel.frames()) configuration.take(frame)
  configuration.close()
}
