/**
 * Which processes keep the record of a stream, and which of them would certainly have it.
 *
 * Load: processes that start and leave, as during a release, while streams that were recorded before are taken up. The keepers of a
 * record change with the processes that are listed. A process that has no record proves that there is none only if it would have been
 * its keeper whenever the stream may have begun, so it follows which processes were listed within a window.
 */
import { hashOf, rendezvousScore } from './rendezvous.js'

/** Processes of each failure domain that keep records. More would need more connections, as remote ones are opened on demand. */
export const keepersPerDomain = 8

export interface Keeper {
  host: string
  domain: string
}

const ranked = <K extends { host: string }>(keepers: readonly K[], keyHash: number): K[] =>
  keepers.map(keeper => ({ keeper, score: rendezvousScore(keyHash, hashOf(keeper.host)) })).sort((a, b) => a.score - b.score).map(({ keeper }) => keeper)

/** The processes of one failure domain that keep records. */
export const selectKeepers = <K extends { host: string }>(candidates: readonly K[]): K[] => ranked(candidates, 0).slice(0, keepersPerDomain)

/** The keepers of one failure domain in the order in which they keep the record of a request. */
export const rankKeepers = <K extends { host: string }>(keepers: readonly K[], request: string): K[] => ranked(keepers, hashOf(request))

interface Listed extends Keeper {
  from: number
  /** `Infinity` while it is listed. */
  until: number
}

export interface KeeperHistoryOptions {
  /** Longer than a stream may last from its first event until its caller takes it up. */
  windowMs: number
}

export class KeeperHistory {
  #listed: Listed[] = []

  constructor (private readonly options: KeeperHistoryOptions) {}

  /** The processes that are listed from now on. */
  list (keepers: readonly Keeper[], now: number): void {
    const present = new Map(keepers.map(keeper => [keeper.host, keeper]))
    for (const each of this.#listed) {
      // A process that comes back begins anew, since others kept records meanwhile.
      if (each.until !== Infinity) continue
      if (present.get(each.host)?.domain === each.domain) present.delete(each.host)
      else each.until = now
    }
    this.#listed = this.#listed.filter(({ until }) => until >= now - this.options.windowMs)
    for (const keeper of present.values()) this.#listed.push({ ...keeper, from: now, until: Infinity })
  }

  /** Failure domains whose processes may have kept records within the window. */
  domains (now: number): number {
    return new Set(this.#within(now).map(({ domain }) => domain)).size
  }

  /** Whether the process would have kept each record of this request's stream in its failure domain, throughout the window. */
  wouldKeep ({ host, domain }: Keeper, request: string, now: number): boolean {
    const isSteady = ({ from, until }: Listed): boolean => from <= now - this.options.windowMs && until === Infinity
    const candidates = ranked(this.#within(now).filter(each => each.domain === domain), 0)
    const position = candidates.findIndex(each => each.host === host && isSteady(each))
    if (position < 0 || position >= keepersPerDomain) return false
    // Those behind so many that were always listed never kept records.
    const steady = candidates.filter(isSteady)
    const last = candidates.indexOf(steady[keepersPerDomain - 1] ?? candidates[candidates.length - 1] as Listed)
    return rankKeepers(candidates.slice(0, last + 1), request)[0]?.host === host
  }

  #within (now: number): Listed[] {
    return this.#listed.filter(({ until }) => until >= now - this.options.windowMs)
  }
}
