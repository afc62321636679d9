/**
 * The backend servers known to this process, and which of them may be sent new requests.
 *
 * A server whose record vanished without notice is kept as a fallback for a limited time: it may still be running, and is better
 * than no server. A draining server gets no new requests. A server is dropped once another one has started later at its address.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from './clock.js'
import { DrainingServers, type ServerIncarnation } from './draining-servers.js'
import { isEarlierIncarnation, type BackendServer } from './server.js'
import { eraOf, revisionFields } from './store-revision.js'

export interface ServerListOptions {
  log: Log
  /** How long a server whose record vanished without notice is kept as a fallback. */
  fallbackMs: () => number
  /** The revision at which a server's record last changed. */
  revisionOf: (id: string) => number
  /** Whether the service is known. Records for unknown services come from other writers and replace no server. */
  serves: (service: string) => boolean
}

export class ServerList {
  readonly servers = new Map<string, BackendServer>()
  /** Fallback servers, whose records are gone, and until when they may still be sent requests. */
  readonly #fallbackUntil = new Map<string, number>()
  readonly #byService = new Map<string, BackendServer[]>()
  /** By service, the eligible servers; cleared whenever the servers change. */
  readonly #eligible = new Map<string, readonly BackendServer[]>()
  readonly #draining = new DrainingServers()

  constructor (private readonly options: ServerListOptions) {}

  serversOf (service: string): readonly BackendServer[] {
    return this.#byService.get(service) ?? []
  }

  /** Servers that may be sent new requests: the listed ones that are not draining, or if there are none, the fallback servers. */
  eligibleServers (service: string): readonly BackendServer[] {
    if (this.#fallbackUntil.size > 0) this.#expireFallbacks()
    const known = this.#eligible.get(service)
    if (known !== undefined) return known
    const notDraining = this.serversOf(service).filter(server => !server.leaving)
    const listed = notDraining.filter(server => !this.isFallback(server.id))
    const eligible = listed.length > 0 ? listed : notDraining
    this.#eligible.set(service, eligible)
    return eligible
  }

  /** Whether the server's record vanished and the server is kept as a fallback. */
  isFallback (id: string): boolean {
    return this.#fallbackUntil.has(id)
  }

  /** Applies a server's record, or its removal. */
  set (id: string, server: BackendServer | undefined): void {
    const before = this.servers.get(id)
    this.#eligible.clear()
    if (server === undefined) {
      if (before === undefined) return
      if (before.leaving) return this.#drop(id)
      this.#fallbackUntil.set(id, nowMs() + this.options.fallbackMs())
      return
    }
    this.#fallbackUntil.delete(id)
    this.#drop(id)
    if (this.#isReplaced(server)) return
    if (server.leaving) this.#draining.note(server)
    this.#list(this.#draining.has(server) ? { ...server, leaving: true } : server)
  }

  /**
   * Records a server's own announcement that it is draining; during an outage of the store there is no other source. Returns whether
   * a listed server was newly marked as draining.
   */
  markDraining (incarnation: ServerIncarnation, from: string): boolean {
    const server = this.servers.get(incarnation.id)
    if (server !== undefined && isEarlierIncarnation(incarnation.bornAt, server.bornAt)) return false
    if (!this.#draining.note(incarnation)) return false
    this.options.log.info('server.leaves', { server: incarnation.id, bornAt: incarnation.bornAt, from, address: server?.address, listed: listedAs(server), ...revisionFields(this.options.revisionOf(incarnation.id)) })
    if (server === undefined || server.leaving) return false
    this.#drop(server.id)
    this.#list({ ...server, leaving: true })
    return true
  }

  /** Drops fallback servers whose records have not come back in time. */
  expire (): void {
    this.#draining.expire(this.servers)
    this.#expireFallbacks()
  }

  #expireFallbacks (): void {
    const now = nowMs()
    for (const [id, until] of this.#fallbackUntil) if (now >= until) this.dropFallback(id, 'its entry did not come back')
  }

  /** Drops a server if it is a fallback. Returns whether it was. */
  dropFallback (id: string, reason: string): boolean {
    if (!this.#fallbackUntil.delete(id)) return false
    this.#drop(id)
    this.options.log.info('server.gone', { server: id, reason })
    return true
  }

  #list (server: BackendServer): void {
    this.servers.set(server.id, server)
    const list = this.#byService.get(server.service) ?? []
    list.push(server)
    this.#byService.set(server.service, list)
  }

  /**
   * Whether a later server has this one's address. Drops earlier servers at that address: they have stopped, though their records may
   * remain for a while.
   */
  #isReplaced (server: BackendServer): boolean {
    const { id, address, service } = server
    const { log, serves } = this.options
    for (const other of [...this.servers.values()]) {
      if (other.address !== address || !serves(service) || !serves(other.service)) continue
      if (this.#isLater(other, server)) return true
      this.#fallbackUntil.delete(other.id)
      this.#drop(other.id)
      log.info('server.gone', { server: other.id, reason: `${id} has its address` })
    }
    return false
  }

  /** Whether `server` started after `other`; compares start times across a restore, where revisions are not comparable. */
  #isLater (server: BackendServer, other: BackendServer): boolean {
    const revision = this.options.revisionOf(server.id)
    const otherRevision = this.options.revisionOf(other.id)
    const comparable = eraOf(revision) === eraOf(otherRevision) || server.bornAt === undefined || other.bornAt === undefined
    return comparable ? revision > otherRevision : isEarlierIncarnation(other.bornAt, server.bornAt)
  }

  #drop (id: string): void {
    const server = this.servers.get(id)
    if (server === undefined) return
    this.#eligible.clear()
    this.servers.delete(id)
    this.#byService.set(server.service, this.serversOf(server.service).filter(each => each.id !== id))
  }
}

/** A server's state in the store, as last known here, for the log. */
const listedAs = (server: BackendServer | undefined): 'no' | 'leaving' | 'ready' => {
  if (server === undefined) return 'no'
  return server.leaving ? 'leaving' : 'ready'
}
