/**
 * An operator who adds and drops routes, and callers who ask every entry for them: what was not in force in time.
 */
import { Agent } from 'node:http'
import { pause } from '@finchpitch/core'
import { askFleet } from './caller.js'
import { plainService, type FleetSystem } from './fleet-system.js'

/** A caller's time; answers of plain servers take some ms. */
const remainingMs = 1000
const defaultAskEveryMs = 25
/** Of the routes that were added, and of those that were dropped, so many of the last are asked for. */
const lastAsked = 2
const served = 200
const noRoute = 404
const notRun = 503

/** A route with the times of the acknowledgements of its changes, on the steady clock. */
interface ChangingRoute {
  path: string
  addedAt: number
  droppedAt: number
}

/** One request for such a route. */
export interface RouteProbe {
  id: string
  route: ChangingRoute
  /** The place of the entry that was asked. */
  entry: number
  sentAt: number
  endedAt: number
  status: number
}

/** `missing`: refused though the route is there; `dropped`: served though it no longer is; `older`: refused after it had been served. */
export type RouteFault = 'missing' | 'dropped' | 'older'

export interface LateChange {
  probe: RouteProbe
  fault: RouteFault
  /** From the acknowledgement, or where it came back older from when it had been served, to when the request was sent. */
  afterMs: number
}

export class RouteChanges {
  readonly #routes: ChangingRoute[] = []
  readonly #agents: Agent[]
  readonly probes: RouteProbe[] = []

  /** `name`: tells the routes and requests of one operator from those of others. */
  constructor (private readonly fleet: FleetSystem, private readonly name: string, private readonly askEveryMs = defaultAskEveryMs) {
    this.#agents = fleet.entries.map(() => new Agent({ keepAlive: true, maxSockets: 40 }))
  }

  add (): void {
    const path = `/${this.name}-${this.#routes.length}/`
    const route = { path, addedAt: Infinity, droppedAt: Infinity }
    this.#routes.push(route)
    route.addedAt = this.#apply()
  }

  /** Drops the oldest route that is there. */
  drop (): void {
    const oldest = this.#routes.find(route => route.droppedAt === Infinity)
    if (oldest === undefined) return
    oldest.droppedAt = -Infinity
    oldest.droppedAt = this.#apply()
  }

  /** Has every entry asked until `signal` aborts; resolves once all is answered. */
  async ask (signal: AbortSignal): Promise<void> {
    const asked: Array<Promise<void>> = []
    while (!signal.aborted) {
      for (const entry of this.fleet.entries.keys()) for (const route of this.#lastChanged()) asked.push(this.#probe(route, entry))
      await pause(this.askEveryMs)
    }
    await Promise.all(asked)
  }

  /** Requests sent more than `applyMs` after a change and handled as before it; and those handled as before `slackMs` after its effect was seen. */
  late (applyMs: number, slackMs: number): LateChange[] {
    return this.probes.flatMap(probe => this.#lateness(probe, applyMs, slackMs) ?? [])
  }

  /** Requests for a route that was added more than `applyMs` before, and that were refused as not run. */
  refused (applyMs: number): RouteProbe[] {
    return this.probes.filter(({ route, status, sentAt, endedAt }) => status === notRun && sentAt - route.addedAt > applyMs && endedAt < route.droppedAt)
  }

  close (): void {
    for (const agent of this.#agents) agent.destroy()
  }

  #lastChanged (): ChangingRoute[] {
    const there = this.#routes.filter(route => route.droppedAt === Infinity)
    const dropped = this.#routes.filter(route => Number.isFinite(route.droppedAt))
    return [...there.slice(-lastAsked), ...dropped.slice(-lastAsked)]
  }

  #lateness (probe: RouteProbe, applyMs: number, slackMs: number): LateChange | undefined {
    const { route, status, sentAt, endedAt } = probe
    if (status === served) return lateBy(probe, 'dropped', sentAt - route.droppedAt, applyMs)
    if (status !== noRoute || endedAt > route.droppedAt) return undefined
    return lateBy(probe, 'missing', sentAt - route.addedAt, applyMs) ?? lateBy(probe, 'older', sentAt - this.#servedAt(probe), slackMs)
  }

  /** When the entry was first seen to serve the route. */
  #servedAt ({ route, entry }: RouteProbe): number {
    const times = this.probes.filter(each => each.route === route && each.entry === entry && each.status === served)
    return Math.min(...times.map(({ endedAt }) => endedAt))
  }

  /** Writes the table with the routes that are there; gives when that was acknowledged. */
  #apply (): number {
    const { fleet } = this
    const plain = { host: 'fleet.example', kind: 'idempotent', timeoutMs: 1000, targetLatencyMs: 150, priority: 2, maxAttempts: 2, service: plainService, sticky: false, resumable: false }
    fleet.moreRoutes = this.#routes.filter(route => route.droppedAt === Infinity).map(({ path }) => ({ name: `r${path}`, pathPrefix: path, ...plain }))
    fleet.store.put('config', 'main', fleet.table(fleet.store.writeCount + 100))
    return performance.now()
  }

  async #probe (route: ChangingRoute, entry: number): Promise<void> {
    const id = `${this.name}-probe-${this.probes.length}`
    const probe: RouteProbe = { id, route, entry, sentAt: performance.now(), endedAt: Infinity, status: 0 }
    this.probes.push(probe)
    try {
      const { status } = await askFleet(this.fleet, { path: `${route.path}x`, id, entry, agent: this.#agents[entry] as Agent, remainingMs })
      probe.status = status
    } catch {
      // No answer began; nothing is said of routes.
    }
    probe.endedAt = performance.now()
  }
}

const lateBy = (probe: RouteProbe, fault: RouteFault, afterMs: number, boundMs: number): LateChange | undefined =>
  afterMs > boundMs ? { probe, fault, afterMs } : undefined
