/**
 * Preference: which side processes should hold an adapter, in order, the same at every entry.
 *
 * Rendezvous hashing: each candidate's score for a key depends on nothing else, so when a candidate comes or goes
 * only the keys that it led move. Places on the list alternate between failure domains as far as there are any.
 *
 * A key and a name are hashed once each; a score only mixes the two, which keeps a list over a thousand candidates
 * in the microseconds.
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

export const hashed = <C extends Candidate>(candidates: readonly C[]): Array<HashedCandidate<C>> =>
  candidates.map(candidate => ({ candidate, hash: murmurhash.v3(candidate.process) }))

/** MurmurHash3's finalizer, by Austin Appleby: every bit of the input moves every bit of the output. */
const mix = (value: number): number => {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/** How much a key belongs to a candidate, from 0 to 1, by the hashes of both. */
export const affinityOf = (keyHash: number, candidateHash: number): number => mix(keyHash ^ candidateHash) / 2 ** 32

export const hashOf = (name: string): number => murmurhash.v3(name)

/** The best candidate whose domain isn't in `used`. */
const best = <C extends Candidate>(key: number, candidates: ReadonlyArray<HashedCandidate<C>>, chosen: ReadonlySet<C>, used: ReadonlySet<string>): C | undefined => {
  let leader: HashedCandidate<C> | undefined
  let leading = -1
  for (const each of candidates) {
    const score = mix(key ^ each.hash)
    if (score < leading || used.has(each.candidate.domain) || chosen.has(each.candidate)) continue
    const wins = score > leading || leader === undefined || each.candidate.process < leader.candidate.process
    if (!wins) continue
    leader = each
    leading = score
  }
  return leader?.candidate
}

const nowhere: ReadonlySet<string> = new Set()

/** The first `length` candidates for `key`, spread over failure domains. */
export const preferHashed = <C extends Candidate>(key: string, candidates: ReadonlyArray<HashedCandidate<C>>, length: number): C[] => {
  const keyHash = murmurhash.v3(key)
  const chosen = new Set<C>()
  const used = new Set<string>()
  while (chosen.size < Math.min(length, candidates.length)) {
    const next = best(keyHash, candidates, chosen, used) ?? best(keyHash, candidates, chosen, nowhere)
    if (next === undefined) break
    chosen.add(next)
    used.add(next.domain)
  }
  return [...chosen]
}

export const prefer = <C extends Candidate>(key: string, candidates: readonly C[], length: number): C[] =>
  preferHashed(key, hashed(candidates), length)
