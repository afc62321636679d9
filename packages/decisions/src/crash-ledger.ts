/**
 * Requests under which servers ended, and which of them are quarantined.
 *
 * Load pattern: a request ends each server that begins to run it, and its caller sends it again. A server that ends takes all
 * its requests along, so one end accuses up to a whole batch of which one request at most is to blame. What tells that one from
 * the others is that it was sent anew and another server ended under it: such ends in a row quarantine it, two for a while,
 * three for long. Ends of which each request was sent before the other server ended count once, as one trouble may end many
 * servers at a time. A run that comes to its end shows that the request ends no server, and voids all ends before.
 *
 * The end of a quarantine frees nothing: whatever sends the request again comes at all entries in the same moment. One run of it is
 * a probe, for all entries together, and what becomes of that decides.
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

/** The one run of a request whose quarantine lapsed. */
export interface Probe {
  fingerprint: RequestFingerprint
  /** On the holder's steady clock. */
  at: number
}

export interface CrashLimits {
  /** Ends in a row that quarantine a request for `holdMs`, */
  ends: number
  holdMs: number
  /** and those that quarantine it for as long as the ends count. */
  sureEnds: number
  /** How long an end counts. */
  keepMs: number
  /** A probe that has not shown anything after so long may be followed by another. */
  probeMs: number
  /** Probes in a row that showed nothing quarantine a request for as long as an end counts. */
  probes: number
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
  /** The longest time that callers give a request, and until an end is known for one. */
  probeMs: 15_000,
  probes: 2,
  /** Some 200 bytes each, with two ends. One end of a server brings up to a batch of requests. */
  most: 2000
}

/** Why a request is not sent. */
export interface QuarantineCase {
  /** The servers that ended under it, one after the other. */
  servers: string[]
  leftMs: number
}

/** Reports of one probe by way of several processes are no further from each other. */
const sameProbeMs = 1000

/** How often it is looked for what no longer counts. */
const sweepMs = 1000
/** What is left of a full ledger, so that room is not made for each request. */
const keptShare = 0.9

interface Suspect {
  readonly crashes: Map<string, Crash>
  soundAt: number
  /** When probes were begun that have shown nothing yet. */
  probedAt: number[]
  /** Until when it is sent as a probe only, where it is not quarantined. */
  probeUntil: number
}

const newSuspect = (): Suspect => ({ crashes: new Map(), soundAt: -Infinity, probedAt: [], probeUntil: -Infinity })

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
    const suspect = this.#suspects.get(fingerprint) ?? newSuspect()
    if (suspect.crashes.has(server) || endedAt <= suspect.soundAt) return false
    suspect.crashes.set(server, crash)
    suspect.probedAt = suspect.probedAt.filter(at => at > endedAt)
    this.#heardOf(fingerprint, suspect, now)
    return true
  }

  /** A probe was begun. Says whether it was news. */
  probed ({ fingerprint, at }: Probe, now: number): boolean {
    const suspect = this.#suspects.get(fingerprint) ?? newSuspect()
    if (at <= suspect.soundAt || now - at >= this.limits.keepMs) return false
    // Ages that cross between processes differ by their ways.
    if (suspect.probedAt.some(each => Math.abs(each - at) < sameProbeMs)) return false
    suspect.probedAt.push(at)
    this.#heardOf(fingerprint, suspect, now)
    return true
  }

  /** Says whether it voids anything; of requests that are not kept it does not. */
  sound ({ fingerprint, endedAt }: SoundRun): boolean {
    const suspect = this.#suspects.get(fingerprint)
    if (suspect === undefined || endedAt <= suspect.soundAt) return false
    const voided = [...suspect.crashes.values()].filter(crash => crash.endedAt <= endedAt)
    for (const { server } of voided) suspect.crashes.delete(server)
    const probed = suspect.probedAt.length > 0
    suspect.soundAt = endedAt
    suspect.probedAt = []
    suspect.probeUntil = -Infinity
    return voided.length > 0 || probed
  }

  /** `undefined` where the request may be sent. */
  quarantine (fingerprint: RequestFingerprint, now: number): QuarantineCase | undefined {
    const suspect = this.#suspects.get(fingerprint)
    if (suspect === undefined) return undefined
    const row = inRow(this.#current(suspect, now))
    const leftMs = Math.max(this.#heldUntil(row), this.#probedUntil(suspect)) - now
    return leftMs > 0 ? { servers: row.map(crash => crash.server), leftMs } : undefined
  }

  /** Its quarantine has lapsed and nothing has shown since that it is sound: it may be sent once, by one entry of all. */
  probeDue (fingerprint: RequestFingerprint, now: number): boolean {
    const suspect = this.#suspects.get(fingerprint)
    return suspect !== undefined && now < suspect.probeUntil && this.quarantine(fingerprint, now) === undefined
  }

  /** Probes that have shown nothing yet. */
  probes (): Probe[] {
    return [...this.#suspects].flatMap(([fingerprint, { probedAt }]) => probedAt.map(at => ({ fingerprint, at })))
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
      if (this.#current(suspect, now).length === 0 && now - suspect.soundAt >= this.limits.keepMs && now >= suspect.probeUntil) this.#suspects.delete(fingerprint)
    }
    if (this.#suspects.size > this.limits.most) this.#makeRoom(now)
  }

  /** Keeps what is known of a request of which something new was heard. */
  #heardOf (fingerprint: RequestFingerprint, suspect: Suspect, now: number): void {
    const heldUntil = Math.max(this.#heldUntil(inRow(this.#current(suspect, now))), this.#probedUntil(suspect))
    if (heldUntil > -Infinity) suspect.probeUntil = Math.max(suspect.probeUntil, heldUntil + this.limits.keepMs)
    this.#suspects.delete(fingerprint)
    this.#suspects.set(fingerprint, suspect)
    this.expire(now)
  }

  #probedUntil ({ probedAt }: Suspect): number {
    const { probes, probeMs, keepMs } = this.limits
    if (probedAt.length === 0) return -Infinity
    return Math.max(...probedAt) + (probedAt.length >= probes ? keepMs : probeMs)
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
