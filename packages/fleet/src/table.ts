/**
 * The routing table: what callers may ask for, and which service answers it. One version is in force at a time
 * and is replaced whole.
 */
import * as z from 'zod'
import { FleetTeam, type KeyHash } from './team.js'

/** What may be done again: `repeatable` freely, `once` never; a `stream` is `once` unless it may be resumed. */
export const RouteKind = z.enum(['repeatable', 'once', 'stream'])
export type RouteKind = z.infer<typeof RouteKind>

export const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: RouteKind,
  /** Longest time from arrival to a final answer. */
  timeoutMs: z.number().positive(),
  /** Latency objective: to the answer, or to the first event of a stream. */
  objectiveMs: z.number().positive(),
  /** Callers of a stream leave after this long without an event, the first one included; absent where that isn't known. */
  patienceMs: z.number().positive().optional(),
  /** 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Backend servers that one request may run on. */
  maxAttempts: z.number().int().positive(),
  resumable: z.boolean(),
  /** Needs no key. */
  public: z.boolean().optional(),
  targets: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).min(1)
})
export type Route = z.infer<typeof Route>

/** A base model as the engines of a service may hold it. */
export const BaseModel = z.object({
  name: z.string(),
  memoryMb: z.number().nonnegative(),
  adapterMemoryMb: z.number().nonnegative()
})
export type BaseModel = z.infer<typeof BaseModel>

export const EngineSpec = z.object({
  /** Requests that one engine runs at once. */
  batchSize: z.number().int().positive(),
  adapterSlots: z.number().int().nonnegative(),
  weightMemoryMb: z.number().nonnegative(),
  /** Loads from the weight store a second, over all engines of the service. */
  loadsPerSecond: z.number().positive(),
  models: z.array(BaseModel)
})
export type EngineSpec = z.infer<typeof EngineSpec>

export const FleetService = z.object({
  name: z.string(),
  /** Connections that one backend server takes from all callers together. */
  maxConnections: z.number().int().positive(),
  /** Present where the backend servers are model engines. */
  engine: EngineSpec.optional()
})
export type FleetService = z.infer<typeof FleetService>

/** What a caller may send and how long it may rest. */
export const CallerLimits = z.object({
  headerBytes: z.number().positive(),
  bodyBytes: z.number().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive()
})
export type CallerLimits = z.infer<typeof CallerLimits>

export const RoutingTable = z.object({
  version: z.number(),
  routes: z.array(Route),
  services: z.array(FleetService),
  /** Absent where callers need no key. */
  teams: z.array(FleetTeam).optional(),
  limits: CallerLimits
})
export type RoutingTable = z.infer<typeof RoutingTable>

/** A routing table arranged for look-up. */
export class RouteIndex {
  readonly #routes = new Map<string, Route[]>()
  readonly #services: Map<string, FleetService>
  readonly #teams = new Map<KeyHash, FleetTeam>()

  constructor (readonly table: RoutingTable) {
    this.#services = new Map(table.services.map(service => [service.name, service]))
    for (const team of table.teams ?? []) for (const key of team.keys) this.#teams.set(key, team)
    for (const route of table.routes) {
      const key = route.host.toLowerCase()
      const sameHost = this.#routes.get(key) ?? []
      sameHost.push(route)
      this.#routes.set(key, sameHost)
    }
    for (const sameHost of this.#routes.values()) sameHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  }

  /** The route whose prefix is the longest one that begins the path. */
  find (host: string, path: string): Route | undefined {
    return this.#routes.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix))
  }

  service (name: string): FleetService | undefined {
    return this.#services.get(name)
  }

  /** Callers need a key. */
  get keyed (): boolean {
    return this.table.teams !== undefined
  }

  team (name: string): FleetTeam | undefined {
    return this.table.teams?.find(team => team.name === name)
  }

  /** The team that holds the key. */
  teamOf (key: KeyHash): FleetTeam | undefined {
    return this.#teams.get(key)
  }
}
