/**
 * Store revisions that stay comparable when the store is restored from a backup.
 *
 * A restore resets the store's revision counter, so revisions are reused, and increments the store's era. Facts are ordered by era
 * first and revision second. Both are packed into one number, so code that compares or forwards revisions works across restores:
 * the low 40 bits hold the revision, the bits above them the era.
 */

const revisionsPerEra = 2 ** 40

/** With at most 52 bits in use, a double still represents the half steps of `removalRevisionStep` exactly. */
export const maxEra = 2 ** 12 - 1
export const maxRevisionInEra = revisionsPerEra - 1
export const maxStoreRevision = (maxEra + 1) * revisionsPerEra - 1

export const storeRevision = (era: number, revision: number): number => era * revisionsPerEra + revision

export const eraOf = (revision: number): number => Math.floor(revision / revisionsPerEra)

/** Log fields for a revision. */
export const revisionFields = (revision: number): { era: number, revision: number } => ({ era: eraOf(revision), revision: revision % revisionsPerEra })
