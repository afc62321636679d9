/**
 * Requests under which servers ended, as this entry knows them: what its own tries met and what others tell.
 *
 * A request that ended two servers one after the other is sent to none. Every entry has to know that before the caller comes
 * again, so ends go round within some ms; an entry out of touch holds what it knows.
 */
import type { Log, RequestFingerprint } from '@finchpitch/core'
import { CrashLedger, crashLimits, type QuarantineCase } from '@finchpitch/decisions'
import { longestLife, type Channel, type FrameOf } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { framesOf, takeCrashes, type CrashNews } from '../crash-news.js'
import type { Facts } from '../facts.js'
import type { BackendServer } from '../server.js'
import type { EntryCounters } from './counters.js'
import type { CrashExchange } from './crash-exchange.js'
import type { ServerEnds } from './server-ends.js'

/** A try that broke off at its server. */
export interface BrokenTry {
  request: string
  fingerprint: RequestFingerprint
  server: BackendServer
  /** When it was sent, on the steady clock. */
  sentAt: number
}

export interface CrashesOptions {
  facts: Facts
  ends: ServerEnds
  exchange: Pick<CrashExchange, 'tell'>
  /** A request is quarantined from now on, so those that wait look again. */
  quarantined: () => void
  counters: EntryCounters
  log: Log
}

export class Crashes {
  readonly #ledger = new CrashLedger(crashLimits)

  constructor (private readonly options: CrashesOptions) {}

  /** Nothing is held against any request, so no fingerprint need be made. */
  get none (): boolean {
    return this.#ledger.size === 0
  }

  /** Why the request is not to be sent now. */
  quarantine (fingerprint: RequestFingerprint): QuarantineCase | undefined {
    return this.#ledger.quarantine(fingerprint, nowMs())
  }

  /** Finds out whether the server ended under it. One that was leaving, or had left the list, ended for another reason. */
  async brokeOff ({ request, fingerprint, server, sentAt }: BrokenTry): Promise<void> {
    const { facts, ends, exchange, counters, log } = this.options
    const endedAt = nowMs()
    const expected = facts.servers.get(server.id)?.leaving !== false
    const ended = !expected && await ends.ended(server)
    log.info('request.broke_off', { request, fingerprint, server: server.id, ranMs: Math.round(endedAt - sentAt), expected, ended })
    if (!ended) return
    counters.serverEnds.inc()
    const crash = { fingerprint, server: lifeOf(server), sentAt, endedAt }
    const news = { crashes: this.#ledger.crashed(crash, nowMs()) ? [crash] : [], sound: [] }
    exchange.tell(news)
    this.#note(news, 'own try')
  }

  /** A run of the request came to its end. */
  endedWell (fingerprint: RequestFingerprint): void {
    const run = { fingerprint, endedAt: nowMs() }
    if (!this.#ledger.sound(run)) return
    this.options.log.info('request.sound', { fingerprint, from: 'own try' })
    this.options.exchange.tell({ crashes: [], sound: [run] })
  }

  /** What a side process passes on. */
  take (frame: FrameOf<'crashes'>, from: string): void {
    this.#note(takeCrashes(this.#ledger, frame), from)
  }

  /** All that is known, to a side process that was joined: it may have started anew. */
  greet (side: Channel): void {
    for (const frame of framesOf({ crashes: this.#ledger.crashes(nowMs()), sound: [] })) side.send(frame)
  }

  #note ({ crashes, sound }: CrashNews, from: string): void {
    const { counters, log, quarantined } = this.options
    for (const { fingerprint } of sound) log.info('request.sound', { fingerprint, from })
    let any = false
    for (const fingerprint of new Set(crashes.map(crash => crash.fingerprint))) {
      const held = this.quarantine(fingerprint)
      if (held === undefined) continue
      any = true
      counters.quarantines.inc()
      log.warn('request.quarantined', { fingerprint, servers: held.servers, forMs: Math.round(held.leftMs), from })
    }
    if (any) quarantined()
  }
}

/** A server that starts again under its id is another one. */
const lifeOf = ({ id, bornAt }: BackendServer): string => (bornAt === undefined ? id : `${id} ${bornAt}`).slice(0, longestLife)
