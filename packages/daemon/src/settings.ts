/**
 * Settings: flags and environment variables, checked together by one schema.
 *
 * Flags reach the schema as they were written. Every fault is reported with its flag, all at once, and the process
 * ends with exit code 2.
 */
import { Args, Flags, type Interfaces } from '@oclif/core'
import { FailureDomain, ModelName, ProcessId, ServiceName, finding, type Finding, type Serving } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'

export const invalidSettingsExit = 2

const port = z.coerce.number().int().min(0).max(65535)
const milliseconds = z.coerce.number().int().nonnegative().max(24 * 60 * 60 * 1000)
const httpOrigin = z.url({ protocol: /^https?$/, error: 'expected http://host:port' }).transform(url => new URL(url).origin)
const ipNumber = z.union([z.ipv4(), z.ipv6()], { error: 'expected an IP number' })

/** A rule over several flags is checked also when one of them is at fault, so that all is reported together. */
const always = (): boolean => true

const Common = {
  process: ProcessId,
  domain: FailureDomain,
  platform: httpOrigin,
  'platform-token': z.string().min(1).optional(),
  host: ipNumber.default('0.0.0.0'),
  'advertise-host': ipNumber.optional(),
  'peer-port': port.default(7400),
  'operator-port': port.default(7401),
  'operator-token-hash': z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 in hex'),
  'log-level': z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
  'drain-ms': milliseconds.default(600_000)
}

export const EntrySettings = z.object({
  ...Common,
  'caller-port': port.default(7402),
  'notice-ms': milliseconds.default(3000),
  'tls-key': z.string().optional(),
  'tls-cert': z.string().optional()
}).refine(each => (each['tls-key'] === undefined) === (each['tls-cert'] === undefined), { path: ['tls-key'], error: 'give tls-key and tls-cert together', when: always })
export type EntrySettings = z.infer<typeof EntrySettings>

export const SideSettings = z.object({
  ...Common,
  backend: httpOrigin,
  model: ModelName.optional(),
  service: ServiceName.optional(),
  capacity: z.coerce.number().int().positive().default(64),
  'epoch-ms': milliseconds.default(600_000)
}).refine(each => (each.model === undefined) !== (each.service === undefined), { path: ['model'], error: 'give either model or service', when: always })
export type SideSettings = z.infer<typeof SideSettings>

export const servingFrom = ({ model, service }: SideSettings): Serving => {
  if (model !== undefined) return { kind: 'model', model }
  if (service !== undefined) return { kind: 'service', service }
  throw new Error('the schema asks for a model or a service')
}

const envName = (flag: string): string => `FINCHPITCH_${flag.replaceAll('-', '_').toUpperCase()}`

const text = (flag: string, description: string): Interfaces.OptionFlag<string | undefined> =>
  Flags.string({ description, env: envName(flag) })

type FlagTable = Record<string, Interfaces.OptionFlag<string | undefined>>

const flagTable = (descriptions: Record<string, string>): FlagTable =>
  Object.fromEntries(Object.entries(descriptions).map(([flag, description]) => [flag, text(flag, description)]))

const commonDescriptions = {
  process: 'this process\'s name, kept over restarts',
  domain: 'the failure domain it runs in',
  platform: 'the platform\'s API, as http://host:port',
  'platform-token': 'bearer token for the platform',
  host: 'IP number to listen on (default 0.0.0.0)',
  'advertise-host': 'IP number that peers reach this process by (default: host)',
  'peer-port': 'port for the system\'s own processes (default 7400; 0: the system chooses)',
  'operator-port': 'port for health, metrics and operators (default 7401)',
  'operator-token-hash': 'SHA-256, in hex, of the operators\' bearer token',
  'log-level': 'trace, debug, info, warn, error or silent (default info)',
  'drain-ms': 'how long a planned stop waits for requests in progress (default 600000)'
}

export const entryFlags = flagTable({
  ...commonDescriptions,
  'caller-port': 'port for callers (default 7402)',
  'notice-ms': 'how long a planned stop goes on taking requests while /readyz says no (default 3000)',
  'tls-key': 'PEM file with the key for the callers\' and operators\' listeners',
  'tls-cert': 'PEM file with the certificate for them'
})

export const sideFlags = flagTable({
  ...commonDescriptions,
  backend: 'the backend server, as http://host:port',
  model: 'the base model that the engine serves',
  service: 'the plain service that the backend server is',
  capacity: 'requests that a plain service runs at once (default 64); engines say it themselves',
  'epoch-ms': 'length of a key window; answers to keys are kept for one to two (default 600000)'
})

/** No command takes arguments; a stray one is an error. */
export const noArguments: Record<string, ReturnType<typeof Args.string>> = {}

const toFinding = (issue: z.core.$ZodIssue): Finding => {
  const flag = String(issue.path[0] ?? '')
  const missing = issue.code === 'invalid_type' && issue.input === undefined
  return finding('invalid_value', `--${flag} (${envName(flag)})`, missing ? 'is required' : issue.message)
}

/** Checks what the flags and the environment gave. */
export const readSettings = <S extends z.ZodType>(schema: S, flags: Record<string, unknown>): Result<z.infer<S>, Finding[]> => {
  const given = Object.fromEntries(Object.entries(flags).filter(([name]) => name !== 'json'))
  const parsed = schema.safeParse(given, { reportInput: true })
  return parsed.success ? ok(parsed.data) : err(parsed.error.issues.map(toFinding))
}
