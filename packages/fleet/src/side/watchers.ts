/**
 * Chooses which entries of a failure domain watch the platform's store on behalf of all. Pure function.
 *
 * All side processes of a failure domain choose the same entries, as they are connected to the same ones. If they differ for a
 * moment, a few more entries watch. No consensus is needed: an additional watcher only costs calls, and without any appointed
 * watcher each entry watches the store itself.
 */
import type { StoreSight } from '@finchpitch/wire'

/** One watcher may be cut off from the store and another one frozen at the same time. */
const maxWatchers = 3
/** An entry without frames for this time counts as silent. Entries send one at least every 0.9 s. */
const silenceTimeoutMs = 1500

export interface WatcherCandidate {
  process: string
  /** Time since its last frame. */
  silentMs: number
  sight: StoreSight | undefined
}

export interface WatcherSelection {
  selected: ReadonlySet<string>
  /** Whether the store answers none of the responsive entries. */
  outage: boolean
}

/**
 * Chooses the first entries by name that are responsive and that the store answers. If there are none, the first responsive
 * ones, or else the first of all.
 */
export const selectWatchers = (candidates: readonly WatcherCandidate[]): WatcherSelection => {
  const responsive = candidates.filter(candidate => candidate.silentMs < silenceTimeoutMs)
  const withStore = responsive.filter(candidate => candidate.sight !== 'blind')
  const eligible = withStore.length > 0 ? withStore : responsive.length > 0 ? responsive : candidates
  const selected = new Set(eligible.map(candidate => candidate.process).sort().slice(0, maxWatchers))
  return { selected, outage: responsive.length > 0 && withStore.length === 0 }
}

/** Number of watchers in a failure domain with `entries` entries. */
export const watcherCount = (entries: number): number => Math.min(entries, maxWatchers)
