/**
 * Preference: which side processes should hold an adapter, in order, the same at every entry.
 *
 * Rendezvous hashing: each candidate's score for a key depends on nothing else, so when a candidate comes or goes
 * only the keys that it led move. Places on the list alternate between failure domains as far as there are any.
 */
import murmurhash from 'murmurhash'

export interface Candidate {
  process: string
  domain: string
}

const score = (key: string, process: string): number => murmurhash.v3(`${key} ${process}`)

/** The first `length` candidates for `key`, spread over failure domains. */
export const prefer = <C extends Candidate>(key: string, candidates: readonly C[], length: number): C[] => {
  const ranked = candidates
    .map(candidate => ({ candidate, score: score(key, candidate.process) }))
    .sort((a, b) => b.score - a.score || (a.candidate.process < b.candidate.process ? -1 : 1))
    .map(({ candidate }) => candidate)
  const chosen: C[] = []
  while (chosen.length < length && ranked.length > 0) {
    const used = new Set(chosen.map(each => each.domain))
    const elsewhere = ranked.findIndex(each => !used.has(each.domain))
    chosen.push(...ranked.splice(Math.max(0, elsewhere), 1))
  }
  return chosen
}
