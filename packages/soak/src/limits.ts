/**
 * Servers that name how many requests a second they take, beside all other faults; and how many may reach them then.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import type { Result } from './caller.js'
import type { Disturbances } from './disturbances.js'
import type { Dice } from './random.js'
import { haveServersSpeak } from './speakers.js'

/** From so long after a server first named its limit, */
const contactMs = 3000
/** in any such time it gets no more than */
const windowMs = 4000
/** so many times what the limit allows, */
const overage = 1.5
/** and so many requests, */
const slack = 5
/** of entries that had passed on an answer with it so long before. */
const toldMs = 500

const calmMs = contactMs + windowMs + 500
const figures = [0.5, 1.3, 4.8, 12, 50]

/** A server that named a limit. */
interface Limited {
  server: BackendStandIn
  /** Of its life: one that is born again owes nothing to what it said before. */
  bornAt: number | undefined
  perSecond: number
  /** When it named the highest figure that counts. */
  from: number
  until: number
}

export class Limits {
  readonly #limits: Limited[] = []

  constructor (private readonly fleet: FleetSystem, private readonly dice: Dice, private readonly log: (line: string) => void) {}

  /** Has servers name limits for `ms`; resolves once none does. */
  async deal (ms: number): Promise<void> {
    await haveServersSpeak(ms, { fleet: this.fleet, dice: this.dice, mostRestMs: 1500, speak: async server => await this.#limit(server) })
  }

  /** Nothing else troubles anybody, so that no entry is excused: one server names a limit for long enough to bind. */
  async calm (): Promise<void> {
    const server = this.dice.pick([...this.fleet.engines, ...this.fleet.plain])
    await this.#name(server, this.dice.pick(figures), calmMs)
    server.limitPerSecond = undefined
  }

  async #limit (server: BackendStandIn): Promise<void> {
    const first = this.dice.pick(figures)
    const second = this.dice.pick(figures)
    await this.#name(server, Math.max(first, second), this.dice.between(300, 1500))
    await this.#name(server, Math.min(first, second), this.dice.between(5000, 8000))
    // A limit that rises may be used slowly, so only the end is looked at.
    server.limitPerSecond = Math.max(first, second)
    await pause(this.dice.between(0, 1000))
    server.limitPerSecond = undefined
  }

  async #name (server: BackendStandIn, perSecond: number, ms: number): Promise<void> {
    const limited: Limited = { server, bornAt: server.bornAt, perSecond, from: performance.now(), until: Infinity }
    this.#limits.push(limited)
    this.log(`${server.id} takes ${perSecond} a second`)
    server.limitPerSecond = perSecond
    await pause(ms)
    limited.until = performance.now()
    // What was said before holds for the former life only.
    if (server.bornAt !== limited.bornAt) this.#limits.splice(this.#limits.indexOf(limited), 1)
  }

  /** Servers that got more than they had named. */
  judge (results: readonly Result[], disturbances: Disturbances): string[] {
    const byId = new Map(results.map(result => [result.id, result]))
    return this.#limits.flatMap(limited => {
      const { server, perSecond, from } = limited
      const counted = server.arrivals.filter(arrival => this.#counts(limited, arrival, byId.get(arrival.id), results, disturbances)).map(({ at }) => at)
      const allowed = overage * perSecond * windowMs / 1000 + slack
      const most = Math.max(0, ...counted.map(first => counted.filter(at => at >= first && at < first + windowMs).length))
      return most <= allowed ? [] : [`${server.id} got ${most} requests in ${windowMs} ms, ${Math.round((counted[0] ?? from) - from)} ms after it named ${perSecond} a second; ${allowed} are allowed`]
    })
  }

  /** Whether it came as the limit bound, from an entry that had been told and was not disturbed since. */
  #counts ({ server, from, until }: Limited, { at }: { at: number }, asked: Result | undefined, results: readonly Result[], disturbances: Disturbances): boolean {
    if (asked === undefined || at < from + contactMs || at > until) return false
    const toldAt = Math.min(...results.filter(each => each.entry === asked.entry && each.server === server.id && each.sentAt > from).map(each => each.endedAt))
    const name = this.fleet.entries[asked.entry]?.name ?? ''
    return at > toldAt + toldMs && !disturbances.any(name, from, at)
  }
}
