/**
 * Has servers announce that they are draining, or request a backoff, concurrently with all other faults, and finds requests that reach
 * them nevertheless.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import type { RequestResult } from './caller.js'
import type { Disturbances } from './disturbances.js'
import type { SeededRandom } from './seeded-random.js'
import { runOnRandomServers } from './random-servers.js'

/** Once an entry has forwarded a response that announces draining, requests sent to this entry after this time must not reach the server. */
const drainMs = 2000
/** A backoff applies from this time after the response that requested it. */
const backoffDelayMs = 500
/** Number of requests that may reach the server until the backoff ends. */
const maxRequestsInBackoff = 2

/** The start time that servers report before their first restart. */
export const initialBornAt = 1

/** A period in which a server announced that it is draining; it ends with the server's restart. */
interface DrainPeriod {
  server: BackendStandIn
  from: number
  until: number
}

/** A period in which a server rejected all requests and requested a backoff of `backoffMs`. */
interface OverloadPeriod {
  server: BackendStandIn
  backoffMs: number
  from: number
  until: number
}

export class ServerFeedbackScenario {
  readonly #drainPeriods: DrainPeriod[] = []
  readonly #overloadPeriods: OverloadPeriod[] = []
  /** The start time of the most recent incarnation; raised with each restart of a server under its id. */
  #latestBornAt = initialBornAt

  constructor (private readonly fleet: FleetSystem, private readonly random: SeededRandom, private readonly log: (line: string) => void) {}

  /** Runs for `ms`; resolves once all servers are back to normal. */
  async run (ms: number): Promise<void> {
    await runOnRandomServers(ms, {
      fleet: this.fleet,
      random: this.random,
      maxPauseMs: 1200,
      act: async server => await (this.random.chance(50) ? this.#drain(server) : this.#requestBackoff(server))
    })
  }

  async #drain (server: BackendStandIn): Promise<void> {
    const drainPeriod = { server, from: performance.now(), until: Infinity }
    this.#drainPeriods.push(drainPeriod)
    this.log(`${server.id} is draining`)
    server.leaving = true
    // In half of the cases the store does not learn of it, and keeps listing the server as ready.
    if (this.random.chance(50)) this.fleet.relist(server, 'draining')
    await pause(this.random.between(2200, 4000))
    drainPeriod.until = performance.now()
    server.leaving = false
    this.#latestBornAt += 1
    server.bornAt = this.#latestBornAt
    server.restart(server.id)
    this.fleet.relist(server)
  }

  async #requestBackoff (server: BackendStandIn): Promise<void> {
    const backoffMs = this.random.between(800, 2500)
    const period = { server, backoffMs, from: performance.now(), until: Infinity }
    this.#overloadPeriods.push(period)
    this.log(`${server.id} requests a backoff of ${backoffMs} ms`)
    server.overloadedRetryAfterMs = backoffMs
    await pause(this.random.between(500, 3000))
    server.overloadedRetryAfterMs = undefined
    period.until = performance.now()
  }

  /** Returns the requests that reached draining servers, and the servers that were sent too many requests during a backoff. */
  violations (results: readonly RequestResult[], disturbances: Disturbances): string[] {
    const byId = new Map(results.map(result => [result.id, result]))
    const nameOf = (entry: number): string => this.fleet.entries[entry]?.name ?? ''
    return this.fleet.entries.flatMap((_, entry) => {
      const disturbed = (from: number, until: number): boolean => disturbances.overlaps(nameOf(entry), from, until)
      const ownResults = results.filter(result => result.entry === entry)
      return [
        ...this.#drainPeriods.flatMap(drainPeriod => requestsWhileDraining(drainPeriod, ownResults, disturbed)),
        ...this.#overloadPeriods.flatMap(period => requestsDuringBackoff(period, id => byId.get(id)?.entry === entry, disturbed))
      ].map(each => `${nameOf(entry)}: ${each}`)
    })
  }
}

type Disturbed = (from: number, until: number) => boolean

const requestsWhileDraining = ({ server, from, until }: DrainPeriod, ownResults: readonly RequestResult[], disturbed: Disturbed): string[] => {
  const announcedAt = Math.min(...ownResults.filter(result => result.server === server.id && result.sentAt > from && result.endedAt < until).map(result => result.endedAt))
  const arrivals = new Map(server.arrivals.filter(({ at }) => at < until).map(({ id, at }) => [id, at]))
  return ownResults
    .filter(result => result.sentAt > announcedAt + drainMs && !disturbed(announcedAt, arrivals.get(result.id) ?? 0) && arrivals.has(result.id))
    .map(({ id, sentAt }) => `${id} reached ${server.id}, sent ${Math.round(sentAt - announcedAt)} ms after a response that announced draining`)
}

const requestsDuringBackoff = ({ server, backoffMs, from, until }: OverloadPeriod, isMine: (id: string) => boolean, disturbed: Disturbed): string[] => {
  const ownArrivals = server.arrivals.filter(({ id }) => isMine(id))
  const rejections = ownArrivals.filter(({ retryAfter, at }) => retryAfter !== undefined && at > from && at < until)
  return rejections.flatMap(({ at, id, meantFor }) => {
    // The backoff is that of one incarnation: it binds neither the next one, nor is it requested by rejecting requests for the last one.
    const within = ownArrivals.filter(other => other.meantFor === meantFor && other.at > at + backoffDelayMs && other.at < at + backoffMs)
    if (within.length <= maxRequestsInBackoff || disturbed(at, at + backoffMs)) return []
    return [`${within.length} requests for ${meantFor} reached it during the backoff of ${backoffMs} ms that it requested when it rejected ${id}`]
  })
}
