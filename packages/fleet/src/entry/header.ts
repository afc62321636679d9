/**
 * One header of a message.
 */
import type { IncomingMessage } from 'node:http'

/** Its value, the first where it came more than once. `name` is in lower case. */
export const headerOf = (message: IncomingMessage, name: string): string | undefined => {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}
