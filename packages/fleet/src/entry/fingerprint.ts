/**
 * The fingerprint of a request: the same for all tries of it, whatever id each comes under and whichever entry it meets.
 *
 * A caller asks again with the same path, team and body; ids, times left and other headers differ. Only a part of a hash is
 * kept and passed on, so that neither logs nor other processes learn what was asked.
 */
import { createHash } from 'node:crypto'
import { RequestFingerprint } from '@finchpitch/core'

export interface FingerprintedRequest {
  method: string | undefined
  host: string
  /** Path and query. */
  url: string | undefined
  /** Name of the team whose key came with it. */
  team: string | undefined
  body: Buffer
}

const fingerprintLength = 16

export const fingerprintOf = ({ method, host, url, team, body }: FingerprintedRequest): RequestFingerprint => {
  const asked = JSON.stringify([method, host, url, team ?? null])
  const digest = createHash('sha256').update(asked).update(body).digest('base64url')
  return RequestFingerprint.parse(digest.slice(0, fingerprintLength))
}
