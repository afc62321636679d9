/**
 * Selects the side process from which an entry receives the updates of each engine.
 *
 * Updates of a local engine come from its own side process. For a remote engine, one in another failure domain, a local side
 * process receives them once and relays them to the entries of its domain. If every side process sent its updates to every
 * entry, the bytes between domains and the CPU time would grow with entries times engines. All entries of a domain select the
 * same relay for an engine by rendezvous hashing. If they differ for a moment, the updates cross between domains twice, which
 * affects nothing else. An entry without a responsive local side process subscribes to all engines directly.
 */
import { rendezvousScore, hashOf } from '@finchpitch/decisions'
import type { Log } from '@finchpitch/core'
import { nowMs } from '../../clock.js'
import { minBy } from '../../min-by.js'

export interface SourceHosts {
  /** Hosts of engines in the entry's own failure domain whose side processes are responsive. */
  local: readonly string[]
  /** Hosts of engines in other failure domains. */
  remote: readonly string[]
}

/** For the host of each engine, the host of the side process that sends its updates. */
export const selectUpdateSources = ({ local, remote }: SourceHosts): Map<string, string> => {
  const sources = new Map<string, string>(local.map(host => [host, host]))
  for (const host of remote) sources.set(host, rendezvousHost(host, local) ?? host)
  return sources
}

/** The host selected for `key` by rendezvous hashing: the same for every process that knows the same hosts. */
export const rendezvousHost = (key: string, hosts: readonly string[]): string | undefined => {
  const hash = hashOf(key)
  return minBy(hosts, host => rendezvousScore(hash, hashOf(host)))
}

/**
 * Without a responsive local side process for this long, an entry subscribes to remote engines directly. After a power loss, all
 * processes of a domain are back sooner.
 */
const noRelayTimeoutMs = 1000

/**
 * Sources are selected again once the responsive side processes have stayed the same for this long, since at startup they
 * connect one by one. It is less than the 200 ms between two checks, so that the second check passes even if its timer fires
 * early; otherwise updates of a remote engine whose relay froze resumed after up to 1.6 s instead of 1.4 s.
 */
const settleMs = 150

/** The sources in use. They stay the same for as long as the hosts that they were selected from. */
export class UpdateSources {
  /** For each engine's host, the host of the side process that sends its updates. */
  #sources: ReadonlyMap<string, string> = new Map()
  /** The hosts that the sources were selected from, the hosts as of the last check, and since when those are unchanged. */
  #selectedFrom = ''
  #current = ''
  #currentSince = -Infinity
  /** Since when there is no responsive local side process. */
  #noRelaySince = Infinity

  constructor (private readonly log: Log) {}

  /** The host of the side process that sends the updates of the engine at `host`. */
  sourceOf (host: string): string {
    return this.#sources.get(host) ?? host
  }

  /**
   * Hosts of the engines whose updates the side process at `host` has to send. Before the first selection, a local one sends
   * those of its own engine.
   */
  subscriptionsAt (host: string, isLocal: boolean): string[] {
    const engines = [...this.#sources].filter(([, source]) => source === host).map(([engine]) => engine)
    return engines.length === 0 && isLocal ? [host] : engines
  }

  /** Selects the sources again if the hosts have changed and are stable. Returns whether it did. */
  select ({ local, remote }: SourceHosts): boolean {
    const now = nowMs()
    // Without remote engines no relay is needed. This includes the time before any engine is known.
    if (local.length > 0 || remote.length === 0) this.#noRelaySince = Infinity
    else this.#noRelaySince = Math.min(this.#noRelaySince, now)
    const direct = now - this.#noRelaySince > noRelayTimeoutMs
    if (!this.#hasSettled([direct, ...local, '', ...remote].join(), now)) return false
    this.#replace(local.length > 0 || direct ? selectUpdateSources({ local, remote }) : new Map())
    return true
  }

  /** Whether the hosts differ from those last selected from, and are stable. If so, records them as selected from. */
  #hasSettled (current: string, now: number): boolean {
    if (current !== this.#current) this.#currentSince = now
    this.#current = current
    if (current === this.#selectedFrom || now - this.#currentSince < settleMs) return false
    this.#selectedFrom = current
    return true
  }

  #replace (sources: ReadonlyMap<string, string>): void {
    for (const [host, source] of sources) {
      const before = this.#sources.get(host)
      if (before !== source && before !== undefined) this.log.info('news.source_changed', { host, source, before })
    }
    this.#sources = sources
  }
}
