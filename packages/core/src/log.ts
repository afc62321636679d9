/**
 * Logging as one JSON object per line, through `loglevel`, so that the level can be changed at run time.
 */
import loglevel from 'loglevel'
import type { LineSink } from './line-sink.js'

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent'
export type LogFields = Record<string, unknown>

const standardError: LineSink = { write: line => { process.stderr.write(`${line}\n`) } }

/** Names of fields that are never logged, since they may hold secrets or callers' data. */
const redactedFields = new Set(['authorization', 'token', 'secret', 'body'])

/** Removes the redacted fields. Most lines have none and are returned without a copy. */
const redact = (fields: LogFields): LogFields => {
  for (const key in fields) {
    if (redactedFields.has(key.toLowerCase())) return Object.fromEntries(Object.entries(fields).filter(([each]) => !redactedFields.has(each.toLowerCase())))
  }
  return fields
}

export class Log {
  readonly #logger: loglevel.Logger
  readonly #fixed: LogFields

  constructor (readonly name: string, fixed: LogFields = {}, level: LogLevel = 'info', private readonly sink: LineSink = standardError) {
    this.#fixed = redact(fixed)
    this.#logger = loglevel.getLogger(name)
    this.#logger.methodFactory = methodName => (event: string, fields: LogFields) => {
      this.sink.write(JSON.stringify({ at: new Date().toISOString(), level: methodName, event, ...this.#fixed, ...redact(fields) }))
    }
    this.#logger.setLevel(level, false)
  }

  /** A logger that adds these fields to each line. */
  child (fields: LogFields): Log {
    return new Log(this.name, { ...this.#fixed, ...fields }, this.level, this.sink)
  }

  get level (): LogLevel {
    const levels: LogLevel[] = ['trace', 'debug', 'info', 'warn', 'error', 'silent']
    return levels[this.#logger.getLevel()] ?? 'info'
  }

  set level (level: LogLevel) {
    this.#logger.setLevel(level, false)
  }

  debug (event: string, fields: LogFields = {}): void {
    this.#logger.debug(event, fields)
  }

  info (event: string, fields: LogFields = {}): void {
    this.#logger.info(event, fields)
  }

  warn (event: string, fields: LogFields = {}): void {
    this.#logger.warn(event, fields)
  }

  error (event: string, fields: LogFields = {}): void {
    this.#logger.error(event, fields)
  }
}

export const silentLog = new Log('quiet', {}, 'silent')
