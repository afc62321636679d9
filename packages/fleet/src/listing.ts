/**
 * Listings: the keys of all facts of one kind as of a revision, read from the store or received from a peer.
 *
 * A removal leaves a tombstone only at processes that knew the fact. A process that read the store after the removal can tell its peers
 * only what remains, so a peer that has read less compares its own facts with that.
 */
import type { Listing } from '@finchpitch/wire'
import { removalRevisionStep, type Fact } from './fact.js'
import type { Facts } from './facts.js'

/**
 * Removals of known facts that a listing lacks. Facts that changed after the listing's revision are not affected. A removal is dated by
 * the listing, as other processes may know a later revision of the fact than this one: changes that leave the value as it is are not
 * passed on.
 */
export const missingFrom = (facts: Pick<Facts, 'all' | 'relistedServers'>, { kind, revision, keys }: Listing): Fact[] => {
  if (kind === 'table') return []
  const present = new Set(keys)
  // Relisted servers are not among the current facts. Without them, one whose record expired while the history was gone would be accepted.
  return [...facts.all(), ...facts.relistedServers]
    .filter(fact => fact.kind === kind && fact.value !== undefined && fact.revision <= revision && !present.has(fact.key))
    .map(fact => ({ kind, key: fact.key, revision: Math.max(fact.revision + removalRevisionStep, revision), value: undefined, seenAt: revision }))
}
