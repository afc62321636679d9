/**
 * Tracks which requests and which parts of prompts crash servers, from the failed attempts of this entry and from the reports of other
 * entries.
 *
 * Work that has crashed servers in a row is quarantined: it is sent to no server. All entries have to know of the crashes before the
 * work comes again, so they are shared within a few ms. An entry that loses contact with the others keeps what it knows.
 */
import type { Log, Fingerprint } from '@finchpitch/core'
import { CrashHistory, quarantineLimits, type Crash, type CrashVerdict, type Quarantine } from '@finchpitch/decisions'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { nowMs } from '../../clock.js'
import { sendKnownCrashes, noReports, recordCrashes, type AttemptReports } from '../../attempt-reports.js'
import type { Facts } from '../../facts.js'
import { incarnationOf } from '../../incarnation.js'
import { isEarlierIncarnation, type BackendServer } from '../../server.js'
import type { EntryCounters } from '../counters.js'
import type { AttemptReporter } from '../peers/attempt-reporter.js'
import type { ServerLiveness } from './server-liveness.js'

/**
 * A crashed server is replaced, and listed with another id or start time, within a few seconds. This reveals crashes of servers
 * whose address still accepted connections after the attempt failed, because of a proxy in front of it or a fast restart.
 */
const replacementMs = 10_000
/** Maximum number of failed attempts that may still turn out to be crashes. A server that resets its connections adds a batch at once. */
const maxUnconfirmed = 500

/** An attempt that failed while its server was running the request. */
export interface FailedAttempt {
  request: string
  fingerprint: Fingerprint
  /** The parts that its prompt shares with other requests. */
  parts: readonly Fingerprint[]
  server: BackendServer
  /** When it was sent, on the monotonic clock. */
  sentAt: number
  /** Time from then to the head of the response; `undefined` if there was none. */
  responseMs: number | undefined
}

export interface CrashTrackerOptions {
  facts: Facts
  liveness: ServerLiveness
  reporter: Pick<AttemptReporter, 'report'>
  /** Asks a side process for permission to run work whose quarantine has expired. */
  requestProbe: (fingerprint: Fingerprint) => Promise<boolean>
  /** Called when work becomes quarantined, as requests with it may be waiting in the queue. */
  onQuarantine: () => void
  counters: EntryCounters
  log: Log
}

interface TimedFailure extends FailedAttempt {
  endedAt: number
}

export class CrashTracker {
  readonly #history = new CrashHistory(quarantineLimits)
  /** Failed attempts whose servers are not known to have crashed, the oldest first. */
  #unconfirmed: TimedFailure[] = []
  /** Failed attempts whose servers crashed, until they are recorded. */
  #ended: TimedFailure[] = []

  constructor (private readonly options: CrashTrackerOptions) {
    options.facts.onChange(fact => { if (fact.kind === 'server' && fact.value !== undefined) this.#checkReplaced(fact.value) })
  }

  /** Whether nothing has a record, so that fingerprints need not be computed. */
  get isEmpty (): boolean {
    return this.#history.size === 0
  }

  /** `undefined` if the work isn't quarantined. */
  quarantine (fingerprint: Fingerprint): Quarantine | undefined {
    return this.#history.quarantine(fingerprint, nowMs())
  }

  /** What may be done with a request, by the fingerprints of it and of the parts of its prompt. */
  verdict (work: readonly Fingerprint[]): CrashVerdict {
    return this.#history.verdict(work, nowMs())
  }

  /** Asks for permission to send the work once, as a probe of whether it still crashes its server. Returns whether it was granted. */
  async requestProbe (fingerprint: Fingerprint, request: string): Promise<boolean> {
    const { requestProbe, reporter, log } = this.options
    const granted = await requestProbe(fingerprint)
    log.info('request.probe', { request, fingerprint, granted })
    if (!granted) return false
    const probe = { fingerprint, at: nowMs() }
    this.#history.recordProbe(probe, nowMs())
    reporter.report({ ...noReports, probes: [probe] })
    return true
  }

  /** A server that is draining, or is no longer listed, is expected to stop. */
  #isExpectedToStop ({ id }: BackendServer): boolean {
    return this.options.facts.servers.get(id)?.leaving !== false
  }

  /** Records a failed attempt, and checks whether its server crashed. One that was expected to stop is not counted. */
  async brokeOff (failure: FailedAttempt): Promise<void> {
    const { liveness, log } = this.options
    const { request, fingerprint, parts, server, sentAt, responseMs } = failure
    const endedAt = nowMs()
    const expected = this.#isExpectedToStop(server)
    const ended = !expected && await liveness.ended(server)
    log.info('request.broke_off', { request, fingerprint, parts, server: server.id, ranMs: Math.round(endedAt - sentAt), responseMs: responseMs === undefined ? undefined : Math.round(responseMs), expected, ended })
    if (ended) this.#recordEnded({ ...failure, endedAt })
    else if (!expected) this.#unconfirmed = [...this.#unconfirmed, { ...failure, endedAt }].slice(-maxUnconfirmed)
  }

  /** Attempts at one server learn from one check that it crashed, and are recorded together. */
  #recordEnded (failure: TimedFailure): void {
    this.#ended.push(failure)
    if (this.#ended.length > 1) return
    queueMicrotask(() => {
      const ended = this.#ended
      this.#ended = []
      this.#recordOwnCrashes(ended)
    })
  }

  /** Counts the failed attempts at the address of a newly listed server, or of a new incarnation, as crashes of its predecessor. */
  #checkReplaced (replacement: BackendServer): void {
    if (this.#unconfirmed.length === 0) return
    const now = nowMs()
    const recent = this.#unconfirmed.filter(each => now - each.endedAt < replacementMs)
    const crashed = recent.filter(({ server }) => server.address === replacement.address && (server.id !== replacement.id || isEarlierIncarnation(server.bornAt, replacement.bornAt)))
    this.#unconfirmed = recent.filter(each => !crashed.includes(each))
    if (crashed.length === 0) return
    this.options.log.info('server.replaced', { by: replacement.id, brokeOff: crashed.map(each => each.fingerprint), agoMs: Math.round(now - (crashed[0]?.endedAt ?? now)) })
    this.#recordOwnCrashes(crashed)
  }

  /** Records that the servers of these attempts crashed, and reports it to the other entries. */
  #recordOwnCrashes (attempts: readonly TimedFailure[]): void {
    const { reporter, counters } = this.options
    const now = nowMs()
    counters.serverCrashes.inc(attempts.length)
    const reports = { crashes: crashesOf(attempts).filter(crash => this.#history.recordCrash(crash, now)), sound: [], limits: [], probes: [] }
    reporter.report(reports)
    this.#announceQuarantines(reports, 'own try')
  }

  /** Records that a run of the work completed, which discards its earlier crashes. */
  recordCompletion (work: readonly Fingerprint[]): void {
    const endedAt = nowMs()
    const quarantined = work.filter(fingerprint => this.quarantine(fingerprint) !== undefined)
    const sound = work.map(fingerprint => ({ fingerprint, endedAt })).filter(run => this.#history.sound(run))
    if (sound.length === 0) return
    this.#logReleased(quarantined, 'own try')
    this.options.reporter.report({ ...noReports, sound })
  }

  /** Records the reports of other entries that a side process relays. */
  handleReport (frame: FrameOf<'crashes'>, from: string): void {
    const quarantined = frame.sound.map(([fingerprint]) => fingerprint).filter(fingerprint => this.quarantine(fingerprint) !== undefined)
    this.#announceQuarantines(recordCrashes(this.#history, frame), from)
    this.#logReleased(quarantined, from)
  }

  /** Called periodically. Once all records have expired, fingerprints are no longer computed. */
  expire (): void {
    this.#history.expire(nowMs())
  }

  /** Sends everything known to a side process that has connected, since it may have restarted. */
  sendAll (side: Channel): void {
    sendKnownCrashes(this.#history, side)
  }

  /** Logs and counts the work that these crashes quarantine, and triggers a scan of the queue. */
  #announceQuarantines ({ crashes }: Pick<AttemptReports, 'crashes'>, from: string): void {
    const { counters, log, onQuarantine } = this.options
    let any = false
    for (const fingerprint of new Set(crashes.map(crash => crash.fingerprint))) {
      const quarantine = this.quarantine(fingerprint)
      if (quarantine === undefined) continue
      any = true
      counters.quarantines.inc()
      log.warn('request.quarantined', { fingerprint, servers: quarantine.servers, forMs: Math.round(quarantine.leftMs), from })
    }
    if (any) onQuarantine()
  }

  #logReleased (fingerprints: readonly Fingerprint[], from: string): void {
    for (const fingerprint of fingerprints) if (this.quarantine(fingerprint) === undefined) this.options.log.info('request.released', { fingerprint, from })
  }
}

/** The crashes that the attempts show, one for each server and work: that of the last request with the work that was sent. */
const crashesOf = (attempts: readonly TimedFailure[]): Crash[] => {
  const crashes = new Map<string, Crash>()
  for (const { fingerprint, parts, server, sentAt, endedAt } of attempts) {
    for (const work of [fingerprint, ...parts]) {
      const crash = { fingerprint: work, server: incarnationOf(server), sentAt, endedAt }
      const key = `${work} ${crash.server}`
      if (sentAt > (crashes.get(key)?.sentAt ?? -Infinity)) crashes.set(key, crash)
    }
  }
  return [...crashes.values()]
}
