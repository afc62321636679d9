/**
 * Logs the first request to each server, with the source of the server's record.
 *
 * The servers of a process's first listing have no log lines of their own. These lines show since when and from which peer the process
 * has the record of a server that it uses, and whether it had read the store up to a later revision by then.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from './clock.js'
import type { Fact } from './fact.js'
import { revisionFields } from './store-revision.js'

interface KnownServer {
  revision: number
  from: string
  learnedAt: number
  /** The revision up to which the list of servers was complete when this process learned the record. */
  completeThen: number
  used: boolean
  usedAsFallback: boolean
}

export class ServerUses {
  readonly #known = new Map<string, KnownServer>()

  constructor (private readonly log: Log) {}

  /** Records a server's new record and its source. The last record of a removed server stays, as the server may be a fallback. */
  recordFact ({ key, revision, value }: Fact, from: string, complete: number): void {
    if (value === undefined) return
    const { used = false, usedAsFallback = false } = this.#known.get(key) ?? {}
    this.#known.set(key, { revision, from, learnedAt: nowMs(), completeThen: complete, used, usedAsFallback })
  }

  /** Drops a server that was removed long ago. */
  forget (key: string): void {
    this.#known.delete(key)
  }

  /** Records that a request was sent to the server. */
  record (id: string, fallback: boolean, complete: number): void {
    const known = this.#known.get(id)
    if (known === undefined || known.usedAsFallback || (known.used && !fallback)) return
    known.used = true
    known.usedAsFallback = fallback
    const { revision, from, learnedAt, completeThen } = known
    this.log.info('server.first_used', { server: id, ...revisionFields(revision), from, knownMs: Math.round(nowMs() - learnedAt), completeThen, complete, fallback })
  }
}
