/**
 * From whom an entry takes the news of engines in other failure domains: a plain function.
 *
 * Load pattern: many entries and many engines. If every entry were told by every side process, bytes between domains and
 * processor time would grow with entries times engines. So a side process near the entry takes the news of a far engine
 * once and passes them on. All entries of a domain choose the same one by rendezvous hashing; where they differ for a
 * moment, the news cross twice, and no promise depends on it. An entry with no side process near follows engines itself.
 */
import { affinityOf, hashOf } from '@finchpitch/decisions'
import { lowest } from '../lowest.js'

export interface NewsHosts {
  /** Hosts of engines in the entry's own failure domain whose side processes answer. */
  near: readonly string[]
  /** Hosts of engines in others. */
  far: readonly string[]
}

/** For each host of an engine, the host whose side process tells of it. */
export const newsSources = ({ near, far }: NewsHosts): Map<string, string> => {
  const sources = new Map<string, string>(near.map(host => [host, host]))
  for (const host of far) sources.set(host, relayOf(host, near) ?? host)
  return sources
}

/** The side process near that serves `key`: the same for all that know the same ones. */
export const relayOf = (key: string, near: readonly string[]): string | undefined => {
  const hash = hashOf(key)
  return lowest(near, host => affinityOf(hash, hashOf(host)))
}
