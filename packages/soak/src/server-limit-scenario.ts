/**
 * Has servers advertise rate limits concurrently with all other faults, and finds servers that receive more requests than they allow.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import type { RequestResult } from './caller.js'
import type { Disturbances } from './disturbances.js'
import type { SeededRandom } from './seeded-random.js'
import { runOnRandomServers } from './random-servers.js'

/** A limit is checked from this time after the server first advertised it. */
const enforcementDelayMs = 3000
/** Length of the sliding window in which requests to a server are counted. */
const windowMs = 4000
/** Factor by which the requests in a window may exceed the limit. */
const overage = 1.5
/** Number of requests in a window that are allowed in addition. */
const extraRequests = 5
/** Only requests from entries that forwarded a response with the limit more than this time before are counted. */
const knownAfterMs = 500

const calmMs = enforcementDelayMs + windowMs + 500
const limitValues = [0.5, 1.3, 4.8, 12, 50]

/** A limit that a server advertised. */
interface ServerLimit {
  server: BackendStandIn
  /** The start time of the server's incarnation: limits of an earlier one do not apply after a restart. */
  bornAt: number | undefined
  perSecond: number
  /** When the server began to advertise this limit. */
  from: number
  until: number
}

export class ServerLimitScenario {
  readonly #limits: ServerLimit[] = []

  constructor (private readonly fleet: FleetSystem, private readonly random: SeededRandom, private readonly log: (line: string) => void) {}

  /** Has servers advertise limits for `ms`; resolves once none does any more. */
  async run (ms: number): Promise<void> {
    await runOnRandomServers(ms, { fleet: this.fleet, random: this.random, maxPauseMs: 1500, act: async server => await this.#changeLimit(server) })
  }

  /** Has one server advertise a limit, long enough for it to be enforced. Called without other faults, so that no entry is excused. */
  async runUndisturbed (): Promise<void> {
    const server = this.random.pick([...this.fleet.engines, ...this.fleet.plainServers])
    await this.#advertise(server, this.random.pick(limitValues), calmMs)
    server.limitPerSecond = undefined
  }

  async #changeLimit (server: BackendStandIn): Promise<void> {
    const first = this.random.pick(limitValues)
    const second = this.random.pick(limitValues)
    await this.#advertise(server, Math.max(first, second), this.random.between(300, 1500))
    await this.#advertise(server, Math.min(first, second), this.random.between(5000, 8000))
    // Entries may use a raised limit gradually, so the higher value is not checked.
    server.limitPerSecond = Math.max(first, second)
    await pause(this.random.between(0, 1000))
    server.limitPerSecond = undefined
  }

  async #advertise (server: BackendStandIn, perSecond: number, ms: number): Promise<void> {
    const limit: ServerLimit = { server, bornAt: server.bornAt, perSecond, from: performance.now(), until: Infinity }
    this.#limits.push(limit)
    this.log(`${server.id} advertises a limit of ${perSecond} requests per second`)
    server.limitPerSecond = perSecond
    await pause(ms)
    limit.until = performance.now()
    // The limit applied only to the incarnation that advertised it.
    if (server.bornAt !== limit.bornAt) this.#limits.splice(this.#limits.indexOf(limit), 1)
  }

  /** Returns the servers that received more requests than their limits allowed. */
  violations (results: readonly RequestResult[], disturbances: Disturbances): string[] {
    const byId = new Map(results.map(result => [result.id, result]))
    return this.#limits.flatMap(limit => {
      const { server, perSecond, from } = limit
      const counted = server.arrivals.filter(arrival => this.#counts(limit, arrival, byId.get(arrival.id), results, disturbances)).map(({ at }) => at)
      const allowed = overage * perSecond * windowMs / 1000 + extraRequests
      const maxReceived = Math.max(0, ...counted.map(first => counted.filter(at => at >= first && at < first + windowMs).length))
      return maxReceived <= allowed ? [] : [`${server.id} received ${maxReceived} requests within ${windowMs} ms, from ${Math.round((counted[0] ?? from) - from)} ms after it advertised ${perSecond} per second; at most ${allowed} are allowed`]
    })
  }

  /** Whether the request arrived while the limit applied, from an entry that knew it and was not disturbed since it was advertised. */
  #counts ({ server, from, until }: ServerLimit, { at }: { at: number }, request: RequestResult | undefined, results: readonly RequestResult[], disturbances: Disturbances): boolean {
    if (request === undefined || at < from + enforcementDelayMs || at > until) return false
    const knownAt = Math.min(...results.filter(each => each.entry === request.entry && each.server === server.id && each.sentAt > from).map(each => each.endedAt))
    const name = this.fleet.entries[request.entry]?.name ?? ''
    return at > knownAt + knownAfterMs && !disturbances.overlaps(name, from, at)
  }
}
