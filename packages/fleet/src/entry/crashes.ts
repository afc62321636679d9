/**
 * Requests under which servers ended, as this entry knows them: what its own tries met and what others tell.
 *
 * A request that ended two servers one after the other is sent to none. Every entry has to know that before the caller comes
 * again, so ends go round within some ms; an entry out of touch holds what it knows.
 */
import type { Log, RequestFingerprint } from '@finchpitch/core'
import { CrashHistory, quarantineLimits, type Quarantine } from '@finchpitch/decisions'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { sendKnownCrashes, noReports, recordCrashes, type AttemptReports } from '../attempt-reports.js'
import type { Facts } from '../facts.js'
import { incarnationOf } from '../incarnation.js'
import { isEarlierIncarnation, type BackendServer } from '../server.js'
import type { EntryCounters } from './counters.js'
import type { TryNewsExchange } from './try-news-exchange.js'
import type { ServerLiveness } from './server-liveness.js'

/**
 * A server that ends is back, listed as another one, within some seconds. One whose address accepted after the break, since
 * something stands before it or it was back at once, is known by that to have ended.
 */
const replacedMs = 10_000
/** Breaks of which it isn't known yet; a server that resets all its connections brings a batch at a time. */
const mostUnproved = 500

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
  ends: ServerLiveness
  exchange: Pick<TryNewsExchange, 'tell'>
  /** Asks whether this entry may run a request whose quarantine has lapsed. */
  askProbe: (fingerprint: RequestFingerprint) => Promise<boolean>
  /** A request is quarantined from now on, so those that wait look again. */
  quarantined: () => void
  counters: EntryCounters
  log: Log
}

/** A try that broke off, and when. */
interface Break extends BrokenTry {
  endedAt: number
}

export class Crashes {
  readonly #ledger = new CrashHistory(quarantineLimits)
  /** Whose servers have not shown to have ended; the oldest first. */
  #unproved: Break[] = []

  constructor (private readonly options: CrashesOptions) {
    options.facts.onChange(fact => { if (fact.kind === 'server' && fact.value !== undefined) this.#replaced(fact.value) })
  }

  /** Nothing is held against any request, so no fingerprint need be made. */
  get none (): boolean {
    return this.#ledger.size === 0
  }

  /** Why the request is not to be sent now. */
  quarantine (fingerprint: RequestFingerprint): Quarantine | undefined {
    return this.#ledger.quarantine(fingerprint, nowMs())
  }

  /** Its quarantine has lapsed: it may be sent once, by one entry of all. */
  probeDue (fingerprint: RequestFingerprint): boolean {
    return this.#ledger.probeDue(fingerprint, nowMs())
  }

  /** Says whether this entry may send it, once, to see whether it still ends its server. */
  async probe (fingerprint: RequestFingerprint, request: string): Promise<boolean> {
    const { askProbe, exchange, log } = this.options
    const granted = await askProbe(fingerprint)
    log.info('request.probe', { request, fingerprint, granted })
    if (!granted) return false
    const probe = { fingerprint, at: nowMs() }
    this.#ledger.recordProbe(probe, nowMs())
    exchange.tell({ ...noReports, probes: [probe] })
    return true
  }

  /** Finds out whether the server ended under it. One that was leaving, or had left the list, ended for another reason. */
  async brokeOff (broken: BrokenTry): Promise<void> {
    const { facts, ends, log } = this.options
    const { request, fingerprint, server, sentAt } = broken
    const endedAt = nowMs()
    const expected = facts.servers.get(server.id)?.leaving !== false
    const ended = !expected && await ends.ended(server)
    log.info('request.broke_off', { request, fingerprint, server: server.id, ranMs: Math.round(endedAt - sentAt), expected, ended })
    if (ended) this.#ended([{ ...broken, endedAt }])
    else if (!expected) this.#unproved = [...this.#unproved, { ...broken, endedAt }].slice(-mostUnproved)
  }

  /** Another server, or another life of the same one, is at the address. */
  #replaced (by: BackendServer): void {
    if (this.#unproved.length === 0) return
    const now = nowMs()
    const recent = this.#unproved.filter(each => now - each.endedAt < replacedMs)
    const ended = recent.filter(({ server }) => server.address === by.address && (server.id !== by.id || isEarlierIncarnation(server.bornAt, by.bornAt)))
    this.#unproved = recent.filter(each => !ended.includes(each))
    if (ended.length === 0) return
    this.options.log.info('server.replaced', { by: by.id, brokeOff: ended.map(each => each.fingerprint), agoMs: Math.round(now - (ended[0]?.endedAt ?? now)) })
    this.#ended(ended)
  }

  /** Servers ended under these tries. */
  #ended (tries: readonly Break[]): void {
    const { exchange, counters } = this.options
    const now = nowMs()
    counters.serverCrashes.inc(tries.length)
    const crashes = tries.map(({ fingerprint, server, sentAt, endedAt }) => ({ fingerprint, server: incarnationOf(server), sentAt, endedAt }))
    const news = { crashes: crashes.filter(crash => this.#ledger.recordCrash(crash, now)), sound: [], limits: [], probes: [] }
    exchange.tell(news)
    this.#note(news, 'own try')
  }

  /** A run of the request came to its end. */
  endedWell (fingerprint: RequestFingerprint): void {
    const run = { fingerprint, endedAt: nowMs() }
    const held = this.quarantine(fingerprint) !== undefined
    if (!this.#ledger.sound(run)) return
    if (held) this.#released([fingerprint], 'own try')
    this.options.exchange.tell({ crashes: [], sound: [run], limits: [], probes: [] })
  }

  /** What a side process passes on. */
  take (frame: FrameOf<'crashes'>, from: string): void {
    const held = frame.sound.map(([fingerprint]) => fingerprint).filter(fingerprint => this.quarantine(fingerprint) !== undefined)
    this.#note(recordCrashes(this.#ledger, frame), from)
    this.#released(held, from)
  }

  /** Called now and then, so that fingerprints are made no longer than needed. */
  expire (): void {
    this.#ledger.expire(nowMs())
  }

  /** All that is known, to a side process that was joined: it may have started anew. */
  greet (side: Channel): void {
    sendKnownCrashes(this.#ledger, side)
  }

  #note ({ crashes }: Pick<AttemptReports, 'crashes'>, from: string): void {
    const { counters, log, quarantined } = this.options
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

  #released (fingerprints: readonly RequestFingerprint[], from: string): void {
    for (const fingerprint of fingerprints) if (this.quarantine(fingerprint) === undefined) this.options.log.info('request.released', { fingerprint, from })
  }
}
