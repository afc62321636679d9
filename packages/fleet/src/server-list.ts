/**
 * The backend servers known to this process, and which of them may be sent new work.
 *
 * A server whose entry vanished without notice is kept in reserve for a limited time. A leaving server gets no new work. A server is
 * dropped when another one has started later at its address.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from './clock.js'
import { Leavers, type ServerLife } from './leavers.js'
import { isFormer, type BackendServer } from './server.js'
import { eraOf, revisionFields } from './store-revision.js'

export interface ServerListOptions {
  log: Log
  /** How long a server whose entry vanished without notice is kept in reserve. */
  lapseMs: () => number
  /** The revision at which a server's entry was last changed. */
  revisionOf: (id: string) => number
  /** Whether the service is known. Entries for unknown services come from other writers and replace no server. */
  serves: (service: string) => boolean
}

export class ServerList {
  readonly servers = new Map<string, BackendServer>()
  /** Servers whose entry is gone, and until when they may still be sent work. */
  readonly #lapsed = new Map<string, number>()
  readonly #byService = new Map<string, BackendServer[]>()
  /** By service, what `openTo` gave since the servers last changed. */
  readonly #open = new Map<string, readonly BackendServer[]>()
  readonly #leavers = new Leavers()

  constructor (private readonly options: ServerListOptions) {}

  serversOf (service: string): readonly BackendServer[] {
    return this.#byService.get(service) ?? []
  }

  /** Servers that may be sent new work: those that are listed, or where there are none, what is left in reserve. */
  openTo (service: string): readonly BackendServer[] {
    const known = this.#open.get(service)
    if (known !== undefined) return known
    const staying = this.serversOf(service).filter(server => !server.leaving)
    const listed = staying.filter(server => !this.lapsed(server.id))
    const open = listed.length > 0 ? listed : staying
    this.#open.set(service, open)
    return open
  }

  /** Whether the server's entry vanished and the server is kept in reserve. */
  lapsed (id: string): boolean {
    return this.#lapsed.has(id)
  }

  set (id: string, server: BackendServer | undefined): void {
    const before = this.servers.get(id)
    this.#open.clear()
    if (server === undefined) {
      if (before === undefined) return
      if (before.leaving) return this.#drop(id)
      this.#lapsed.set(id, nowMs() + this.options.lapseMs())
      return
    }
    this.#lapsed.delete(id)
    this.#drop(id)
    if (this.#succeeded(server)) return
    if (server.leaving) this.#leavers.note(server)
    this.#list(this.#leavers.has(server) ? { ...server, leaving: true } : server)
  }

  /**
   * A server said itself that it leaves. While the store is away nothing else tells it. Returns whether a listed server was newly marked as leaving.
   */
  noteLeaving (life: ServerLife, from: string): boolean {
    const server = this.servers.get(life.id)
    if (server !== undefined && isFormer(life.bornAt, server.bornAt)) return false
    if (!this.#leavers.note(life)) return false
    this.options.log.info('server.leaves', { server: life.id, bornAt: life.bornAt, from, address: server?.address, listed: listedAs(server), ...revisionFields(this.options.revisionOf(life.id)) })
    if (server === undefined || server.leaving) return false
    this.#drop(server.id)
    this.#list({ ...server, leaving: true })
    return true
  }

  /** Drops servers whose entries have not come back. */
  expire (): void {
    this.#leavers.expire(this.servers)
    const now = nowMs()
    for (const [id, until] of this.#lapsed) if (now >= until) this.dropLapsed(id, 'its entry did not come back')
  }

  /** Drops a server if it is in reserve; returns whether it was. */
  dropLapsed (id: string, reason: string): boolean {
    if (!this.#lapsed.delete(id)) return false
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

  /** Whether a later server has its address. Those before it at that address are gone, though their entries may stay for a while. */
  #succeeded (server: BackendServer): boolean {
    const { id, address, service } = server
    const { log, serves } = this.options
    for (const other of [...this.servers.values()]) {
      if (other.address !== address || !serves(service) || !serves(other.service)) continue
      if (this.#isLater(other, server)) return true
      this.#lapsed.delete(other.id)
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
    return comparable ? revision > otherRevision : isFormer(other.bornAt, server.bornAt)
  }

  #drop (id: string): void {
    const server = this.servers.get(id)
    if (server === undefined) return
    this.#open.clear()
    this.servers.delete(id)
    this.#byService.set(server.service, this.serversOf(server.service).filter(each => each.id !== id))
  }
}

/** What the store says of a server, as it is believed here. */
const listedAs = (server: BackendServer | undefined): 'no' | 'leaving' | 'ready' => {
  if (server === undefined) return 'no'
  return server.leaving ? 'leaving' : 'ready'
}
