/**
 * Who may ask for what, by the routing table in force: plain functions.
 *
 * They are asked when a request arrives, before its body is read, and again at each sending, since a request may wait for
 * seconds and a route or a key may go meanwhile.
 */
import type { Route, RouteIndex } from '../table.js'
import type { FleetTeam } from '../team.js'
import type { Credential } from './identity.js'

export interface Admitted {
  type: 'admitted'
  route: Route
  /** Whose request it is; `undefined` where the table knows no teams, or on a public route that needs no key. */
  team: FleetTeam | undefined
  /** The team's priority, else the route's; 0 is the most urgent. */
  priority: number
}

/**
 * Why a request may not be sent. `key_not_known`: none came, or one that the table doesn't hold. It can't be known now, with
 * `keys_not_confirmed`, whether the table still holds it; with `table_not_confirmed`, whether there is such a route or key by now.
 */
export type Denial = { type: 'denied', reason: FinalDenial | 'keys_not_confirmed' | 'table_not_confirmed', route: Route | undefined }

/** Asking again is of no use. */
export type FinalDenial = 'no_route' | 'key_not_known'

const finalDenials: ReadonlySet<Denial['reason']> = new Set<FinalDenial>(['no_route', 'key_not_known'])

export const isFinalDenial = (reason: Denial['reason']): reason is FinalDenial => finalDenials.has(reason)

export interface Asking {
  host: string
  path: string
  credential: Credential
  /** It is known that the table is new enough to say who holds a key. */
  confirmed: boolean
}

export const admit = (routes: RouteIndex, { host, path, credential, confirmed }: Asking): Admitted | Denial => {
  const route = routes.find(host, path)
  if (route === undefined) return { type: 'denied', reason: 'no_route', route }
  const team = credential.type === 'key' ? routes.teamOf(credential.hash) : undefined
  const keyed = team !== undefined || (credential.type === 'key' && route.public !== true)
  if (routes.keyed && keyed && !confirmed) return { type: 'denied', reason: 'keys_not_confirmed', route }
  if (team === undefined && routes.keyed && route.public !== true) return { type: 'denied', reason: 'key_not_known', route }
  return { type: 'admitted', route, team, priority: team?.priority ?? route.priority }
}
