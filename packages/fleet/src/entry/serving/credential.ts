/**
 * Extracts the API key of a request.
 *
 * A request with two different keys is treated as having an invalid one: another component that reads the request
 * could pick either of them.
 */
import type { IncomingMessage } from 'node:http'
import type { HeaderNames } from '../../ports.js'
import { hashKey, type KeyHash } from '../../team.js'

/** `invalid`: the header is there, but is malformed or ambiguous. */
export type Credential = { type: 'none' } | { type: 'invalid' } | { type: 'key', hash: KeyHash }

/** `SCHEME KEY`; the scheme is case-insensitive. */
const schemeAndKey = /^\s*(\S+)\s+(\S+)\s*$/

export const credentialOf = ({ rawHeaders }: IncomingMessage, names: HeaderNames): Credential => {
  // Not from `headers`, in which Node keeps only the first value.
  let value: string | undefined
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== names.key) continue
    if (value !== undefined && value !== rawHeaders[index + 1]) return { type: 'invalid' }
    value = rawHeaders[index + 1]
  }
  if (value === undefined) return { type: 'none' }
  const [, scheme, key] = schemeAndKey.exec(value) ?? []
  if (key === undefined || scheme?.toLowerCase() !== names.keyScheme) return { type: 'invalid' }
  return { type: 'key', hash: hashKey(key) }
}
