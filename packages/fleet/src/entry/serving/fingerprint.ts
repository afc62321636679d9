/**
 * Fingerprints of work: of a request, identical for all its retries, and of a part of a prompt, identical for all requests to a service
 * that state the part. Both are regardless of request id and of the entry that receives the request.
 *
 * A caller retries with the same path, team and body, while ids, remaining times and other headers differ. Only a truncated hash
 * is kept and shared, so that neither logs nor other processes learn the content of a request.
 */
import { createHash } from 'node:crypto'
import { Fingerprint, partFingerprintPrefix } from '@finchpitch/core'

export interface FingerprintedRequest {
  method: string | undefined
  host: string
  /** Path and query. */
  url: string | undefined
  /** Name of the team that its API key belongs to. */
  team: string | undefined
  body: Buffer
}

const fingerprintLength = 16
const leadingPrefixes = new RegExp(`^${partFingerprintPrefix}+`)

export const fingerprintOf = ({ method, host, url, team, body }: FingerprintedRequest): Fingerprint => {
  const target = JSON.stringify([method, host, url, team ?? null])
  const digest = createHash('sha256').update(target).update(body).digest('base64url')
  return Fingerprint.parse(digest.replace(leadingPrefixes, '').slice(0, fingerprintLength))
}

/** `part`: the id by which callers name the part. */
export const partFingerprintOf = (service: string, part: string): Fingerprint => {
  const digest = createHash('sha256').update(JSON.stringify([service, part])).digest('base64url')
  return Fingerprint.parse(`${partFingerprintPrefix}${digest}`.slice(0, fingerprintLength))
}
