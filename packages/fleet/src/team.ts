/**
 * Teams, the API keys that identify them, and their quotas.
 *
 * A key is a secret. It is hashed as soon as it is read from the configuration or from a request, and only the hash is stored,
 * compared and passed between processes. The platform generates keys at random, so an unsalted SHA-256 can't be reversed by a
 * search.
 */
import { hash } from 'node:crypto'
import * as z from 'zod'

/** SHA-256 of a key, in hex. */
export const KeyHash = z.string().regex(/^[0-9a-f]{64}$/).brand<'KeyHash'>()
export type KeyHash = z.infer<typeof KeyHash>

export const hashKey = (key: string): KeyHash => hash('sha256', key, 'hex') as KeyHash

/** The rate limit of a team, over all entries together. */
export const Quota = z.object({
  unit: z.enum(['requests', 'tokens']),
  /** Units per second. */
  perSecond: z.number().positive(),
  /** Units that may be used at once, in excess of the rate. */
  burst: z.number().nonnegative(),
  /** Tokens charged for a request that does not state its token count. */
  plainTokens: z.number().nonnegative()
})
export type Quota = z.infer<typeof Quota>

export const FleetTeam = z.object({
  name: z.string(),
  keys: z.array(KeyHash),
  /** Overrides the route's priority; 0 is the most urgent. */
  priority: z.number().int().nonnegative().optional(),
  /** Absent if the team has no quota. */
  quota: Quota.optional()
})
export type FleetTeam = z.infer<typeof FleetTeam>
