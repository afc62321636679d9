/**
 * What is known of one request, or of one part of prompts: the servers that crashed under it, its probes and its last completed run.
 */
import { partFingerprintPrefix, type Fingerprint } from '@finchpitch/core'

/** A server crashed while it ran the work, or shortly after the work was sent to it. */
export interface Crash {
  fingerprint: Fingerprint
  /** One incarnation of a server; a restarted server counts as another one. */
  server: string
  /** Of the last request with the work, on the monotonic clock of this process. */
  sentAt: number
  endedAt: number
}

/** Reports of the same probe that arrive by way of different processes differ by less than this in its start time. */
const sameProbeMs = 1000
/** Crashes and probes that a record keeps, the most recent ones. */
const maxKept = 16

export class CrashRecord {
  /** A part of prompts, not a whole request. */
  readonly isPart: boolean
  /** Until then the work may only be sent as a probe, where it isn't quarantined. */
  probeOnlyUntil = -Infinity
  /** By server. */
  readonly #crashes = new Map<string, Crash>()
  #completedAt = -Infinity
  /** Start times of the probes since the last completed run, in order. */
  #probes: readonly number[] = []

  constructor (fingerprint: Fingerprint) {
    this.isPart = fingerprint.startsWith(partFingerprintPrefix)
  }

  get crashes (): Crash[] {
    return [...this.#crashes.values()]
  }

  get probes (): readonly number[] {
    return this.#probes
  }

  /** When the last completed run ended. */
  get completedAt (): number {
    return this.#completedAt
  }

  involves (server: string): boolean {
    return this.#crashes.has(server)
  }

  /** Returns false if the crash was known or came before a completed run. */
  addCrash (crash: Crash): boolean {
    if (this.involves(crash.server) || crash.endedAt <= this.#completedAt) return false
    this.#crashes.set(crash.server, crash)
    const [oldest] = inOrder(this.crashes)
    if (this.#crashes.size > maxKept && oldest !== undefined) this.#crashes.delete(oldest.server)
    return true
  }

  /** Returns false if the probe was known or came before a completed run. */
  addProbe (at: number): boolean {
    // Times cross between processes as ages, so the same probe appears at a slightly different time on each path.
    if (at <= this.#completedAt || this.#probes.some(each => Math.abs(each - at) < sameProbeMs)) return false
    this.#probes = [...this.#probes, at].sort((a, b) => a - b).slice(-maxKept)
    return true
  }

  /** Discards all probes, and the crashes before `endedAt`. Returns whether there were any. */
  complete (endedAt: number): boolean {
    if (endedAt <= this.#completedAt) return false
    const discarded = this.crashes.filter(crash => crash.endedAt <= endedAt)
    const changed = discarded.length > 0 || this.#probes.length > 0
    for (const { server } of discarded) this.#crashes.delete(server)
    this.#completedAt = endedAt
    this.#probes = []
    this.probeOnlyUntil = -Infinity
    return changed
  }

  /** Probes without an outcome yet: a crash is the outcome of the probes that were started before it. */
  get pendingProbes (): number[] {
    const lastCrashAt = Math.max(-Infinity, ...this.crashes.map(({ endedAt }) => endedAt))
    return this.#probes.filter(at => at > lastCrashAt)
  }

  /** The first crash after each probe, in order. */
  get probeCrashes (): Crash[] {
    if (this.#probes.length === 0) return []
    const ordered = inOrder(this.crashes)
    return [...new Set(this.#probes.flatMap(at => ordered.find(({ endedAt }) => endedAt >= at) ?? []))]
  }
}

/** Ties are ordered by server, so that processes that learned of two crashes in a different order come to the same result. */
const inOrder = (crashes: readonly Crash[]): Crash[] => [...crashes].sort((a, b) => a.endedAt - b.endedAt || (a.server < b.server ? -1 : 1))

/** The crashes of which each run was sent after the server before it had crashed. */
export const consecutiveCrashes = (crashes: readonly Crash[]): Crash[] => {
  const consecutive: Crash[] = []
  for (const crash of inOrder(crashes)) {
    if (crash.sentAt >= (consecutive.at(-1)?.endedAt ?? -Infinity)) consecutive.push(crash)
  }
  return consecutive
}
