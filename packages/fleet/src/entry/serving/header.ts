/**
 * Reads a header of an HTTP message.
 */
import type { IncomingMessage } from 'node:http'

/** The value of a header, or the first value of a repeated one. `name` must be in lower case. */
export const headerOf = (message: IncomingMessage, name: string): string | undefined => {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}
