/**
 * Relays the attempt reports of each entry to the others: crashes of servers, completed runs, limits that servers advertise,
 * probes, plain services that have become busy, and services for which entries lack retries. Keeps the reports for entries that
 * start or connect later, except for the last two kinds, which the answers of the bank name while they last.
 */
import type { Fingerprint } from '@finchpitch/core'
import { CrashHistory, AdvertisedLimits, quarantineLimits, type AdvertisedLimit } from '@finchpitch/decisions'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { reportFrames, batchDelayMs, sendKnownCrashes, sendKnownLimits, hasNoReports, mergeReports, recordCrashes, limitsFromFrame, type AttemptReports } from '../attempt-reports.js'
import { CoalescingTimer } from '../coalescing-timer.js'

/**
 * A report that confirms a known limit is relayed if it is this much newer than the last statement: entries then don't check the
 * limit themselves. It is half of the time after which an entry checks. Entries that connect report all limits that they know,
 * and relaying each of these reports would only cost messages.
 */
const minConfirmationMs = 5000
/** All entries with requests at a crashed server report the crash within a few ms; their reports are relayed together. */
const crashBatchMs = 20

export class AttemptReportRelay {
  readonly #crashes = new CrashHistory(quarantineLimits)
  readonly #limits = new AdvertisedLimits()
  readonly #startedAt = nowMs()
  #pending: Array<{ report: AttemptReports, from: Channel }> = []
  readonly #flushTimer = new CoalescingTimer(() => this.#flush())

  /** `entries`: channels to the entries that receive the reports. */
  constructor (private readonly entries: () => Channel[]) {}

  handleReport (from: Channel, frame: FrameOf<'crashes'>): void {
    if (frame.ask !== undefined) return this.#answerProbe(from, frame.ask, frame.stamp)
    from.send({ type: 'crashes_noted', stamp: frame.stamp })
    this.#sendKnownCrashes(from, frame)
    const limits = limitsFromFrame(frame).filter(limit => this.#isNews(limit))
    this.#limits.expire(nowMs())
    const report = { ...recordCrashes(this.#crashes, frame), limits, busy: frame.busy ?? [], retrying: frame.retrying ?? [] }
    if (hasNoReports(report)) return
    this.#pending.push({ report, from })
    this.#flushTimer.runWithin(batchDelayMs(report, crashBatchMs))
  }

  #isNews (limit: AdvertisedLimit): boolean {
    const confirms = this.#limits.confirms(limit, minConfirmationMs)
    return this.#limits.note(limit) || confirms
  }

  /**
   * Answers an entry that asks to probe a request or a part of prompts. Only one entry is granted the probe; its outcome
   * arrives as a report. A process that has just started grants none, as its previous incarnation may have granted one.
   */
  #answerProbe (entry: Channel, fingerprint: Fingerprint, stamp: number): void {
    const now = nowMs()
    const granted = now - this.#startedAt >= quarantineLimits.probeMs && this.#crashes.mayProbe(fingerprint, now) && this.#crashes.recordProbe({ fingerprint, at: now }, now)
    entry.send({ type: 'crashes_noted', stamp, granted })
  }

  /**
   * Sends the entry all other crashes known for the requests that it reported. An entry that started while no local side process
   * knew of them would otherwise count crashes from one again, and let the request crash two more servers.
   */
  #sendKnownCrashes (entry: Channel, { crashes }: FrameOf<'crashes'>): void {
    const reported = new Set(crashes.map(([fingerprint, server]) => `${fingerprint} ${server}`))
    const known = [...new Set(crashes.map(([fingerprint]) => fingerprint))].flatMap(fingerprint => this.#crashes.crashesOf(fingerprint, nowMs()))
    const more = known.filter(({ fingerprint, server }) => !reported.has(`${fingerprint} ${server}`))
    for (const frame of reportFrames({ crashes: more, sound: [], limits: [], probes: [] })) entry.send(frame)
  }

  /** Sends all reports to an entry that has connected. */
  sendAll (entry: Channel): void {
    sendKnownCrashes(this.#crashes, entry)
    sendKnownLimits(this.#limits, entry)
  }

  close (): void {
    this.#flushTimer.stop()
  }

  #flush (): void {
    const reports = this.#pending
    this.#pending = []
    for (const entry of this.entries()) {
      const others = reports.filter(({ from }) => from !== entry).map(({ report }) => report)
      for (const frame of reportFrames(mergeReports(others))) entry.send(frame)
    }
  }
}
