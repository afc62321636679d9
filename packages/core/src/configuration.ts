/**
 * The configuration that operators declare, as a schema and the types derived from it.
 *
 * Validation does not stop at the first error. It reports all violations of the schema or, if there are none, all
 * duplicate names and all references to teams, models and versions that are not declared.
 */
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { finding, findingsOf, type Finding } from './finding.js'
import { AdapterName, AdapterVersion, AliasName, ModelName, ServiceName, TeamName } from './id.js'

const defaultWeight = 1
const defaultRate = 1000
const defaultConcurrency = 500

export const Limits = z.strictObject({
  /** Requests per second that one entry admits for the team. */
  rate: z.number().positive().default(defaultRate),
  /** Maximum number of concurrent requests of the team at one entry. */
  concurrency: z.number().int().positive().default(defaultConcurrency)
})

export const Team = z.strictObject({
  name: TeamName,
  /** SHA-256 of each bearer token, in hex. There are several while a token is being rotated. */
  tokens: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 in hex')).max(4),
  /** Weight of the team in weighted fair queueing. */
  weight: z.number().positive().default(defaultWeight),
  limits: Limits.default({ rate: defaultRate, concurrency: defaultConcurrency })
})
export type Team = z.infer<typeof Team>

export const Model = z.strictObject({
  name: ModelName,
  /** Whether its engines refuse orders with an outdated fencing token. */
  checksFences: z.boolean().default(true)
})
export type Model = z.infer<typeof Model>

export const Service = z.strictObject({
  name: ServiceName,
  teams: z.array(TeamName).min(1),
  checksFences: z.boolean().default(false),
  /** Reply to a non-idempotent request while the store is down: a refusal, or a ticket with which the caller can retry. */
  onStoreOutage: z.enum(['refuse', 'ticket']).default('refuse')
})
export type Service = z.infer<typeof Service>

export const Adapter = z.strictObject({
  team: TeamName,
  name: AdapterName,
  model: ModelName,
  versions: z.array(z.strictObject({ version: AdapterVersion, source: z.string().min(1).max(500) })).min(1),
  aliases: z.record(AliasName, AdapterVersion).default({}),
  /** The alias or version used for requests that name neither. */
  default: z.string().min(1)
})
export type Adapter = z.infer<typeof Adapter>

export const Configuration = z.strictObject({
  teams: z.array(Team).default([]),
  models: z.array(Model).default([]),
  services: z.array(Service).default([]),
  adapters: z.array(Adapter).default([])
})
export type Configuration = z.infer<typeof Configuration>

export const adapterId = (adapter: { team: string, name: string }): string => `${adapter.team}/${adapter.name}`

const duplicates = (path: string, names: string[]): Finding[] => {
  const seen = new Set<string>()
  return names.flatMap((name, index) => {
    if (seen.has(name)) return [finding('duplicate_name', `${path}.${index}`, name)]
    seen.add(name)
    return []
  })
}

const checkAdapter = (adapter: Adapter, path: string, teams: Set<string>, models: Set<string>): Finding[] => {
  const findings: Finding[] = []
  const versions = new Set<string>(adapter.versions.map(each => each.version))
  if (!teams.has(adapter.team)) findings.push(finding('unknown_team', `${path}.team`, adapter.team))
  if (!models.has(adapter.model)) findings.push(finding('unknown_model', `${path}.model`, adapter.model))
  findings.push(...duplicates(`${path}.versions`, adapter.versions.map(each => each.version)))
  for (const [alias, version] of Object.entries(adapter.aliases)) {
    if (!versions.has(version)) findings.push(finding('unknown_version', `${path}.aliases.${alias}`, version))
    if (versions.has(alias)) findings.push(finding('duplicate_name', `${path}.aliases.${alias}`, `${alias} (a version's name)`))
  }
  const isKnown = versions.has(adapter.default) || adapter.default in adapter.aliases
  if (!isKnown) findings.push(finding('unknown_version', `${path}.default`, adapter.default))
  return findings
}

const checkReferences = (configuration: Configuration): Finding[] => {
  const teams = new Set<string>(configuration.teams.map(team => team.name))
  const models = new Set<string>(configuration.models.map(model => model.name))
  return [
    ...duplicates('teams', configuration.teams.map(team => team.name)),
    ...duplicates('models', configuration.models.map(model => model.name)),
    ...duplicates('services', configuration.services.map(service => service.name)),
    ...duplicates('adapters', configuration.adapters.map(adapterId)),
    ...configuration.services.flatMap((service, index) => service.teams
      .filter(team => !teams.has(team))
      .map(team => finding('unknown_team', `services.${index}.teams`, team))),
    ...configuration.adapters.flatMap((adapter, index) => checkAdapter(adapter, `adapters.${index}`, teams, models))
  ]
}

/** Validates a document. Returns the parsed configuration, or all findings with their paths. */
export const validateConfiguration = (document: unknown): Result<Configuration, Finding[]> => {
  const parsed = Configuration.safeParse(document)
  if (!parsed.success) return err(findingsOf(parsed.error))
  const findings = checkReferences(parsed.data)
  return findings.length === 0 ? ok(parsed.data) : err(findings)
}

/** Resolves a version, an alias or, if neither is given, the default to an exact version; `undefined` if it is not declared. */
export const resolveVersion = (adapter: Adapter, requested: string | undefined): AdapterVersion | undefined => {
  const name = requested ?? adapter.default
  const resolved = Object.hasOwn(adapter.aliases, name) ? adapter.aliases[name as AliasName] : name
  return adapter.versions.find(each => each.version === resolved)?.version
}
