/**
 * The routing table: the routes that callers may request, and the services that handle them. One version is in force at a time
 * and is replaced as a whole.
 */
import * as z from 'zod'
import { FleetTeam, type KeyHash } from './team.js'

/** Whether a request may be retried: `repeatable` always, `once` never, `stream` only if it is resumable. */
export const RouteKind = z.enum(['repeatable', 'once', 'stream'])
export type RouteKind = z.infer<typeof RouteKind>

export const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: RouteKind,
  /** Maximum time from a request's arrival to its final response. */
  timeoutMs: z.number().positive(),
  /** Latency objective: time to the response, or to the first event of a stream. */
  objectiveMs: z.number().positive(),
  /** Callers of a stream disconnect after this long without an event, including the first one; absent if unknown. */
  patienceMs: z.number().positive().optional(),
  /** 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Maximum number of backend servers that one request may be sent to. */
  maxAttempts: z.number().int().positive(),
  resumable: z.boolean(),
  /** Whether requests need no API key. */
  public: z.boolean().optional(),
  targets: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).min(1)
})
export type Route = z.infer<typeof Route>

/** A base model that the engines of a service may load. */
export const BaseModel = z.object({
  name: z.string(),
  memoryMb: z.number().nonnegative(),
  adapterMemoryMb: z.number().nonnegative()
})
export type BaseModel = z.infer<typeof BaseModel>

export const EngineSpec = z.object({
  /** Requests that one engine runs concurrently. */
  batchSize: z.number().int().positive(),
  adapterSlots: z.number().int().nonnegative(),
  weightMemoryMb: z.number().nonnegative(),
  /** Maximum rate of loads from the weight store, over all engines of the service. */
  loadsPerSecond: z.number().positive(),
  models: z.array(BaseModel)
})
export type EngineSpec = z.infer<typeof EngineSpec>

export const FleetService = z.object({
  name: z.string(),
  /** Maximum connections to one backend server, over all callers together. */
  maxConnections: z.number().int().positive(),
  /** Path of a request that a backend server answers with its id; absent if there is none. */
  healthPath: z.string().optional(),
  /** Present if the backend servers are model engines. */
  engine: EngineSpec.optional()
})
export type FleetService = z.infer<typeof FleetService>

/** Size limits of callers' requests, and their timeouts. */
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
  /** Absent if callers need no API key. */
  teams: z.array(FleetTeam).optional(),
  limits: CallerLimits
})
export type RoutingTable = z.infer<typeof RoutingTable>

/** A routing table indexed for lookup. */
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

  /** The host's route with the longest matching path prefix. */
  find (host: string, path: string): Route | undefined {
    return this.#routes.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix))
  }

  service (name: string): FleetService | undefined {
    return this.#services.get(name)
  }

  /** Whether callers need an API key. */
  get requiresKey (): boolean {
    return this.table.teams !== undefined
  }

  team (name: string): FleetTeam | undefined {
    return this.table.teams?.find(team => team.name === name)
  }

  /** The team that owns the key. */
  teamOf (key: KeyHash): FleetTeam | undefined {
    return this.#teams.get(key)
  }
}
