/**
 * Relays what entries observe when they attempt requests to other entries: servers that crashed while running a request,
 * requests that proved harmless, and limits that servers announced.
 *
 * Keeps these reports for entries that start or connect later.
 */
import type { RequestFingerprint } from '@finchpitch/core'
import { CrashLedger, LimitLedger, crashLimits } from '@finchpitch/decisions'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { framesOf, gatherMsOf, greetWith, greetWithLimits, isEmpty, joined, takeCrashes, takeLimits, type TryNews } from '../try-news.js'
import { SoonTimer } from '../soon-timer.js'

/** All entries with requests at a crashed server report the crash within a few ms; their reports are relayed together. */
const crashBatchMs = 20

export class TryNewsRelay {
  readonly #crashes = new CrashLedger(crashLimits)
  readonly #limits = new LimitLedger()
  readonly #startedAt = nowMs()
  #pending: Array<{ report: TryNews, from: Channel }> = []
  readonly #flushTimer = new SoonTimer(() => this.#flush())

  /** `entries`: channels to the entries that receive the reports. */
  constructor (private readonly entries: () => Channel[]) {}

  take (from: Channel, frame: FrameOf<'crashes'>): void {
    if (frame.ask !== undefined) return this.#answerProbe(from, frame.ask, frame.stamp)
    from.send({ type: 'crashes_noted', stamp: frame.stamp })
    this.#sendKnownCrashes(from, frame)
    const limits = takeLimits(frame).filter(limit => this.#limits.note(limit))
    this.#limits.expire(nowMs())
    const report = { ...takeCrashes(this.#crashes, frame), limits }
    if (isEmpty(report)) return
    this.#pending.push({ report, from })
    this.#flushTimer.within(gatherMsOf(report, crashBatchMs))
  }

  /**
   * Answers an entry that asks to probe a request whose quarantine has expired. Only one entry is granted the probe; its outcome
   * arrives as a report. A process that has just started grants none, as its predecessor may have granted one to another entry.
   */
  #answerProbe (entry: Channel, fingerprint: RequestFingerprint, stamp: number): void {
    const now = nowMs()
    const granted = now - this.#startedAt >= crashLimits.probeMs && this.#crashes.quarantine(fingerprint, now) === undefined && this.#crashes.probed({ fingerprint, at: now }, now)
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
    for (const frame of framesOf({ crashes: more, sound: [], limits: [], probes: [] })) entry.send(frame)
  }

  /** Sends all reports to an entry that has connected. */
  greet (entry: Channel): void {
    greetWith(this.#crashes, entry)
    greetWithLimits(this.#limits, entry)
  }

  close (): void {
    this.#flushTimer.stop()
  }

  #flush (): void {
    const reports = this.#pending
    this.#pending = []
    for (const entry of this.entries()) {
      const others = reports.filter(({ from }) => from !== entry).map(({ report }) => report)
      for (const frame of framesOf(joined(others))) entry.send(frame)
    }
  }
}
