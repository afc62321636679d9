/**
 * Extracts the API key of a request.
 *
 * A request with two different keys is treated as having an invalid one: another component that reads the request
 * could pick either of them.
 */
import type { IncomingMessage } from 'node:http'
import type { HeaderNames } from '../../ports.js'
import { hashKey, type KeyHash } from '../../team.js'
import { headerPairs } from './caller-response.js'

/** `invalid`: the header is there, but is malformed or ambiguous. */
export type Credential = { type: 'none' } | { type: 'invalid' } | { type: 'key', hash: KeyHash }

/** `SCHEME KEY`; the scheme is case-insensitive. */
const schemeAndKey = /^\s*(\S+)\s+(\S+)\s*$/

export const credentialOf = (message: IncomingMessage, names: HeaderNames): Credential => {
  const values = distinctValues(message, names.key)
  const [first] = values
  if (first === undefined) return { type: 'none' }
  const [, scheme, key] = schemeAndKey.exec(first) ?? []
  if (values.size > 1 || key === undefined || scheme?.toLowerCase() !== names.keyScheme) return { type: 'invalid' }
  return { type: 'key', hash: hashKey(key) }
}

/** All distinct values of a header of which Node keeps only the first in `headers`. `name` must be in lower case. */
const distinctValues = (message: IncomingMessage, name: string): Set<string> => {
  const values = new Set<string>()
  for (const [headerName, value] of headerPairs(message.rawHeaders)) if (headerName.toLowerCase() === name) values.add(value)
  return values
}
