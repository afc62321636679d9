/**
 * The access log line and the metrics of one request, written when it ends.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from '../../clock.js'
import type { BackendServer } from '../../server.js'
import type { Route } from '../../table.js'
import type { EntryCounters } from '../counters.js'
import type { IncomingRequest } from './incoming-request.js'
import type { Rejection } from '../waiting/service-queue.js'
import type { RequestTimes } from './request-times.js'
import type { EngineReport } from '../servers/server-state.js'

/** Longer paths are truncated in the log. */
const maxLoggedPathLength = 200

/** Rounds a duration for the log; `undefined` where nothing was measured. */
const rounded = (ms: number | undefined): number | undefined => ms === undefined || !Number.isFinite(ms) ? undefined : Math.round(ms)

const rejectionFields = ({ expectedMs, mayWaitMs, ahead, perSecond }: Rejection): object => ({
  rejectedFor: { expectedMs: rounded(expectedMs), mayWaitMs: rounded(mayWaitMs), ahead, perSecond: perSecond === undefined ? undefined : Number(perSecond.toFixed(1)) }
})

/** State of the entry when the request ended. */
export interface RecordContext {
  /** Version of the routing table in force. */
  table: number | undefined
  /** Time since the table was last proven fresh; not finite where it never was. */
  tableAgeMs: number
  /** What the entry knows of the server that the request was last sent to. */
  engineReport: EngineReport | undefined
}

export class RequestRecord {
  route: Route | undefined
  /** Name of the team that its API key belongs to. */
  team: string | undefined
  /** The server of the last attempt. */
  server: BackendServer | undefined
  /** The last server that would have been chosen but was skipped because of the limit that it advertises. */
  limitedBy: string | undefined
  /** Why the server of the last attempt was chosen, or why none was. */
  reason = ''
  tries = 0
  /** Time spent in the queue of this entry, for a server or an adapter. */
  waitedMs = 0
  /** The wait as expected when it was queued for the first time; `undefined` where it did not wait or nothing was known. */
  expectedWaitMs: number | undefined
  /** Why it was rejected before its time was up. */
  rejection: Rejection | undefined
  /** The time that the stop of the process left, and that the request needed, where it was refused or ended for that. */
  stop: { leftMs: number, neededMs: number | undefined } | undefined
  /** From arrival to the start of the last attempt. */
  sentAtMs: number | undefined
  /** From arrival to when the last attempt was written to its server. */
  writtenAtMs: number | undefined
  /** From arrival to when its caller's connection was found closed, if that was before the end of the response. */
  leftAtMs: number | undefined
  /** Time to the first token as estimated for the last attempt. */
  expectedMs: number | undefined
  /** From arrival to the first byte of a response. */
  firstByteMs: number | undefined

  constructor (private readonly incoming: IncomingRequest, private readonly times: RequestTimes) {}

  /** Writes the log line and counts the request. */
  write (outcome: string, log: Log, counters: EntryCounters, { table, tableAgeMs, engineReport }: RecordContext): void {
    const { incoming, times, route, server } = this
    this.#updateMetrics(outcome, counters)
    log.info('request.ended', {
      request: incoming.id,
      route: route?.name,
      team: this.team,
      objectiveMs: route?.objectiveMs,
      table,
      tableAgeMs: rounded(tableAgeMs),
      // Without a route, host and path are all that identifies the request.
      ...(route === undefined ? { host: incoming.host, path: incoming.path.slice(0, maxLoggedPathLength) } : {}),
      key: incoming.model,
      tokens: incoming.tokens,
      server: server?.id,
      domain: server?.domain,
      softwareVersion: server?.softwareVersion,
      resumes: incoming.resumes,
      lastEventId: incoming.lastEventId,
      reason: this.reason,
      limitedBy: this.limitedBy,
      outcome,
      tries: this.tries,
      firstTriedMs: times.firstTriedMs === 0 ? undefined : rounded(times.firstTriedMs),
      waitedMs: rounded(this.waitedMs),
      expectedWaitMs: rounded(this.expectedWaitMs),
      ...(this.rejection === undefined ? {} : rejectionFields(this.rejection)),
      ...(this.stop === undefined ? {} : { stopLeftMs: rounded(this.stop.leftMs), neededMs: rounded(this.stop.neededMs) }),
      sentAtMs: rounded(this.sentAtMs),
      writtenAtMs: rounded(this.writtenAtMs),
      leftAtMs: rounded(this.leftAtMs),
      expectedMs: rounded(this.expectedMs),
      firstByteMs: rounded(this.firstByteMs),
      ms: rounded(times.ms),
      leftMs: rounded(times.leftMs),
      holdingAgeMs: engineReport === undefined ? undefined : rounded(nowMs() - engineReport.at)
    })
  }

  #updateMetrics (outcome: string, counters: EntryCounters): void {
    const kind = this.route?.kind ?? 'none'
    const label = outcome.split(' ')[0] ?? outcome
    counters.ended.inc({ kind, outcome: label })
    counters.duration.observe({ kind, outcome: label }, this.times.ms / 1000)
    if (this.firstByteMs !== undefined) counters.firstByte.observe({ kind }, this.firstByteMs / 1000)
  }
}
