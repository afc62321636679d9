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

type TargetResolver<A extends RequestTarget> = (asked: A, team: Team, catalog: Catalog) => Result<Target, Failure>

const resolveAdapter: TargetResolver<Extract<RequestTarget, { kind: 'adapter' }>> = (asked, team, catalog) => {
  const adapter = asked.team === team.name ? catalog.adapter(asked.team, asked.adapter) : undefined
  if (adapter === undefined) return err(notRun('unknown_adapter', { detail: `${asked.team}/${asked.adapter}` }))
  const version = resolveVersion(adapter, asked.version)
  const found = adapter.versions.find(each => each.version === version)
  if (found === undefined) return err(notRun('unknown_version', { detail: `${asked.team}/${asked.adapter}@${asked.version ?? ''}` }))
  return ok({ kind: 'adapter', team: adapter.team, adapter: adapter.name, version: found.version, model: adapter.model, source: found.source })
}

const resolveService: TargetResolver<Extract<RequestTarget, { kind: 'service' }>> = (asked, team, catalog) => {
  const service = catalog.service(asked.service)
  if (service === undefined || !service.teams.includes(team.name)) return err(notRun('unknown_service', { detail: asked.service }))
  return ok({ kind: 'service', service: service.name })
}

const targetOf = (asked: RequestTarget, team: Team, catalog: Catalog): Result<Target, Failure> =>
  asked.kind === 'adapter' ? resolveAdapter(asked, team, catalog) : resolveService(asked, team, catalog)

export const resolveRequest = (ask: CallerRequest, catalog: Catalog): Result<ResolvedRequest, Failure> => {
  if (catalog.head === undefined) return err(notRun('not_ready', { retryAfterMs: 1000 }))
  const team = ask.token === undefined ? undefined : catalog.teamOfToken(ask.token)
  if (team === undefined) return err(notRun('unauthenticated'))
  return targetOf(ask.target, team, catalog).map(target => ({
    team,
    work: { id: ask.id, team: team.name, class: ask.class, patienceMs: ask.patienceMs, revision: catalog.revision, target, call: ask.call }
  }))
}
