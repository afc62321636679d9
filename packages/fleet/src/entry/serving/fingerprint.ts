/**
 * The fingerprint of a request: identical for all its retries, regardless of request id and of the entry that receives them.
 *
 * A caller retries with the same path, team and body, while ids, remaining times and other headers differ. Only a truncated hash
 * is kept and shared, so that neither logs nor other processes learn the content of a request.
 */
import { createHash } from 'node:crypto'
import { RequestFingerprint } from '@finchpitch/core'

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

export const fingerprintOf = ({ method, host, url, team, body }: FingerprintedRequest): RequestFingerprint => {
  const target = JSON.stringify([method, host, url, team ?? null])
  const digest = createHash('sha256').update(target).update(body).digest('base64url')
  return RequestFingerprint.parse(digest.slice(0, fingerprintLength))
}
