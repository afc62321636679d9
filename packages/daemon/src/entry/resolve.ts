/**
 * Authenticates a caller's request and resolves it to an exact target, at one revision of the configuration.
 *
 * This is the only place where an alias is resolved to its version. A team without access to something gets the same error as if
 * it did not exist.
 */
import { notRun, resolveVersion, type Failure, type Target, type Team, type Work } from '@finchpitch/core'
import type { CallerRequest, RequestTarget } from '@finchpitch/callers'
import type { Catalog } from '@finchpitch/store'
import { err, ok, type Result } from 'neverthrow'

export interface ResolvedRequest {
  team: Team
  work: Work
}

type TargetResolver<A extends RequestTarget> = (requested: A, team: Team, catalog: Catalog) => Result<Target, Failure>

const resolveAdapter: TargetResolver<Extract<RequestTarget, { kind: 'adapter' }>> = (requested, team, catalog) => {
  const adapter = requested.team === team.name ? catalog.adapter(requested.team, requested.adapter) : undefined
  if (adapter === undefined) return err(notRun('unknown_adapter', { detail: `${requested.team}/${requested.adapter}` }))
  const version = resolveVersion(adapter, requested.version)
  const found = adapter.versions.find(each => each.version === version)
  if (found === undefined) return err(notRun('unknown_version', { detail: `${requested.team}/${requested.adapter}@${requested.version ?? ''}` }))
  return ok({ kind: 'adapter', team: adapter.team, adapter: adapter.name, version: found.version, model: adapter.model, source: found.source })
}

const resolveService: TargetResolver<Extract<RequestTarget, { kind: 'service' }>> = (requested, team, catalog) => {
  const service = catalog.service(requested.service)
  if (service === undefined || !service.teams.includes(team.name)) return err(notRun('unknown_service', { detail: requested.service }))
  return ok({ kind: 'service', service: service.name })
}

const targetOf = (requested: RequestTarget, team: Team, catalog: Catalog): Result<Target, Failure> =>
  requested.kind === 'adapter' ? resolveAdapter(requested, team, catalog) : resolveService(requested, team, catalog)

export const resolveRequest = (request: CallerRequest, catalog: Catalog): Result<ResolvedRequest, Failure> => {
  if (catalog.head === undefined) return err(notRun('not_ready', { retryAfterMs: 1000 }))
  const team = request.token === undefined ? undefined : catalog.teamOfToken(request.token)
  if (team === undefined) return err(notRun('unauthenticated'))
  return targetOf(request.target, team, catalog).map(target => ({
    team,
    work: { id: request.id, team: team.name, class: request.class, patienceMs: request.patienceMs, revision: catalog.revision, target, call: request.call }
  }))
}
