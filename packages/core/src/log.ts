/**
 * Logs: one JSON object a line on standard error, through `loglevel`, so the level can change at run time.
 */
import loglevel from 'loglevel'

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent'
export type LogFields = Record<string, unknown>

const hidden = new Set(['authorization', 'token', 'secret', 'body'])

const shown = (fields: LogFields): LogFields =>
  Object.fromEntries(Object.entries(fields).filter(([key]) => !hidden.has(key.toLowerCase())))

export class Log {
  readonly #logger: loglevel.Logger

  constructor (readonly name: string, private readonly fixed: LogFields = {}, level: LogLevel = 'info') {
    this.#logger = loglevel.getLogger(name)
    this.#logger.methodFactory = methodName => (event: string, fields: LogFields = {}) => {
      const line = { at: new Date().toISOString(), level: methodName, event, ...fields }
      process.stderr.write(JSON.stringify(line) + '\n')
    }
    this.#logger.setLevel(level, false)
  }

  /** The same log with more fields on each line. */
  with (fields: LogFields): Log {
    return new Log(this.name, { ...this.fixed, ...fields }, this.level)
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
