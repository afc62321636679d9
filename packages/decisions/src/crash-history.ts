/**
 * Records which servers crashed while they ran which request, and quarantines requests that crash servers.
 *
 * Without it, a request that crashes each server that runs it takes down one after the other, since its caller retries it. A crash
 * fails all requests on the server, up to a whole batch, of which at most one is the cause. The cause can be told from the others by
 * its retry: it was sent again after the crash, and the next server crashed too. Such consecutive crashes quarantine a request, two
 * for a short time and three for a long one. Crashes whose runs overlap count as one, as a single fault may bring down many servers
 * at the same time. A run that completes shows that the request crashes no server, and discards all crashes before it.
 *
 * An expired quarantine doesn't release the request, since its caller may retry it through all entry processes at the same moment.
 * One run of it is allowed across all of them, as a probe, and the outcome of the probe decides.
 */
import type { Fingerprint } from '@finchpitch/core'

/** A server crashed while it ran a request, or shortly after the request was sent to it. */
export interface Crash {
  fingerprint: Fingerprint
  /** One incarnation of a server; a restarted server counts as another one. */
  server: string
  /** On the monotonic clock of this process. */
  sentAt: number
  endedAt: number
}

/** A run of a request that completed. */
export interface CompletedRun {
  fingerprint: Fingerprint
  endedAt: number
}

/** The single run that a request is allowed after its quarantine has expired. */
export interface Probe {
  fingerprint: Fingerprint
  /** When it was started, on the monotonic clock of this process. */
  at: number
}

export interface QuarantineLimits {
  /** Consecutive crashes that quarantine a request for a short time. */
  shortThreshold: number
  /** Length of the short quarantine, counted from the last crash. */
  shortQuarantineMs: number
  /** Consecutive crashes that quarantine a request until the first of them expires. */
  longThreshold: number
  /** How long a crash counts. */
  keepMs: number
  /** Another probe is allowed when the last one has had no outcome for this long. */
  probeMs: number
  /** Consecutive probes without an outcome that quarantine a request for as long as a crash counts. */
  probes: number
  /** Maximum number of requests in the table. */
  most: number
}

/**
 * In a simulation, a request that crashes each engine that runs it is sent every 1.3 s for a minute, among 230 others per second on
 * 13 engines. Of the others, 350 are lost if the request is never refused, 75 if it is refused for good after one crash, 9 after
 * two, 10 after three, and 2 with these limits. With an unrelated crash every 3 s in addition, the losses are 773, 737, 5, 5 and 7
 * (means of ten seeds).
 */
export const quarantineLimits: QuarantineLimits = {
  shortThreshold: 2,
  /** Short, as an identical request from many callers may be quarantined by coincidence. Its next run then clears it. */
  shortQuarantineMs: 5000,
  longThreshold: 3,
  /** Long, as a request that crashes servers has to be fixed by people, and each time this expires, three more servers crash. */
  keepMs: 600_000,
  /** Covers the longest timeout of a caller and the time until a crash is known to have occurred. */
  probeMs: 15_000,
  probes: 2,
  /** A record takes about 200 bytes with two crashes. One crash of a server adds up to a batch of requests. */
  most: 2000
}

/** Why a request must not be sent. */
export interface Quarantine {
  /** The servers that crashed under it, in order. */
  servers: string[]
  leftMs: number
}

/** Reports of the same probe that arrive by way of different processes differ by less than this in its start time. */
const sameProbeMs = 1000

/** How often expired records are searched for. */
const expiryIntervalMs = 1000
/** Share of the maximum that an eviction leaves, so that not every further request causes another eviction. */
const evictionTarget = 0.9

interface RequestRecord {
  readonly crashes: Map<string, Crash>
  /** When the last completed run ended. */
  completedAt: number
  /** Start times of the probes that have no outcome yet. */
  pendingProbes: number[]
  /** Until then the request may only be sent as a probe, where it isn't quarantined. */
  probeOnlyUntil: number
}

const emptyRecord = (): RequestRecord => ({ crashes: new Map(), completedAt: -Infinity, pendingProbes: [], probeOnlyUntil: -Infinity })

export class CrashHistory {
  /** In the order of their last updates, the least recent first. */
  readonly #records = new Map<Fingerprint, RequestRecord>()
  #expiredAt = -Infinity

  constructor (private readonly limits: QuarantineLimits) {}

  get size (): number {
    return this.#records.size
  }

  /** Records a crash. Returns false if it was known, has expired, or came before a completed run. */
  recordCrash (crash: Crash, now: number): boolean {
    const { fingerprint, server, endedAt } = crash
    if (now - endedAt >= this.limits.keepMs) return false
    const record = this.#records.get(fingerprint) ?? emptyRecord()
    if (record.crashes.has(server) || endedAt <= record.completedAt) return false
    record.crashes.set(server, crash)
    // The crash is the outcome of the probes that were started before it.
    record.pendingProbes = record.pendingProbes.filter(at => at > endedAt)
    this.#update(fingerprint, record, now)
    return true
  }

  /** Records that a probe was started. Returns false if it was known, has expired, or came before a completed run. */
  recordProbe ({ fingerprint, at }: Probe, now: number): boolean {
    const record = this.#records.get(fingerprint) ?? emptyRecord()
    if (at <= record.completedAt || now - at >= this.limits.keepMs) return false
    // Times cross between processes as ages, so the same probe appears at a slightly different time on each path.
    if (record.pendingProbes.some(each => Math.abs(each - at) < sameProbeMs)) return false
    record.pendingProbes.push(at)
    this.#update(fingerprint, record, now)
    return true
  }

  /** Records a completed run. Returns true if that discarded a crash or a probe; always false for a request without a record. */
  sound ({ fingerprint, endedAt }: CompletedRun): boolean {
    const record = this.#records.get(fingerprint)
    if (record === undefined || endedAt <= record.completedAt) return false
    const discarded = [...record.crashes.values()].filter(crash => crash.endedAt <= endedAt)
    for (const { server } of discarded) record.crashes.delete(server)
    const probed = record.pendingProbes.length > 0
    record.completedAt = endedAt
    record.pendingProbes = []
    record.probeOnlyUntil = -Infinity
    return discarded.length > 0 || probed
  }

  /** `undefined` if the request isn't quarantined. */
  quarantine (fingerprint: Fingerprint, now: number): Quarantine | undefined {
    const record = this.#records.get(fingerprint)
    if (record === undefined) return undefined
    const consecutive = consecutiveCrashes(this.#unexpired(record, now))
    const leftMs = Math.max(this.#crashQuarantineUntil(consecutive), this.#probeQuarantineUntil(record)) - now
    return leftMs > 0 ? { servers: consecutive.map(crash => crash.server), leftMs } : undefined
  }

  /** Whether the quarantine has expired and no run has completed since, so that one entry process of all may send the request once. */
  probeDue (fingerprint: Fingerprint, now: number): boolean {
    const record = this.#records.get(fingerprint)
    return record !== undefined && now < record.probeOnlyUntil && this.quarantine(fingerprint, now) === undefined
  }

  /** Probes without an outcome yet. */
  probes (): Probe[] {
    return [...this.#records].flatMap(([fingerprint, { pendingProbes }]) => pendingProbes.map(at => ({ fingerprint, at })))
  }

  /** All crashes that have not expired. */
  crashes (now: number): Crash[] {
    return [...this.#records.values()].flatMap(record => this.#unexpired(record, now))
  }

  /** The crashes of one request that have not expired. */
  crashesOf (fingerprint: Fingerprint, now: number): Crash[] {
    const record = this.#records.get(fingerprint)
    return record === undefined ? [] : this.#unexpired(record, now)
  }

  /** Removes expired records, and evicts others where the table is too large. May be called at any rate: it does its work once per interval. */
  expire (now: number): void {
    if (this.#records.size <= this.limits.most && now - this.#expiredAt < expiryIntervalMs) return
    this.#expiredAt = now
    for (const [fingerprint, record] of this.#records) {
      // A completed run is kept as long as a crash, since reports of crashes before it may still arrive.
      if (this.#unexpired(record, now).length === 0 && now - record.completedAt >= this.limits.keepMs && now >= record.probeOnlyUntil) this.#records.delete(fingerprint)
    }
    if (this.#records.size > this.limits.most) this.#evict(now)
  }

  /** Stores a changed record as the most recently updated one. */
  #update (fingerprint: Fingerprint, record: RequestRecord, now: number): void {
    const quarantinedUntil = Math.max(this.#crashQuarantineUntil(consecutiveCrashes(this.#unexpired(record, now))), this.#probeQuarantineUntil(record))
    if (quarantinedUntil > -Infinity) record.probeOnlyUntil = Math.max(record.probeOnlyUntil, quarantinedUntil + this.limits.keepMs)
    this.#records.delete(fingerprint)
    this.#records.set(fingerprint, record)
    this.expire(now)
  }

  /** Until when pending probes quarantine the request. */
  #probeQuarantineUntil ({ pendingProbes }: RequestRecord): number {
    const { probes, probeMs, keepMs } = this.limits
    if (pendingProbes.length === 0) return -Infinity
    return Math.max(...pendingProbes) + (pendingProbes.length >= probes ? keepMs : probeMs)
  }

  /** Until when consecutive crashes quarantine the request. */
  #crashQuarantineUntil (consecutive: readonly Crash[]): number {
    const { shortThreshold, shortQuarantineMs, longThreshold, keepMs } = this.limits
    const last = consecutive.at(-1)
    if (last === undefined || consecutive.length < shortThreshold) return -Infinity
    // Once this crash has expired, too few are left for the long quarantine.
    const earliestNeeded = consecutive.at(-longThreshold)
    return Math.max(last.endedAt + shortQuarantineMs, earliestNeeded === undefined ? -Infinity : earliestNeeded.endedAt + keepMs)
  }

  #unexpired ({ crashes }: RequestRecord, now: number): Crash[] {
    return [...crashes.values()].filter(crash => now - crash.endedAt < this.limits.keepMs)
  }

  /** Evicts requests that aren't quarantined before those that are, and the least recently updated first. */
  #evict (now: number): void {
    const fingerprints = [...this.#records.keys()]
    const free = fingerprints.filter(fingerprint => this.quarantine(fingerprint, now) === undefined)
    const quarantined = fingerprints.filter(fingerprint => this.quarantine(fingerprint, now) !== undefined)
    const excess = Math.ceil(fingerprints.length - this.limits.most * evictionTarget)
    for (const fingerprint of [...free, ...quarantined].slice(0, excess)) this.#records.delete(fingerprint)
  }
}

/** The crashes of which each run was sent after the server before it had crashed. */
const consecutiveCrashes = (crashes: readonly Crash[]): Crash[] => {
  const consecutive: Crash[] = []
  // Ties are ordered by server, so that processes that learned of two crashes in a different order come to the same result.
  const ordered = [...crashes].sort((a, b) => a.endedAt - b.endedAt || (a.server < b.server ? -1 : 1))
  for (const crash of ordered) {
    if (crash.sentAt >= (consecutive.at(-1)?.endedAt ?? -Infinity)) consecutive.push(crash)
  }
  return consecutive
}
