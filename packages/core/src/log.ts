/**
 * Logs: one JSON object a line, through `loglevel`, so the level can change at run time.
 */
import loglevel from 'loglevel'
import type { LineSink } from './line-sink.js'

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent'
export type LogFields = Record<string, unknown>

const standardError: LineSink = { write: line => { process.stderr.write(`${line}\n`) } }

const hidden = new Set(['authorization', 'token', 'secret', 'body'])

/** Most lines hide nothing, and are passed on without a copy. */
const shown = (fields: LogFields): LogFields => {
  for (const key in fields) {
    if (hidden.has(key.toLowerCase())) return Object.fromEntries(Object.entries(fields).filter(([each]) => !hidden.has(each.toLowerCase())))
  }
  return fields
}

export class Log {
  readonly #logger: loglevel.Logger

  constructor (readonly name: string, private readonly fixed: LogFields = {}, level: LogLevel = 'info', private readonly sink: LineSink = standardError) {
    this.#logger = loglevel.getLogger(name)
    this.#logger.methodFactory = methodName => (event: string, fields: LogFields = {}) => {
      const line = { at: new Date().toISOString(), level: methodName, event, ...fields }
      this.sink.write(JSON.stringify(line))
    }
    this.#logger.setLevel(level, false)
  }

  /** The same log with more fields on each line. */
  with (fields: LogFields): Log {
    return new Log(this.name, { ...this.fixed, ...fields }, this.level, this.sink)
  }

  get level (): LogLevel {
    const levels: LogLevel[] = ['trace', 'debug', 'info', 'warn', 'error', 'silent']
    return levels[this.#logger.getLevel()] ?? 'info'
  }

  set level (level: LogLevel) {
    this.#logger.setLevel(level, false)
  }

  debug (event: string, fields: LogFields = {}): void {
    this.#logger.debug(event, shown({ ...this.fixed, ...fields }))
  }

  info (event: string, fields: LogFields = {}): void {
    this.#logger.info(event, shown({ ...this.fixed, ...fields }))
  }

  warn (event: string, fields: LogFields = {}): void {
    this.#logger.warn(event, shown({ ...this.fixed, ...fields }))
  }

  error (event: string, fields: LogFields = {}): void {
    this.#logger.error(event, shown({ ...this.fixed, ...fields }))
  }
}

export const quietLog = new Log('quiet', {}, 'silent')
