/**
 * Tells the work that crashes servers from work that only runs beside it.
 *
 * A crash fails all requests on a server, so work that often runs beside the cause is involved in the same crashes. A suspect counts only
 * for those that no stronger one explains: one with more consecutive crashes, or a request where a part of prompts has as many, since a
 * request is the narrower explanation. Equal suspects are told apart by running each of them without the other.
 */
import type { Fingerprint } from '@finchpitch/core'
import { consecutiveCrashes, type CrashRecord } from './crash-record.js'

interface Suspect {
  fingerprint: Fingerprint
  record: CrashRecord
  /** Number of consecutive crashes. */
  strength: number
}

/** Consecutive crashes that make work a suspect. */
export type SuspectThreshold = (record: CrashRecord) => number

/** The suspects whose crashes no stronger suspect explains. */
export class Suspects {
  readonly #unexplained = new Map<Fingerprint, Suspect>()

  /** `records`: of all suspects. */
  constructor (records: ReadonlyArray<readonly [Fingerprint, CrashRecord]>, private readonly threshold: SuspectThreshold) {
    const suspects = records.map(([fingerprint, record]) => ({ fingerprint, record, strength: consecutiveCrashes(record.crashes).length }))
    for (const suspect of suspects.sort(strongestFirst)) {
      const stronger = [...this.#unexplained.values()].filter(other => isStronger(other, suspect))
      if (!this.#isExplainedBy(stronger, suspect)) this.#unexplained.set(suspect.fingerprint, suspect)
    }
  }

  has (fingerprint: Fingerprint): boolean {
    return this.#unexplained.has(fingerprint)
  }

  /**
   * Whether an equal suspect that is not part of this work explains the same crashes, so that a run of this work without the other one
   * tells which of them is the cause.
   */
  hasAlternative (fingerprint: Fingerprint, work: readonly Fingerprint[]): boolean {
    const suspect = this.#unexplained.get(fingerprint)
    if (suspect === undefined) return false
    return [...this.#unexplained.values()].some(other => !work.includes(other.fingerprint) && this.#isExplainedBy([other], suspect))
  }

  /** Whether the crashes that none of the others is involved in would not make it a suspect. */
  #isExplainedBy (others: readonly Suspect[], { record }: Suspect): boolean {
    const left = record.crashes.filter(({ server }) => !others.some(other => other.record.involves(server)))
    return left.length < record.crashes.length && consecutiveCrashes(left).length < this.threshold(record)
  }
}

/** Whether the crashes that both are involved in are put down to `other`. */
const isStronger = (other: Suspect, suspect: Suspect): boolean =>
  other.strength > suspect.strength || (other.strength === suspect.strength && !other.record.isPart && suspect.record.isPart)

const strongestFirst = (a: Suspect, b: Suspect): number => b.strength - a.strength || Number(a.record.isPart) - Number(b.record.isPart)
