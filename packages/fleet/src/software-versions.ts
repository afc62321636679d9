/**
 * Follows the software versions of the listed servers, by service.
 */
import { VersionHistory } from '@finchpitch/decisions'
import { nowMs } from './clock.js'
import type { Facts } from './facts.js'
import type { BackendServer } from './server.js'

/** Longer than callers wait for a stream. Records of streams are kept for at least as long. */
export const streamWindowMs = 30_000
/** The list of servers is confirmed every few seconds while the store, or a process that reads it, answers. */
const maxGapMs = 10_000

/** All servers that state no version have the same one. */
export const unstatedVersion = ''

/** Of a server that has restarted since it was listed: its version may be another one. No stream goes on at such a server. */
export const unlistedVersion = '?'

export const softwareVersionOf = ({ softwareVersion = unstatedVersion }: BackendServer): string => softwareVersion

export class SoftwareVersions {
  readonly #histories = new Map<string, VersionHistory>()

  constructor (private readonly facts: Pick<Facts, 'servers' | 'serversConfirmedAt' | 'onSettled'>) {
    facts.onSettled(kinds => { if (kinds.has('server')) this.#list() })
  }

  /** Called periodically, so that gaps are noticed in which the list was not confirmed. */
  update (): void {
    for (const history of this.#histories.values()) history.confirm(this.facts.serversConfirmedAt)
  }

  historyOf (service: string): VersionHistory {
    let history = this.#histories.get(service)
    if (history === undefined) this.#histories.set(service, history = new VersionHistory({ windowMs: streamWindowMs, maxGapMs }))
    history.confirm(this.facts.serversConfirmedAt)
    return history
  }

  #list (): void {
    const versions = new Map<string, Set<string>>([...this.#histories.keys()].map(service => [service, new Set()]))
    for (const server of this.facts.servers.values()) {
      const listed = versions.get(server.service)
      if (listed === undefined) versions.set(server.service, new Set([softwareVersionOf(server)]))
      else listed.add(softwareVersionOf(server))
    }
    for (const [service, listed] of versions) this.historyOf(service).list(listed, nowMs())
  }
}
