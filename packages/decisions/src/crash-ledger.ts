/**
 * Requests under which servers ended, and which of them are quarantined.
 *
 * Load pattern: a request ends each server that begins to run it, and its caller sends it again. A server that ends takes all
 * its requests along, so one end accuses up to a whole batch of which one request at most is to blame. What tells that one from
 * the others is that it was sent anew and another server ended under it: such ends in a row quarantine it, two for a while,
 * three for long. Ends of which each request was sent before the other server ended count once, as one trouble may end many
 * servers at a time. A run that comes to its end shows that the request ends no server, and voids all ends before.
 */
import type { RequestFingerprint } from '@finchpitch/core'

/** A server ended while it ran a request, or soon after it was sent one. */
export interface Crash {
  fingerprint: RequestFingerprint
  /** One life of one server. */
  server: string
  /** On the holder's steady clock. */
  sentAt: number
  endedAt: number
}

/** A run of a request came to its end. */
export interface SoundRun {
  fingerprint: RequestFingerprint
  endedAt: number
}

export interface CrashLimits {
  /** Ends in a row that quarantine a request for `holdMs`, */
  ends: number
  holdMs: number
  /** and those that quarantine it for as long as the ends count. */
  sureEnds: number
  /** How long an end counts. */
  keepMs: number
  /** Requests that are kept. */
  most: number
}

/**
 * A request that ends each engine that runs it, sent each 1.3 s for a minute among 230 others a second on 13 engines, costs
 * 350 of the others where it is never refused, 75 if refused for good after one end, 9 after two, 10 after three, and 2 with
 * these limits; with an end of another cause each 3 s beside it 773, 737, 5, 5 and 7 (means of ten seeded replays).
 */
export const crashLimits: CrashLimits = {
  ends: 2,
  /** A request that many callers send alike may be quarantined by chance. Its next run then clears it. */
  holdMs: 5000,
  sureEnds: 3,
  /** A server that ends under a request is mended by people; each time this lapses, three more servers end. */
  keepMs: 600_000,
  /** Some 200 bytes each, with two ends. One end of a server brings up to a batch of requests. */
  most: 2000
}

/** Why a request is not sent. */
export interface QuarantineCase {
  /** The servers that ended under it, one after the other. */
  servers: string[]
  leftMs: number
}

/** How often it is looked for what no longer counts. */
const sweepMs = 1000
/** What is left of a full ledger, so that room is not made for each request. */
const keptShare = 0.9

interface Suspect {
  readonly crashes: Map<string, Crash>
  soundAt: number
}

export class CrashLedger {
  /** The one that was longest without news first. */
  readonly #suspects = new Map<RequestFingerprint, Suspect>()
  #sweptAt = -Infinity

  constructor (private readonly limits: CrashLimits) {}

  get size (): number {
    return this.#suspects.size
  }

  /** Says whether it was news. */
  crashed (crash: Crash, now: number): boolean {
    const { fingerprint, server, endedAt } = crash
    if (now - endedAt >= this.limits.keepMs) return false
    const suspect = this.#suspects.get(fingerprint) ?? { crashes: new Map(), soundAt: -Infinity }
    if (suspect.crashes.has(server) || endedAt <= suspect.soundAt) return false
    suspect.crashes.set(server, crash)
    this.#suspects.delete(fingerprint)
    this.#suspects.set(fingerprint, suspect)
    this.expire(now)
    return true
  }

  /** Says whether it voids anything; of requests that are not kept it does not. */
  sound ({ fingerprint, endedAt }: SoundRun): boolean {
    const suspect = this.#suspects.get(fingerprint)
    if (suspect === undefined || endedAt <= suspect.soundAt) return false
    const voided = [...suspect.crashes.values()].filter(crash => crash.endedAt <= endedAt)
    for (const { server } of voided) suspect.crashes.delete(server)
    suspect.soundAt = endedAt
    return voided.length > 0
  }

  /** `undefined` where the request may be sent. */
  quarantine (fingerprint: RequestFingerprint, now: number): QuarantineCase | undefined {
    const suspect = this.#suspects.get(fingerprint)
    if (suspect === undefined) return undefined
    const row = inRow(this.#current(suspect, now))
    const leftMs = this.#heldUntil(row) - now
    return leftMs > 0 ? { servers: row.map(crash => crash.server), leftMs } : undefined
  }

  /** All that still counts. */
  crashes (now: number): Crash[] {
    return [...this.#suspects.values()].flatMap(suspect => this.#current(suspect, now))
  }

  /** What still counts against one request. */
  crashesOf (fingerprint: RequestFingerprint, now: number): Crash[] {
    const suspect = this.#suspects.get(fingerprint)
    return suspect === undefined ? [] : this.#current(suspect, now)
  }

  /** Lets go of what no longer counts, and of the rest where there is too much. Looks now and then only, however often it is called. */
  expire (now: number): void {
    if (this.#suspects.size <= this.limits.most && now - this.#sweptAt < sweepMs) return
    this.#sweptAt = now
    for (const [fingerprint, suspect] of this.#suspects) {
      // A sound run is kept as long as an end: reports of the ends that it voids may still be under way.
      if (this.#current(suspect, now).length === 0 && now - suspect.soundAt >= this.limits.keepMs) this.#suspects.delete(fingerprint)
    }
    if (this.#suspects.size > this.limits.most) this.#makeRoom(now)
  }

  #heldUntil (row: readonly Crash[]): number {
    const { ends, holdMs, sureEnds, keepMs } = this.limits
    const last = row.at(-1)
    if (last === undefined || row.length < ends) return -Infinity
    // Once this one no longer counts, it is one end too few.
    const sure = row.at(-sureEnds)
    return Math.max(last.endedAt + holdMs, sure === undefined ? -Infinity : sure.endedAt + keepMs)
  }

  #current ({ crashes }: Suspect, now: number): Crash[] {
    return [...crashes.values()].filter(crash => now - crash.endedAt < this.limits.keepMs)
  }

  /** Those that are not quarantined go first, of them those longest without news. */
  #makeRoom (now: number): void {
    const fingerprints = [...this.#suspects.keys()]
    const free = fingerprints.filter(fingerprint => this.quarantine(fingerprint, now) === undefined)
    const held = fingerprints.filter(fingerprint => this.quarantine(fingerprint, now) !== undefined)
    const excess = Math.ceil(fingerprints.length - this.limits.most * keptShare)
    for (const fingerprint of [...free, ...held].slice(0, excess)) this.#suspects.delete(fingerprint)
  }
}

/** Each was sent after the server before it had ended. */
const inRow = (crashes: readonly Crash[]): Crash[] => {
  const row: Crash[] = []
  // By name too, so that processes that heard of two ends in another order say the same.
  const ordered = [...crashes].sort((a, b) => a.endedAt - b.endedAt || (a.server < b.server ? -1 : 1))
  for (const crash of ordered) {
    if (crash.sentAt >= (row.at(-1)?.endedAt ?? -Infinity)) row.push(crash)
  }
  return row
}
