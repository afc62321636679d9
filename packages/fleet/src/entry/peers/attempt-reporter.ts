/**
 * Reports the results of attempts to the other entries: servers that crashed while running requests, requests that ran without
 * a crash, probes, and limits that servers advertise.
 *
 * Reports go to one side process of each failure domain, the same for all entries, which relays them to its subscribers. A
 * crash thus costs an entry one frame per domain, and the reports of all other entries reach it in one frame. A side process
 * that doesn't acknowledge a report is skipped, and the next one is tried.
 */
import type { Log } from '@finchpitch/core'
import type { Channel } from '@finchpitch/wire'
import { nowMs } from '../../clock.js'
import { reportFrames, batchDelayMs, hasNoReports, mergeReports, noReports, type AttemptReports } from '../../attempt-reports.js'
import { CoalescingTimer } from '../../coalescing-timer.js'
import { RendezvousSelector } from './rendezvous-selector.js'

/** A crash fails all requests on the server, up to a whole batch; these are reported together. */
const crashBatchMs = 5
/** Side processes acknowledge within a few ms, also across domains, or within 0.3 s if the channel has to be opened first. */
const ackTimeoutMs = 400
const checkIntervalMs = 100
/** A side process that didn't acknowledge a report is skipped for this long. */
const skipMs = 5000
/** Enough for each side process of a small domain to be tried. */
const maxTries = 5

/** A side process that reports may be sent to. */
export interface ReportTarget {
  host: string
  domain: string
  /** `false` if it is known to be unresponsive or disconnected. */
  responsive: boolean
}

export interface AttemptReporterOptions {
  sideProcesses: () => ReportTarget[]
  /** The channel to a side process; starts to open one if there is none. */
  channelTo: (host: string) => Channel | undefined
  log: Log
}

/** Reports that no side process of a domain has acknowledged yet. */
interface PendingReport {
  reports: AttemptReports
  domain: string
  /** Side process that was tried last. */
  host: string | undefined
  /** Stamp of the last frame sent to it; `undefined` until its channel is open. */
  stamp: number | undefined
  triedAt: number
  tries: number
}

export class AttemptReporter {
  readonly #pending = new Set<PendingReport>()
  readonly #rendezvous = new RendezvousSelector({ purpose: 'crashes', skipMs, now: nowMs })
  /** Reports collected for the next batch. */
  #batch: AttemptReports = noReports
  readonly #batchTimer = new CoalescingTimer(() => this.#sendBatch())
  /** Runs while reports are pending. */
  #checkTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: AttemptReporterOptions) {}

  report (reports: AttemptReports): void {
    if (hasNoReports(reports)) return
    this.#batch = mergeReports([this.#batch, reports])
    this.#batchTimer.runWithin(batchDelayMs(reports, crashBatchMs))
  }

  /** Handles the acknowledgement of the frame with this stamp by the side process at `host`. */
  handleAck (host: string, stamp: number): void {
    for (const pending of this.#pending) if (pending.host === host && pending.stamp === stamp) this.#pending.delete(pending)
    this.#stopIfDone()
  }

  close (): void {
    this.#batchTimer.stop()
    clearInterval(this.#checkTimer)
  }

  #sendBatch (): void {
    const reports = this.#batch
    this.#batch = noReports
    const targets = this.options.sideProcesses()
    for (const domain of new Set(targets.map(target => target.domain))) this.#sendToDomain(reports, domain, targets)
  }

  #sendToDomain (reports: AttemptReports, domain: string, targets: readonly ReportTarget[]): void {
    const pending: PendingReport = { reports, domain, host: undefined, stamp: undefined, triedAt: -Infinity, tries: 0 }
    this.#pending.add(pending)
    this.#tryNext(pending, targets)
    this.#checkTimer ??= setInterval(() => this.#checkPending(), checkIntervalMs)
  }

  #checkPending (): void {
    for (const pending of this.#pending) {
      if (pending.stamp === undefined) this.#send(pending)
      if (nowMs() - pending.triedAt < ackTimeoutMs) continue
      if (pending.host !== undefined) this.#rendezvous.skip(pending.host)
      this.#tryNext(pending, this.options.sideProcesses())
    }
    this.#stopIfDone()
  }

  #stopIfDone (): void {
    if (this.#pending.size > 0) return
    clearInterval(this.#checkTimer)
    this.#checkTimer = undefined
  }

  #tryNext (pending: PendingReport, targets: readonly ReportTarget[]): void {
    if (pending.tries >= maxTries) {
      this.#pending.delete(pending)
      this.options.log.warn('crashes.not_passed_on', { domain: pending.domain, crashes: pending.reports.crashes.length, sound: pending.reports.sound.length, limits: pending.reports.limits.length, tries: pending.tries })
      return
    }
    const candidates = targets.filter(target => target.domain === pending.domain && target.responsive)
    pending.host = this.#rendezvous.choose(candidates.map(({ host }) => host))
    pending.tries += 1
    pending.triedAt = nowMs()
    pending.stamp = undefined
    this.#send(pending)
  }

  #send (pending: PendingReport): void {
    const channel = pending.host === undefined ? undefined : this.options.channelTo(pending.host)
    if (channel === undefined) return
    for (const frame of reportFrames(pending.reports)) if (channel.send(frame)) pending.stamp = frame.stamp
  }
}
