/**
 * Asking whether this entry may run a request whose quarantine has lapsed.
 *
 * One side process of all answers that for all entries, chosen by the same hashing; where it does not answer, nobody may for now.
 * So of the copies that come at all entries in one moment, one is sent.
 */
import { pause, type Log, type RequestFingerprint } from '@finchpitch/core'
import type { Channel } from '@finchpitch/wire'
import { nowMs, afterSocketReads } from '../clock.js'
import { MeetingPlace } from './meeting-place.js'

/** Side processes answer within some ms, across domains too. */
const answerMs = 400
/** One that did not answer isn't asked for this long. */
const passedByMs = 5000

export interface ProbeExchangeOptions {
  /** Hosts of all side processes. */
  hosts: () => readonly string[]
  /** The channel to a side process; opens one where there is none yet. */
  channelTo: (host: string) => Channel | undefined
  log: Log
}

interface Ask {
  host: string
  granted: boolean
  answered: AbortController
}

export class ProbeExchange {
  readonly #meeting = new MeetingPlace({ matter: 'probes', passedByMs, now: nowMs })
  /** By the stamps of their frames, which are below 0 to be told from those of news. */
  readonly #asked = new Map<number, Ask>()
  #stamp = 0

  constructor (private readonly options: ProbeExchangeOptions) {}

  async ask (fingerprint: RequestFingerprint): Promise<boolean> {
    const hosts = this.options.hosts()
    // With nobody to meet at, entries hear of no ends but their own, and each finds out for itself.
    if (hosts.length === 0) return true
    const host = this.#meeting.choose(hosts)
    const channel = host === undefined ? undefined : this.options.channelTo(host)
    if (host === undefined || channel === undefined) return false
    this.#stamp -= 1
    const stamp = this.#stamp
    const ask: Ask = { host, granted: false, answered: new AbortController() }
    this.#asked.set(stamp, ask)
    channel.send({ type: 'crashes', stamp, crashes: [], sound: [], ask: fingerprint })
    await pause(answerMs, ask.answered.signal)
    if (!ask.answered.signal.aborted) await afterSocketReads()
    this.#asked.delete(stamp)
    if (!ask.answered.signal.aborted) this.#passBy(host)
    return ask.granted
  }

  /** The side process at `host` answered the frame with that stamp. */
  noted (host: string, stamp: number, granted: boolean): void {
    const ask = this.#asked.get(stamp)
    if (ask?.host !== host) return
    ask.granted = granted
    ask.answered.abort()
  }

  #passBy (host: string): void {
    this.#meeting.passBy(host)
    this.options.log.info('probe.not_answered', { host })
  }
}
