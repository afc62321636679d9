/**
 * Teams, the keys that tell them apart, and how much each may ask.
 *
 * A key is a secret: it is hashed as soon as it is read, from the configuration or from a request, and only the hash is
 * kept, compared and passed between processes. A key is drawn at random by the platform, so a plain SHA-256 can't be
 * searched back.
 */
import { createHash } from 'node:crypto'
import * as z from 'zod'

/** SHA-256 of a key, in hex. */
export const KeyHash = z.string().regex(/^[0-9a-f]{64}$/).brand<'KeyHash'>()
export type KeyHash = z.infer<typeof KeyHash>

export const hashKey = (key: string): KeyHash => createHash('sha256').update(key).digest('hex') as KeyHash

/** How much a team may ask of all entries together. */
export const Quota = z.object({
  unit: z.enum(['requests', 'tokens']),
  /** Units a second. */
  perSecond: z.number().positive(),
  /** Units on top, at once. */
  burst: z.number().nonnegative(),
  /** Tokens that a request counts which states none. */
  plainTokens: z.number().nonnegative()
})
export type Quota = z.infer<typeof Quota>

export const FleetTeam = z.object({
  name: z.string(),
  keys: z.array(KeyHash),
  /** Goes before a route's; 0 is the most urgent. */
  priority: z.number().int().nonnegative().optional(),
  /** Absent where there is no limit. */
  quota: Quota.optional()
})
export type FleetTeam = z.infer<typeof FleetTeam>
