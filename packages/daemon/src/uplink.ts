/**
 * Uplinks propagate configuration changes to every process while only a few of them watch the store.
 *
 * In each failure domain, the entries that rank first by rendezvous hashing are the watchers. Every other process keeps a channel
 * to one of them, which announces a new revision by a heartbeat as soon as it has it. Processes may see different instance lists
 * for a moment: then a few more entries watch, or a process learns of a change one hop later.
 */
import { backoff, onAbort, pause, type Address, type FailureDomain, type Log, type ProcessId, type Random } from '@finchpitch/core'
import { rankCandidates } from '@finchpitch/decisions'
import { type Catalog, type Instance } from '@finchpitch/store'
import { Channel, type ChannelOptions, type Dial } from '@finchpitch/wire'
import { CatalogExchange } from './catalog-exchange.js'

/** Number of entries in each failure domain that watch the store. */
export const watchersPerDomain = 3
const watcherKey = 'watchers'

/** The entries that watch the store for `domain`: its own, or those of other domains if it has none. */
export const selectWatchers = (instances: readonly Instance[], domain: FailureDomain): Instance[] => {
  const entries = instances.filter(each => each.role === 'entry' && !each.leaving)
  const local = entries.filter(each => each.domain === domain)
  return rankCandidates(watcherKey, local.length > 0 ? local : entries, watchersPerDomain)
}

export interface UplinkOptions {
  process: ProcessId
  domain: FailureDomain
  /** The instance list, read each time an uplink is opened. */
  instances: () => Promise<readonly Instance[]>
  catalog: Catalog
  channel: ChannelOptions
  dial: Dial
  log: Log
  random: Random
  signal: AbortSignal
}

/**
 * The watcher to connect to, other than this process: chosen by rendezvous hashing, which spreads the processes over the watchers,
 * and the next one after each failure.
 */
const pickWatcher = async ({ process, domain, instances }: UplinkOptions, failures: number): Promise<Address | undefined> => {
  const others = selectWatchers(await instances(), domain).filter(each => each.process !== process)
  return rankCandidates(process, others, others.length)[failures % Math.max(1, others.length)]?.address
}

/** Keeps one uplink open until `signal` aborts, reconnecting with backoff. */
export const keepUplink = async (options: UplinkOptions): Promise<void> => {
  const { signal, random } = options
  let failures = 0
  while (!signal.aborted) {
    const address = await pickWatcher(options, failures)
    if (signal.aborted) return
    const connected = address === undefined ? false : await runUplink(address, options)
    failures = connected ? 0 : failures + 1
    await pause(backoff(failures, random), signal)
  }
}

/** Runs one uplink until its channel ends. Returns whether the peer had sent its hello. */
const runUplink = async (address: Address, { dial, channel: channelOptions, catalog, log, signal }: UplinkOptions): Promise<boolean> => {
  try {
    const channel = new Channel(await dial(address), channelOptions)
    // The signal may have aborted during the dial.
    const removeHandler = onAbort(signal, () => channel.close())
    await exchangeConfiguration(channel, catalog)
    removeHandler()
    return await channel.helloReceived
  } catch (error) {
    log.debug('uplink.unreachable', { address, detail: (error as Error).message })
    return false
  }
}

/** Exchanges the configuration over a channel used for nothing else, until it ends. */
export const exchangeConfiguration = async (channel: Channel, catalog: Catalog): Promise<void> => {
  const exchange = new CatalogExchange(catalog, channel)
  void channel.helloReceived.then(greeted => { if (greeted) exchange.observeRevision(channel.peer.revision) })
  for await (const frame of channel.frames()) exchange.handleFrame(frame)
  exchange.close()
}
