/**
 * Rendezvous hashing: an ordered list of candidates for a key, for instance of the side processes that should hold an adapter. Every
 * process that has the same candidates computes the same list.
 *
 * The score of a candidate depends on the key and the candidate alone, so when a candidate is added or removed, only the keys move
 * for which it is the first. The list has one candidate of each failure domain before it has a second one of any.
 *
 * A key and a name are hashed once each, and a score only mixes the two hashes, so that a list over a thousand candidates takes
 * microseconds.
 */
import murmurhash from 'murmurhash'

export interface Candidate {
  process: string
  domain: string
}

export interface HashedCandidate<C extends Candidate> {
  candidate: C
  hash: number
}

export const hashCandidates = <C extends Candidate>(candidates: readonly C[]): Array<HashedCandidate<C>> =>
  candidates.map(candidate => ({ candidate, hash: murmurhash.v3(candidate.process) }))

/** The finalizer of MurmurHash3, by Austin Appleby: every bit of the input affects every bit of the output. */
const mix = (value: number): number => {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/** The rendezvous score of a candidate for a key, at least 0 and below 1, from the hashes of both. */
export const rendezvousScore = (keyHash: number, candidateHash: number): number => mix(keyHash ^ candidateHash) / 2 ** 32

/**
 * The rendezvous score of a candidate with a weight, where the candidate with the lowest score is selected: it is selected for a
 * share of the keys in proportion to its weight. With a weight of 1 it is the score without one.
 */
export const weightedRendezvousScore = (keyHash: number, candidateHash: number, weight: number): number => {
  const score = rendezvousScore(keyHash, candidateHash)
  return weight === 1 ? score : 1 - (1 - score) ** (1 / weight)
}

export const hashOf = (name: string): number => murmurhash.v3(name)

/** The candidate with the highest score, of those that aren't chosen and whose domain isn't used; a tie goes by name. */
const highestScore = <C extends Candidate>(keyHash: number, candidates: ReadonlyArray<HashedCandidate<C>>, chosen: ReadonlySet<C>, usedDomains: ReadonlySet<string>): C | undefined => {
  let best: HashedCandidate<C> | undefined
  let bestScore = -1
  for (const each of candidates) {
    const score = mix(keyHash ^ each.hash)
    if (score < bestScore || usedDomains.has(each.candidate.domain) || chosen.has(each.candidate)) continue
    const wins = score > bestScore || best === undefined || each.candidate.process < best.candidate.process
    if (!wins) continue
    best = each
    bestScore = score
  }
  return best?.candidate
}

const noDomains: ReadonlySet<string> = new Set()

/** The first `length` candidates for `key`, spread over failure domains. */
export const rankHashedCandidates = <C extends Candidate>(key: string, candidates: ReadonlyArray<HashedCandidate<C>>, length: number): C[] => {
  const keyHash = murmurhash.v3(key)
  const chosen = new Set<C>()
  const usedDomains = new Set<string>()
  while (chosen.size < Math.min(length, candidates.length)) {
    const next = highestScore(keyHash, candidates, chosen, usedDomains) ?? highestScore(keyHash, candidates, chosen, noDomains)
    if (next === undefined) break
    chosen.add(next)
    usedDomains.add(next.domain)
  }
  return [...chosen]
}

/** The same for candidates that aren't hashed yet. */
export const rankCandidates = <C extends Candidate>(key: string, candidates: readonly C[], length: number): C[] =>
  rankHashedCandidates(key, hashCandidates(candidates), length)
