/**
 * How many entries there are, by what side processes tell of each failure domain: plain functions.
 *
 * The number divides the fixed part of the retry budget, so it is rather too high than too low: right after a start only
 * one's own domain has told, and a fifth of all entries would each take five times their part.
 */
import { watcherCount } from '../side/watchers.js'

export interface DomainEntries {
  domain: string
  /** Entries of the domain; `undefined` while no side process there has told. */
  entries: number | undefined
  /** Entries elsewhere that follow engines of the domain directly. */
  strangers: number
}

/** One row for each engine. `undefined` while none has told. */
export const countEntries = (told: readonly DomainEntries[]): number | undefined => sumOfDomains(told, entries => entries)

/** How many of them watch the store. */
export const countWatchers = (told: readonly DomainEntries[]): number | undefined => sumOfDomains(told, watcherCount)

/** A domain that has not told counts as the largest that has. */
const sumOfDomains = (told: readonly DomainEntries[], part: (entries: number) => number): number | undefined => {
  const byDomain = new Map<string, number>()
  for (const { domain, entries } of told) byDomain.set(domain, Math.max(byDomain.get(domain) ?? -1, entries ?? -1))
  const largest = Math.max(-1, ...byDomain.values())
  if (largest < 0) return undefined
  const strangers = Math.max(...told.map(each => each.strangers))
  return [...byDomain.values()].reduce((sum, entries) => sum + part(entries < 0 ? largest : entries), strangers)
}
