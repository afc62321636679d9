/**
 * Who of the entries near watches the platform's store for all of them: a plain function.
 *
 * Every side process of a failure domain names the same ones, as all hear the same entries; where they differ for a moment,
 * a few more watch. Nothing is agreed on, since a watcher too many costs calls only, and without any each entry watches.
 */
import type { StoreSight } from '@finchpitch/wire'

/** One may be cut from the store and one frozen at the same time. */
const watchersOfDomain = 3
/** An entry says something every 0.9 s. */
const heardMs = 1500

export interface Candidate {
  process: string
  /** Since it was last heard. */
  silentMs: number
  sight: StoreSight | undefined
}

export interface Watchers {
  named: ReadonlySet<string>
  /** The store answers none that is heard. */
  outage: boolean
}

/** Names the first that are heard and see the store; where none does, the first of all. */
export const watchersAmong = (candidates: readonly Candidate[]): Watchers => {
  const heard = candidates.filter(candidate => candidate.silentMs < heardMs)
  const seeing = heard.filter(candidate => candidate.sight !== 'blind')
  const able = seeing.length > 0 ? seeing : heard.length > 0 ? heard : candidates
  const named = new Set(able.map(candidate => candidate.process).sort().slice(0, watchersOfDomain))
  return { named, outage: heard.length > 0 && seeing.length === 0 }
}

/** How many of so many entries of a domain watch. */
export const watchersOf = (entries: number): number => Math.min(entries, watchersOfDomain)
