/**
 * The key that came with a request.
 *
 * Two different keys on one request are none: which of them another reader of the request would take can't be known.
 */
import type { IncomingMessage } from 'node:http'
import type { HeaderNames } from '../ports.js'
import { hashKey, type KeyHash } from '../team.js'
import { headerPairs } from './delivery.js'

/** `invalid`: something came that is no key. */
export type Credential = { type: 'none' } | { type: 'invalid' } | { type: 'key', hash: KeyHash }

/** `SCHEME KEY`, the scheme in any case. */
const schemeAndKey = /^\s*(\S+)\s+(\S+)\s*$/

export const credentialOf = (message: IncomingMessage, names: HeaderNames): Credential => {
  const sent = distinctValues(message, names.key)
  const [first] = sent
  if (first === undefined) return { type: 'none' }
  const [, scheme, key] = schemeAndKey.exec(first) ?? []
  if (sent.size > 1 || key === undefined || scheme?.toLowerCase() !== names.keyScheme) return { type: 'invalid' }
  return { type: 'key', hash: hashKey(key) }
}

/** All values of a header that the runtime would otherwise cut down to the first. `name` is in lower case. */
const distinctValues = (message: IncomingMessage, name: string): Set<string> => {
  const values = new Set<string>()
  for (const [each, value] of headerPairs(message.rawHeaders)) if (each.toLowerCase() === name) values.add(value)
  return values
}
