/**
 * Adds and removes routes as an operator does, sends requests for them to every entry, and finds those that were handled by an outdated
 * routing table.
 */
import { Agent } from 'node:http'
import { pause } from '@finchpitch/core'
import { sendToFleet } from './caller.js'
import { plainService, type FleetSystem } from './fleet-system.js'

/** The deadline that probes send; plain servers respond within some ms. */
const remainingMs = 1000
const defaultProbeIntervalMs = 25
/** Probes are sent for this many of the most recently added routes, and as many of the most recently removed ones. */
const probedRoutes = 2
const servedStatus = 200
const noRouteStatus = 404
const notRunStatus = 503

/** A route, and when the store acknowledged its addition and its removal, on the monotonic clock. */
interface ChangingRoute {
  path: string
  addedAt: number
  droppedAt: number
}

/** A request for such a route. */
export interface RouteProbe {
  id: string
  route: ChangingRoute
  /** Index of the entry that the request was sent to. */
  entry: number
  sentAt: number
  endedAt: number
  status: number
}

/**
 * `missing`: answered with 404 although the route was added. `dropped`: served although the route was removed. `older`: answered with 404
 * although the entry had served the route before.
 */
export type RouteFault = 'missing' | 'dropped' | 'older'

export interface LateChange {
  probe: RouteProbe
  fault: RouteFault
  /** Time until the probe was sent, from the store's acknowledgement, or for `older` from the entry's first response that served the route. */
  afterMs: number
}

export class RouteChanges {
  readonly #routes: ChangingRoute[] = []
  readonly #agents: Agent[]
  readonly probes: RouteProbe[] = []

  /** `name` distinguishes the routes and requests of one operator from those of others. */
  constructor (private readonly fleet: FleetSystem, private readonly name: string, private readonly probeIntervalMs = defaultProbeIntervalMs) {
    this.#agents = fleet.entries.map(() => new Agent({ keepAlive: true, maxSockets: 40 }))
  }

  add (): void {
    const path = `/${this.name}-${this.#routes.length}/`
    const route = { path, addedAt: Infinity, droppedAt: Infinity }
    this.#routes.push(route)
    route.addedAt = this.#apply()
  }

  /** Removes the oldest existing route. */
  drop (): void {
    const oldest = this.#routes.find(route => route.droppedAt === Infinity)
    if (oldest === undefined) return
    oldest.droppedAt = -Infinity
    oldest.droppedAt = this.#apply()
  }

  /** Sends probes to every entry until `signal` aborts; resolves once all have been answered. */
  async ask (signal: AbortSignal): Promise<void> {
    const probes: Array<Promise<void>> = []
    while (!signal.aborted) {
      for (const entry of this.fleet.entries.keys()) for (const route of this.#routesToProbe()) probes.push(this.#probe(route, entry))
      await pause(this.probeIntervalMs)
    }
    await Promise.all(probes)
  }

  /**
   * Returns the probes that were sent more than `applyMs` after a change was acknowledged and handled as before it, and those that an entry
   * answered with 404 more than `slackMs` after it had first served the route.
   */
  lateChanges (applyMs: number, slackMs: number): LateChange[] {
    return this.probes.flatMap(probe => this.#lateness(probe, applyMs, slackMs) ?? [])
  }

  /** Returns the probes with status 503, not run, for an existing route that was added more than `applyMs` before they were sent. */
  refused (applyMs: number): RouteProbe[] {
    return this.probes.filter(({ route, status, sentAt, endedAt }) => status === notRunStatus && sentAt - route.addedAt > applyMs && endedAt < route.droppedAt)
  }

  close (): void {
    for (const agent of this.#agents) agent.destroy()
  }

  #routesToProbe (): ChangingRoute[] {
    const existing = this.#routes.filter(route => route.droppedAt === Infinity)
    const removed = this.#routes.filter(route => Number.isFinite(route.droppedAt))
    return [...existing.slice(-probedRoutes), ...removed.slice(-probedRoutes)]
  }

  #lateness (probe: RouteProbe, applyMs: number, slackMs: number): LateChange | undefined {
    const { route, status, sentAt, endedAt } = probe
    if (status === servedStatus) return lateChange(probe, 'dropped', sentAt - route.droppedAt, applyMs)
    if (status !== noRouteStatus || endedAt > route.droppedAt) return undefined
    return lateChange(probe, 'missing', sentAt - route.addedAt, applyMs) ?? lateChange(probe, 'older', sentAt - this.#servedAt(probe), slackMs)
  }

  /** When the entry's first response that served the route was received; `Infinity` if there is none. */
  #servedAt ({ route, entry }: RouteProbe): number {
    const times = this.probes.filter(each => each.route === route && each.entry === entry && each.status === servedStatus)
    return Math.min(...times.map(({ endedAt }) => endedAt))
  }

  /** Writes the routing table with the existing routes to the store. Returns the time of the acknowledgement. */
  #apply (): number {
    const { fleet } = this
    const plain = { host: 'fleet.example', kind: 'idempotent', timeoutMs: 1000, targetLatencyMs: 150, priority: 2, maxAttempts: 2, service: plainService, sticky: false, resumable: false }
    fleet.extraRoutes = this.#routes.filter(route => route.droppedAt === Infinity).map(({ path }) => ({ name: `r${path}`, pathPrefix: path, ...plain }))
    fleet.store.put('config', 'main', fleet.table(fleet.store.writeCount + 100))
    return performance.now()
  }

  async #probe (route: ChangingRoute, entry: number): Promise<void> {
    const id = `${this.name}-probe-${this.probes.length}`
    const probe: RouteProbe = { id, route, entry, sentAt: performance.now(), endedAt: Infinity, status: 0 }
    this.probes.push(probe)
    try {
      const { status } = await sendToFleet(this.fleet, { path: `${route.path}x`, id, entry, agent: this.#agents[entry] as Agent, remainingMs })
      probe.status = status
    } catch {
      // No response began, so the probe says nothing about routes.
    }
    probe.endedAt = performance.now()
  }
}

const lateChange = (probe: RouteProbe, fault: RouteFault, afterMs: number, boundMs: number): LateChange | undefined =>
  afterMs > boundMs ? { probe, fault, afterMs } : undefined
