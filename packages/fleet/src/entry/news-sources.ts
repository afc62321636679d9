/**
 * From whom an entry takes the news of engines in other failure domains.
 *
 * Load pattern: many entries and many engines. If every entry were told by every side process, bytes between domains and
 * processor time would grow with entries times engines. So a side process near the entry takes the news of a far engine
 * once and passes them on. All entries of a domain choose the same one by rendezvous hashing; where they differ for a
 * moment, the news cross twice, and no promise depends on it. An entry with no side process near follows engines itself.
 */
import { rendezvousScore, hashOf } from '@finchpitch/decisions'
import type { Log } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import { minBy } from '../min-by.js'

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
  return minBy(near, host => rendezvousScore(hash, hashOf(host)))
}

/** With no side process near for this long, an entry follows engines elsewhere itself. All processes of a domain are back sooner after a power loss. */
const aloneMs = 1000

/**
 * Sources are chosen anew once the side processes near have stayed the same for this long: as all start, they come one by one.
 * Less than the 200 ms between two looks, so that the second look chooses also where its timer came early; else news of a side
 * process that froze came up to 1.6 s late, not 1.4 s.
 */
const settledMs = 150

/** The sources in use, which stay the same while what they were chosen by does. */
export class NewsSources {
  /** For each engine's host, the host that tells of it. */
  #sources: ReadonlyMap<string, string> = new Map()
  /** What the sources were chosen by; what they would be chosen by now, and since when. */
  #chosenBy = ''
  #present = ''
  #presentSince = -Infinity
  /** Since when no side process near answers. */
  #aloneSince = Infinity

  constructor (private readonly log: Log) {}

  /** The host that tells of the engine at `host`. */
  of (host: string): string {
    return this.#sources.get(host) ?? host
  }

  /** The engines whose news the side process at `host` has to tell; its own, where nothing was chosen and it is near. */
  toldBy (host: string, near: boolean): string[] {
    const told = [...this.#sources].filter(([, source]) => source === host).map(([engine]) => engine)
    return told.length === 0 && near ? [host] : told
  }

  /** Chooses anew where the hosts have changed and settled; says whether it did. */
  choose ({ near, far }: NewsHosts): boolean {
    const now = nowMs()
    // Before any engine is known, there is nobody to be alone of.
    if (near.length > 0 || far.length === 0) this.#aloneSince = Infinity
    else this.#aloneSince = Math.min(this.#aloneSince, now)
    const alone = now - this.#aloneSince > aloneMs
    if (!this.#settled([alone, ...near, '', ...far].join(), now)) return false
    this.#replace(near.length > 0 || alone ? newsSources({ near, far }) : new Map())
    return true
  }

  /** Whether sources have to be chosen anew, by what is present now. */
  #settled (present: string, now: number): boolean {
    if (present !== this.#present) this.#presentSince = now
    this.#present = present
    if (present === this.#chosenBy || now - this.#presentSince < settledMs) return false
    this.#chosenBy = present
    return true
  }

  #replace (sources: ReadonlyMap<string, string>): void {
    for (const [host, source] of sources) {
      const before = this.#sources.get(host)
      if (before !== source && before !== undefined) this.log.info('news.source_changed', { host, source, before })
    }
    this.#sources = sources
  }
}
