/**
 * Reads from the store, on demand, which servers have been listed since this process last knew the list to be complete.
 *
 * Load: callers that take up streams while a failure domain does not answer, many at the same moment. Requests for a proof share one
 * short call to the store, which has to begin after each of them.
 */
import type { BackendServer } from '../../server.js'
import type { Facts } from '../../facts.js'
import type { FactSource } from '../../ports.js'

/** How long the store may hold the call if nothing has changed: the shortest wait that it accepts. */
const waitMs = 1

/** `undefined`: the store did not answer, or no longer has the changes since then. */
type ListedServers = BackendServer[] | undefined

export class ListProver {
  #running: Promise<ListedServers> = Promise.resolve([])
  #queued: Promise<ListedServers> | undefined

  /** `source`: the source of the list of servers. */
  constructor (private readonly source: FactSource | undefined, private readonly facts: Pick<Facts, 'complete'>, private readonly signal: AbortSignal) {}

  /** The servers that were listed since, each as often as it changed, by a call that begins after this one. Leaves applying them to the watch of the store. */
  async listedSince (): Promise<ListedServers> {
    this.#queued ??= this.#running.then(() => {
      this.#queued = undefined
      this.#running = this.#read()
      return this.#running
    })
    return await this.#queued
  }

  async #read (): Promise<ListedServers> {
    const { server: revision } = this.facts.complete
    if (this.source === undefined || revision === 0) return undefined
    const page = await this.source.changes(revision, waitMs, this.signal)
    if (page.isErr()) return undefined
    return page.value.facts.flatMap(fact => fact.kind === 'server' && fact.value !== undefined ? [fact.value] : [])
  }
}
