/**
 * Admission: matches a request to a route and its API key to a team, by the current routing table.
 *
 * It is checked when a request arrives, before its body is read, and again before each attempt, since a request may wait for
 * seconds and its route or key may be removed meanwhile.
 */
import type { Route, RouteIndex } from '../../table.js'
import type { FleetTeam } from '../../team.js'
import type { Credential } from './credential.js'

export interface Admission {
  type: 'admitted'
  route: Route
  /** The team that the request belongs to; `undefined` where the table has no teams, or on a public route without a known key. */
  team: FleetTeam | undefined
  /** The priority of the team, or else of the route; 0 is the most urgent. */
  priority: number
}

/**
 * Why a request is not admitted. `key_not_known`: it has no key, or one that the table doesn't contain. `keys_not_confirmed`: the
 * table may be too stale to tell whether the key was revoked. `table_not_confirmed`: the table may be too stale to tell whether the
 * route or key was added.
 */
export type Denial = { type: 'denied', reason: FinalDenialReason | 'keys_not_confirmed' | 'table_not_confirmed', route: Route | undefined }

/** Retrying is useless. */
export type FinalDenialReason = 'no_route' | 'key_not_known'

const finalDenials: ReadonlySet<Denial['reason']> = new Set<FinalDenialReason>(['no_route', 'key_not_known'])

export const isFinalDenial = (reason: Denial['reason']): reason is FinalDenialReason => finalDenials.has(reason)

export interface AdmissionRequest {
  host: string
  path: string
  credential: Credential
  /** The table is proven fresh enough to authenticate keys. */
  tableConfirmed: boolean
}

export const admit = (routes: RouteIndex, { host, path, credential, tableConfirmed }: AdmissionRequest): Admission | Denial => {
  const route = routes.find(host, path)
  if (route === undefined) return { type: 'denied', reason: 'no_route', route }
  const team = credential.type === 'key' ? routes.teamOf(credential.hash) : undefined
  const keyed = team !== undefined || (credential.type === 'key' && route.public !== true)
  if (routes.requiresKey && keyed && !tableConfirmed) return { type: 'denied', reason: 'keys_not_confirmed', route }
  if (team === undefined && routes.requiresKey && route.public !== true) return { type: 'denied', reason: 'key_not_known', route }
  return { type: 'admitted', route, team, priority: team?.priority ?? route.priority }
}
