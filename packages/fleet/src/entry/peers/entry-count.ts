/**
 * Counts the entries of the fleet from what side processes report of each failure domain. Pure functions.
 *
 * The fixed part of the retry budget is divided by this number, so it errs on the high side. Right after a start, only side
 * processes of the entry's own domain have reported: if the other four of five domains counted as empty, each entry would take
 * five times its share.
 */
import { watcherCount } from '../../side/watchers.js'

export interface DomainEntries {
  domain: string
  /** Entries of the domain; `undefined` until this engine's side process has reported. */
  entries: number | undefined
  /** Entries of other domains that are subscribed to side processes of this domain directly. */
  strangers: number
}

/** Takes one report per engine. Returns `undefined` until a side process has reported. */
export const countEntries = (reports: readonly DomainEntries[]): number | undefined => sumOverDomains(reports, entries => entries)

/** Counts the entries that watch the store. */
export const countWatchers = (reports: readonly DomainEntries[]): number | undefined => sumOverDomains(reports, watcherCount)

/**
 * A domain without a report counts as large as the largest one that has reported. Its entries may already be known as strangers, since
 * an entry without a local side process subscribes to remote ones. They count once: otherwise four entries were counted as six where
 * the side process of one of two domains started last.
 */
const sumOverDomains = (reports: readonly DomainEntries[], part: (entries: number) => number): number | undefined => {
  const byDomain = new Map<string, number>()
  for (const { domain, entries } of reports) byDomain.set(domain, Math.max(byDomain.get(domain) ?? -1, entries ?? -1))
  const largest = Math.max(-1, ...byDomain.values())
  if (largest < 0) return undefined
  const strangers = Math.max(...reports.map(each => each.strangers))
  const sizes = [...byDomain.values()]
  const reported = sizes.filter(entries => entries >= 0).reduce((sum, entries) => sum + part(entries), 0)
  const assumed = sizes.filter(entries => entries < 0).length * part(largest)
  return reported + Math.max(assumed, strangers)
}
