/**
 * Records under which work servers crashed, and quarantines work that crashes servers: requests, and parts that prompts share.
 *
 * Without it, a request that crashes each server that runs it takes down one after the other, since its caller retries it, and so does
 * a part of prompts that comes in ever new requests. A crash fails all requests on the server, up to a whole batch, of which at most
 * one is the cause, and a request has several parts. What crashes servers can be told from the rest, as it was sent again after the
 * crash, and the next server crashed too. Such consecutive crashes quarantine work: three for a long time, and two a request for a short
 * one. A part is in more requests, so that two crashes are more often a coincidence, and refusing it harms more callers. Crashes whose
 * runs overlap count as one, as a single fault may bring down many servers at the same time. A run that completes shows that all of its
 * work crashes no server, and discards all crashes before it.
 *
 * An expired quarantine doesn't release work, since it may come through all entry processes at the same moment. One run of it is
 * allowed across all of them, as a probe, and its outcome decides. Each probe that crashes a server makes the next quarantine longer.
 */
import type { Fingerprint } from '@finchpitch/core'
import { CrashRecord, consecutiveCrashes, type Crash } from './crash-record.js'
import { Suspects } from './crash-suspects.js'

/** A run of the work that completed. */
export interface CompletedRun {
  fingerprint: Fingerprint
  endedAt: number
}

/** The single run that work is allowed after its quarantine has expired, or to tell it from equal suspects. */
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
  /** Consecutive crashes that quarantine a part of prompts, for as long. */
  partThreshold: number
  /** How long a crash counts. */
  keepMs: number
  /** Length of the quarantine after the first probe that crashed a server, after the second one, and so on; the last also after all further ones. */
  probeBackoffMs: readonly number[]
  /** Another probe is allowed when the last one has had no outcome for this long. */
  probeMs: number
  /** Consecutive probes without an outcome that quarantine work for as long as a crash counts. */
  probes: number
  /** Maximum number of records. */
  most: number
}

const minuteMs = 60_000
const hourMs = 60 * minuteMs

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
  partThreshold: 3,
  /** Long, as a request that crashes servers has to be fixed by people, and each time this expires, another server crashes. */
  keepMs: 10 * minuteMs,
  /** Three probes on the first day, and one on each further day. */
  probeBackoffMs: [10 * minuteMs, hourMs, 6 * hourMs, 24 * hourMs],
  /** Covers the longest timeout of a caller and the time until a crash is known to have occurred. */
  probeMs: 15_000,
  probes: 2,
  /** A record takes about 200 bytes with two crashes. One crash of a server adds up to a batch of requests and their parts. */
  most: 2000
}

/** Why work must not be sent. */
export interface Quarantine {
  /** The servers that crashed under it, in order. */
  servers: string[]
  leftMs: number
}

/** What the history of a request and of the parts of its prompt allows. `of`: the work that needs a grant to be probed. */
export type CrashVerdict =
  | { type: 'run' }
  | { type: 'probe', of: readonly Fingerprint[] }
  | { type: 'quarantined', quarantine: Quarantine }

/** How often expired records are searched for. */
const expiryIntervalMs = 1000
/** Share of the maximum that an eviction leaves, so that not every further record causes another eviction. */
const evictionTarget = 0.9

const run: CrashVerdict = { type: 'run' }

export class CrashHistory {
  /** In the order of their last updates, the least recent first. */
  readonly #records = new Map<Fingerprint, CrashRecord>()
  /** `undefined` after a change. */
  #suspects: Suspects | undefined
  #expiredAt = -Infinity

  constructor (private readonly limits: QuarantineLimits) {}

  get size (): number {
    return this.#records.size
  }

  /** Records a crash. Returns false if it was known, has expired, or came before a completed run. */
  recordCrash (crash: Crash, now: number): boolean {
    const { fingerprint, endedAt } = crash
    const record = this.#records.get(fingerprint) ?? new CrashRecord(fingerprint)
    const isOutcome = record.probes.some(at => at <= endedAt)
    if (now - endedAt >= this.limits.keepMs && !isOutcome) return false
    if (!record.addCrash(crash)) return false
    this.#update(fingerprint, record, now)
    return true
  }

  /** Records that a probe was started. Returns false if it was known, has expired, or came before a completed run. */
  recordProbe ({ fingerprint, at }: Probe, now: number): boolean {
    const record = this.#records.get(fingerprint) ?? new CrashRecord(fingerprint)
    if (now - at >= this.#longestBackoffMs || !record.addProbe(at)) return false
    this.#update(fingerprint, record, now)
    return true
  }

  /** Records a completed run. Returns true if that discarded a crash or a probe; always false for work without a record. */
  sound ({ fingerprint, endedAt }: CompletedRun): boolean {
    const changed = this.#records.get(fingerprint)?.complete(endedAt) ?? false
    if (changed) this.#suspects = undefined
    return changed
  }

  /** What may be done with a request, by the fingerprints of it and of the parts of its prompt. */
  verdict (work: readonly Fingerprint[], now: number): CrashVerdict {
    const quarantined = work.filter(fingerprint => this.quarantine(fingerprint, now) !== undefined)
    const [first] = quarantined
    if (first === undefined) {
      const of = work.filter(fingerprint => this.probeDue(fingerprint, now))
      return of.length === 0 ? run : { type: 'probe', of }
    }
    if (quarantined.length === 1 && this.#mayTellApart(first, work, now)) return { type: 'probe', of: [first] }
    const longest = quarantined.flatMap(fingerprint => this.quarantine(fingerprint, now) ?? []).sort((a, b) => b.leftMs - a.leftMs)
    return { type: 'quarantined', quarantine: longest[0] ?? { servers: [], leftMs: 0 } }
  }

  /** `undefined` if the work isn't quarantined. */
  quarantine (fingerprint: Fingerprint, now: number): Quarantine | undefined {
    const record = this.#records.get(fingerprint)
    if (record === undefined || this.#isExplained(fingerprint, record, now)) return undefined
    const leftMs = this.#quarantinedUntil(record, now) - now
    return leftMs > 0 ? { servers: consecutiveCrashes(record.crashes).map(crash => crash.server), leftMs } : undefined
  }

  /** Whether the quarantine has expired and no run has completed since, so that one entry process of all may send the work once. */
  probeDue (fingerprint: Fingerprint, now: number): boolean {
    const record = this.#records.get(fingerprint)
    if (record === undefined || now >= record.probeOnlyUntil || this.#isExplained(fingerprint, record, now)) return false
    return this.quarantine(fingerprint, now) === undefined
  }

  /** Whether one entry process of all may send the work once, in a request without any other suspect. */
  mayProbe (fingerprint: Fingerprint, now: number): boolean {
    return this.quarantine(fingerprint, now) === undefined || this.#mayTellApart(fingerprint, [fingerprint], now)
  }

  /** Probes since the last completed run of their work. */
  probes (): Probe[] {
    return [...this.#records].flatMap(([fingerprint, { probes }]) => probes.map(at => ({ fingerprint, at })))
  }

  /** All crashes that still count. */
  crashes (now: number): Crash[] {
    return [...this.#records.keys()].flatMap(fingerprint => this.crashesOf(fingerprint, now))
  }

  /** The crashes under one request or part that still count. */
  crashesOf (fingerprint: Fingerprint, now: number): Crash[] {
    const record = this.#records.get(fingerprint)
    if (record === undefined) return []
    return now < record.probeOnlyUntil ? record.crashes : this.#unexpired(record, now)
  }

  /** Removes expired records, and evicts others where the table is too large. May be called at any rate: it does its work once per interval. */
  expire (now: number): void {
    if (this.#records.size <= this.limits.most && now - this.#expiredAt < expiryIntervalMs) return
    this.#expiredAt = now
    this.#suspects = undefined
    for (const [fingerprint, record] of this.#records) {
      if (this.#isExpired(record, now)) this.#records.delete(fingerprint)
    }
    if (this.#records.size > this.limits.most) this.#evict(now)
  }

  #isExpired (record: CrashRecord, now: number): boolean {
    if (this.#unexpired(record, now).length > 0 || now < record.probeOnlyUntil) return false
    // Reports of crashes before a completed run, or after a probe, may still arrive.
    return now - record.completedAt >= this.limits.keepMs && now - (record.probes.at(-1) ?? -Infinity) >= this.#longestBackoffMs
  }

  /** Stores a changed record as the most recently updated one. */
  #update (fingerprint: Fingerprint, record: CrashRecord, now: number): void {
    const { keepMs } = this.limits
    const until = this.#quarantinedUntil(record, now)
    // A longer quarantine is remembered for longer, as work that comes rarely may come again long after it.
    if (until > -Infinity) record.probeOnlyUntil = Math.max(record.probeOnlyUntil, until + Math.max(keepMs, this.#backoffMs(record)))
    this.#suspects = undefined
    this.#records.delete(fingerprint)
    this.#records.set(fingerprint, record)
    this.expire(now)
  }

  /** Until when the crashes and probes of the work quarantine it; in the past if they don't. */
  #quarantinedUntil (record: CrashRecord, now: number): number {
    return Math.max(this.#crashQuarantineUntil(record, now), this.#probeQuarantineUntil(record), this.#failedProbesUntil(record))
  }

  /** Until when probes without an outcome quarantine the work. */
  #probeQuarantineUntil (record: CrashRecord): number {
    const { probes, probeMs, keepMs } = this.limits
    const { pendingProbes: pending } = record
    if (pending.length === 0) return -Infinity
    return Math.max(...pending) + (pending.length >= probes ? keepMs : probeMs)
  }

  /** Until when probes that crashed servers quarantine the work. */
  #failedProbesUntil (record: CrashRecord): number {
    const last = record.probeCrashes.at(-1)
    return last === undefined ? -Infinity : last.endedAt + this.#backoffMs(record)
  }

  /** Length of the quarantine after the probes that have crashed a server; 0 if none has. */
  #backoffMs (record: CrashRecord): number {
    const { probeBackoffMs } = this.limits
    const failed = record.probeCrashes.length
    return failed === 0 ? 0 : probeBackoffMs[Math.min(failed, probeBackoffMs.length) - 1] ?? 0
  }

  get #longestBackoffMs (): number {
    return Math.max(...this.limits.probeBackoffMs)
  }

  /** Until when consecutive crashes quarantine the work. */
  #crashQuarantineUntil (record: CrashRecord, now: number): number {
    const { shortQuarantineMs, longThreshold, partThreshold, keepMs } = this.limits
    const consecutive = consecutiveCrashes(this.#unexpired(record, now))
    const last = consecutive.at(-1)
    if (last === undefined || consecutive.length < this.#threshold(record)) return -Infinity
    // Once this crash has expired, too few are left for the long quarantine.
    const earliestNeeded = consecutive.at(record.isPart ? -partThreshold : -longThreshold)
    return Math.max(last.endedAt + shortQuarantineMs, earliestNeeded === undefined ? -Infinity : earliestNeeded.endedAt + keepMs)
  }

  /** Consecutive crashes that quarantine the work at all. */
  #threshold ({ isPart }: CrashRecord): number {
    return isPart ? this.limits.partThreshold : this.limits.shortThreshold
  }

  #unexpired ({ crashes }: CrashRecord, now: number): Crash[] {
    return crashes.filter(crash => now - crash.endedAt < this.limits.keepMs)
  }

  /** Whether stronger suspects explain so many of its crashes that the rest would not quarantine the work. */
  #isExplained (fingerprint: Fingerprint, record: CrashRecord, now: number): boolean {
    if (record.crashes.length < this.#threshold(record)) return false
    return now < record.probeOnlyUntil && !this.#currentSuspects(now).has(fingerprint)
  }

  #currentSuspects (now: number): Suspects {
    this.#suspects ??= new Suspects([...this.#records].filter(([, record]) => now < record.probeOnlyUntil), record => this.#threshold(record))
    return this.#suspects
  }

  /** Whether one run of this work would tell the suspect from an equal one, and none is under way. */
  #mayTellApart (fingerprint: Fingerprint, work: readonly Fingerprint[], now: number): boolean {
    const record = this.#records.get(fingerprint)
    return record?.pendingProbes.length === 0 && this.#currentSuspects(now).hasAlternative(fingerprint, work)
  }

  /** Evicts work that isn't quarantined before that which is, then that with the fewest crashes, then the least recently updated. */
  #evict (now: number): void {
    const fingerprints = [...this.#records.keys()]
    const crashesOf = (fingerprint: Fingerprint): number => this.#records.get(fingerprint)?.crashes.length ?? 0
    const free = fingerprints.filter(fingerprint => this.quarantine(fingerprint, now) === undefined).sort((a, b) => crashesOf(a) - crashesOf(b))
    const quarantined = fingerprints.filter(fingerprint => this.quarantine(fingerprint, now) !== undefined)
    const excess = Math.ceil(fingerprints.length - this.limits.most * evictionTarget)
    for (const fingerprint of [...free, ...quarantined].slice(0, excess)) this.#records.delete(fingerprint)
    this.#suspects = undefined
  }
}
