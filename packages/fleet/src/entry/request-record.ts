/**
 * What is told of a request at its end: one line, and what is counted.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { BackendServer } from '../server.js'
import type { Route } from '../table.js'
import type { EntryCounters } from './counters.js'
import type { Incoming } from './incoming.js'
import type { RequestTimes } from './request-times.js'
import type { Holding } from './server-state.js'

/** Characters of a path that are told. */
const mostPath = 200

/** A time for the log; none where nothing was measured. */
const rounded = (ms: number | undefined): number | undefined => ms === undefined || !Number.isFinite(ms) ? undefined : Math.round(ms)

/** What an entry knew at the end of a request. */
export interface RecordContext {
  /** Version of the routing table in force. */
  table: number | undefined
  /** Since the table was surely the newest; not finite where nothing was proved. */
  tableAgeMs: number
  /** What is known of the server that it was sent to last. */
  holding: Holding | undefined
}

export class RequestRecord {
  route: Route | undefined
  /** Name of the team whose key came with it. */
  team: string | undefined
  /** The last server that it was sent to. */
  server: BackendServer | undefined
  /** The last server that would have been chosen and was spared, as it names a limit. */
  limitedBy: string | undefined
  /** Why that server, or why none. */
  reason = ''
  tries = 0
  /** At this entry, for a server or an adapter. */
  waitedMs = 0
  /** From its arrival to the last sending. */
  sentAtMs: number | undefined
  /** From the last sending to the first token, as expected then. */
  expectedMs: number | undefined
  /** From its arrival to the first byte of an answer. */
  firstByteMs: number | undefined

  constructor (private readonly incoming: Incoming, private readonly times: RequestTimes) {}

  /** What the end of a request is told with. */
  tell (outcome: string, log: Log, counters: EntryCounters, { table, tableAgeMs, holding }: RecordContext): void {
    const { incoming, times, route, server } = this
    this.#count(outcome, counters)
    log.info('request.ended', {
      request: incoming.id,
      route: route?.name,
      team: this.team,
      objectiveMs: route?.objectiveMs,
      table,
      tableAgeMs: rounded(tableAgeMs),
      // A request that matched no route is known by nothing else.
      ...(route === undefined ? { host: incoming.host, path: incoming.path.slice(0, mostPath) } : {}),
      key: incoming.model,
      tokens: incoming.tokens,
      server: server?.id,
      domain: server?.domain,
      reason: this.reason,
      limitedBy: this.limitedBy,
      outcome,
      tries: this.tries,
      firstTriedMs: times.firstTriedMs === 0 ? undefined : rounded(times.firstTriedMs),
      waitedMs: rounded(this.waitedMs),
      sentAtMs: rounded(this.sentAtMs),
      expectedMs: rounded(this.expectedMs),
      firstByteMs: rounded(this.firstByteMs),
      ms: rounded(times.ms),
      leftMs: rounded(times.leftMs),
      holdingAgeMs: holding === undefined ? undefined : rounded(nowMs() - holding.at)
    })
  }

  #count (outcome: string, counters: EntryCounters): void {
    const kind = this.route?.kind ?? 'none'
    const label = outcome.split(' ')[0] ?? outcome
    counters.ended.inc({ kind, outcome: label })
    counters.duration.observe({ kind, outcome: label }, this.times.ms / 1000)
    if (this.firstByteMs !== undefined) counters.firstByte.observe({ kind }, this.firstByteMs / 1000)
  }
}
