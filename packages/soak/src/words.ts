/**
 * Servers that say of themselves that they leave, or ask for rest, beside all other faults; and what may reach them then.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import type { Result } from './caller.js'
import type { Disturbances } from './disturbances.js'
import type { Dice } from './random.js'
import { haveServersSpeak } from './speakers.js'

/** A server gets nothing that a caller sent later than this after an entry had passed on an answer that says it leaves. */
const drainMs = 2000
/** A rest binds from so long after the answer that asks for it; until its end, so many requests may come. */
const bindingMs = 500
const mostInRest = 2

/** What servers say of their first start. */
export const firstStart = 1

/** A server that said so, from when until it ended. */
interface Leaving {
  server: BackendStandIn
  from: number
  until: number
}

/** A server that asked for `restMs` with all its refusals. */
interface Overload {
  server: BackendStandIn
  restMs: number
  from: number
  until: number
}

export class Words {
  readonly #leavings: Leaving[] = []
  readonly #overloads: Overload[] = []
  /** Starts of servers that are back under their ids. */
  #born = firstStart

  constructor (private readonly fleet: FleetSystem, private readonly dice: Dice, private readonly log: (line: string) => void) {}

  /** Has servers speak for `ms`; resolves once all are as before. */
  async deal (ms: number): Promise<void> {
    await haveServersSpeak(ms, {
      fleet: this.fleet,
      dice: this.dice,
      mostRestMs: 1200,
      speak: async server => await (this.dice.chance(50) ? this.#leave(server) : this.#askForRest(server))
    })
  }

  async #leave (server: BackendStandIn): Promise<void> {
    const leaving = { server, from: performance.now(), until: Infinity }
    this.#leavings.push(leaving)
    this.log(`${server.id} leaves`)
    server.leaving = true
    // Half of them are lost to the store, which goes on listing them as ready.
    if (this.dice.chance(50)) this.fleet.list(server, 'draining')
    await pause(this.dice.between(2200, 4000))
    leaving.until = performance.now()
    server.leaving = false
    this.#born += 1
    server.bornAt = this.#born
    server.restart(server.id)
    this.fleet.list(server)
  }

  async #askForRest (server: BackendStandIn): Promise<void> {
    const restMs = this.dice.between(800, 2500)
    const overload = { server, restMs, from: performance.now(), until: Infinity }
    this.#overloads.push(overload)
    this.log(`${server.id} asks for ${restMs} ms of rest`)
    server.overloadedRestMs = restMs
    await pause(this.dice.between(500, 3000))
    server.overloadedRestMs = undefined
    overload.until = performance.now()
  }

  /** What reached servers against their word. */
  judge (results: readonly Result[], disturbances: Disturbances): string[] {
    const byId = new Map(results.map(result => [result.id, result]))
    const nameOf = (entry: number): string => this.fleet.entries[entry]?.name ?? ''
    return this.fleet.entries.flatMap((_, entry) => {
      const disturbed = (from: number, until: number): boolean => disturbances.any(nameOf(entry), from, until)
      const mine = results.filter(result => result.entry === entry)
      return [
        ...this.#leavings.flatMap(leaving => afterLeaving(leaving, mine, disturbed)),
        ...this.#overloads.flatMap(overload => withinRest(overload, id => byId.get(id)?.entry === entry, disturbed))
      ].map(each => `${nameOf(entry)}: ${each}`)
    })
  }
}

type Disturbed = (from: number, until: number) => boolean

const afterLeaving = ({ server, from, until }: Leaving, mine: readonly Result[], disturbed: Disturbed): string[] => {
  const toldAt = Math.min(...mine.filter(result => result.server === server.id && result.sentAt > from && result.endedAt < until).map(result => result.endedAt))
  const arrivals = new Map(server.arrivals.filter(({ at }) => at < until).map(({ id, at }) => [id, at]))
  return mine
    .filter(result => result.sentAt > toldAt + drainMs && !disturbed(toldAt, arrivals.get(result.id) ?? 0) && arrivals.has(result.id))
    .map(({ id, sentAt }) => `${id} reached ${server.id}, sent ${Math.round(sentAt - toldAt)} ms after an answer that says it leaves`)
}

const withinRest = ({ server, restMs, from, until }: Overload, isMine: (id: string) => boolean, disturbed: Disturbed): string[] => {
  const mine = server.arrivals.filter(({ id }) => isMine(id))
  const asked = mine.filter(({ refused, at }) => refused && at > from && at < until)
  return asked.flatMap(({ at, id }) => {
    const within = mine.filter(other => other.at > at + bindingMs && other.at < at + restMs)
    if (within.length <= mostInRest || disturbed(at, at + restMs)) return []
    return [`${within.length} requests reached ${server.id} within ${restMs} ms of rest asked for with the refusal of ${id}`]
  })
}
