/**
 * Settings: flags and environment variables, validated together by one schema.
 *
 * oclif passes the flags on as strings; only the schema parses them. All errors are reported at once, each with its flag, and the
 * process exits with code 2.
 */
import { Args, Flags, type Interfaces } from '@oclif/core'
import { FailureDomain, ModelName, ProcessId, ServiceName, finding, type Finding, type Serving } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'

export const invalidSettingsExitCode = 2

const port = z.coerce.number().int().min(0).max(65535)
const milliseconds = z.coerce.number().int().nonnegative().max(24 * 60 * 60 * 1000)
const httpOrigin = z.url({ protocol: /^https?$/, error: 'expected http://host:port' }).transform(url => new URL(url).origin)
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: 'expected an IP address' })

/** Checks a rule over several flags even if one of them is invalid, so that all errors are reported together. */
const evenIfInvalid = (): boolean => true

const CommonSettings = {
  process: ProcessId,
  domain: FailureDomain,
  platform: httpOrigin,
  'platform-token': z.string().min(1).optional(),
  host: ipAddress.default('0.0.0.0'),
  'advertise-host': ipAddress.optional(),
  'peer-port': port.default(7400),
  'operator-port': port.default(7401),
  'operator-token-hash': z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 hash in hex'),
  'log-level': z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
  'drain-ms': milliseconds.default(600_000)
}

export const EntrySettings = z.object({
  ...CommonSettings,
  'caller-port': port.default(7402),
  'notice-ms': milliseconds.default(3000),
  'tls-key': z.string().optional(),
  'tls-cert': z.string().optional()
}).refine(settings => (settings['tls-key'] === undefined) === (settings['tls-cert'] === undefined), { path: ['tls-key'], error: 'give tls-key and tls-cert together', when: evenIfInvalid })
export type EntrySettings = z.infer<typeof EntrySettings>

export const SideSettings = z.object({
  ...CommonSettings,
  backend: httpOrigin,
  model: ModelName.optional(),
  service: ServiceName.optional(),
  capacity: z.coerce.number().int().positive().default(64),
  'epoch-ms': milliseconds.default(600_000)
}).refine(settings => (settings.model === undefined) !== (settings.service === undefined), { path: ['model'], error: 'give either model or service', when: evenIfInvalid })
export type SideSettings = z.infer<typeof SideSettings>

export const servingFrom = ({ model, service }: SideSettings): Serving => {
  if (model !== undefined) return { kind: 'model', model }
  if (service !== undefined) return { kind: 'service', service }
  throw new Error('settings without a model or a service passed the schema')
}

const envName = (flag: string): string => `FINCHPITCH_${flag.replaceAll('-', '_').toUpperCase()}`

const stringFlag = (flag: string, description: string): Interfaces.OptionFlag<string | undefined> =>
  Flags.string({ description, env: envName(flag) })

type StringFlags = Record<string, Interfaces.OptionFlag<string | undefined>>

const stringFlags = (descriptions: Record<string, string>): StringFlags =>
  Object.fromEntries(Object.entries(descriptions).map(([flag, description]) => [flag, stringFlag(flag, description)]))

const commonDescriptions = {
  process: 'name of this process, the same after restarts',
  domain: 'failure domain that the process runs in',
  platform: 'URL of the platform\'s API, as http://host:port',
  'platform-token': 'bearer token for the platform\'s API',
  host: 'IP address to listen on (default 0.0.0.0)',
  'advertise-host': 'IP address at which peers reach this process (default: host)',
  'peer-port': 'port for entries and side processes (default 7400; 0: chosen by the operating system)',
  'operator-port': 'port for health checks, metrics and the operators\' API (default 7401)',
  'operator-token-hash': 'SHA-256 hash, in hex, of the operators\' bearer token',
  'log-level': 'trace, debug, info, warn, error or silent (default info)',
  'drain-ms': 'how long a graceful shutdown waits for requests in progress (default 600000)'
}

export const entryFlags = stringFlags({
  ...commonDescriptions,
  'caller-port': 'port for callers (default 7402)',
  'notice-ms': 'how long a graceful shutdown still accepts requests while /readyz fails (default 3000)',
  'tls-key': 'PEM file with the private key for the listeners for callers and operators',
  'tls-cert': 'PEM file with the certificate for the same listeners'
})

export const sideFlags = stringFlags({
  ...commonDescriptions,
  backend: 'URL of the backend server, as http://host:port',
  model: 'base model that the engine serves',
  service: 'plain service that the backend server runs',
  capacity: 'requests that a plain service runs at once (default 64); engines report theirs',
  'epoch-ms': 'length of an epoch; idempotency keys and their responses are kept for one to two epochs (default 600000)'
})

/** The commands take no positional arguments, so oclif reports any as an error. */
export const noArguments: Record<string, ReturnType<typeof Args.string>> = {}

const toFinding = (issue: z.core.$ZodIssue): Finding => {
  const flag = String(issue.path[0] ?? '')
  const missing = issue.code === 'invalid_type' && issue.input === undefined
  return finding('invalid_value', `--${flag} (${envName(flag)})`, missing ? 'is required' : issue.message)
}

/** Validates the values from flags and environment variables. */
export const readSettings = <S extends z.ZodType>(schema: S, flags: Record<string, unknown>): Result<z.infer<S>, Finding[]> => {
  const values = Object.fromEntries(Object.entries(flags).filter(([name]) => name !== 'json'))
  const parsed = schema.safeParse(values, { reportInput: true })
  return parsed.success ? ok(parsed.data) : err(parsed.error.issues.map(toFinding))
}
