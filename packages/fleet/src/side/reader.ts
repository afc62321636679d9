/**
 * One peer as a side process sees it: an entry near or far, or a side process of another failure domain.
 *
 * A peer is told the news of the engines that it follows and of no others. An entry elsewhere follows none as a rule: it
 * hears of far engines through a side process near it, asks here for adapters, and is told when those have come. Where all
 * side processes told all entries, 0.197 GB crossed domains in a minute of 68 entries and 58 side processes; so it is 0.071.
 */
import { isDeepStrictEqual } from 'node:util'
import { encode, type Appointment, type Channel, type ChannelPace, type Complete, type StoreSight } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { patienceBySight, patienceMs, type FactLink } from '../fact-exchange.js'
import { NewsTeller, newsPaces, type EngineNews } from './news.js'

/** A channel that says something now and then only: heartbeats across cost bytes, and an unanswered want shows a dead one. */
export const quietPace: ChannelPace = { heartbeatMs: 5000, silenceMs: 12_000, steady: false }

/** A want that is neither met nor declined by then was given up; an entry that still waits has asked again. */
const wantedMs = 3000

/** A store where nothing changes has no new revision to tell of, and a dependent that hears nothing for 6 s watches it itself. */
const confirmMs = 900

export interface ReaderOptions {
  channel: Channel
  /** The peer is of the same failure domain. */
  near: boolean
  /** The host of the engine beside this process. */
  ownHost: string
}

/** News of one engine that it follows. */
interface Followed {
  teller: NewsTeller
  news: EngineNews
  /** It has to be told them by now. */
  due: boolean
}

export class Reader {
  readonly channel: Channel
  readonly near: boolean
  /** Passing on what the store says; only with peers that follow something. */
  facts: FactLink | undefined
  /** It is a side process that passes news on to its entries. */
  relay = false
  /** When it was last heard, on the steady clock. */
  heardAt = nowMs()
  #sight: StoreSight | undefined
  /** It learns of the store's facts from here alone. */
  #dependent = false
  #toldComplete: Complete | undefined
  #toldCompleteAt = -Infinity
  #appointed: Appointment | undefined
  readonly #ownHost: string
  readonly #tellers = new Map<string, NewsTeller>()
  /** Keys that it asked for and was not told of since, and when. */
  readonly #wanted = new Map<string, number>()
  /** It asked for something and has heard nothing since. */
  #owed = false
  #hasSentFacts = false

  constructor ({ channel, near, ownHost }: ReaderOptions) {
    this.channel = channel
    this.near = near
    this.#ownHost = ownHost
  }

  /** How it sees the store, by its last heartbeat. */
  get sight (): StoreSight | undefined {
    return this.#sight
  }

  /**
   * It has sent the facts that it had when it joined. Its heartbeats before that report its own progress, not what it has sent: a
   * peer that dials a frozen process keeps sending heartbeats, and may close the connection without having sent a fact.
   */
  get hasSentFacts (): boolean {
    return this.#hasSentFacts
  }

  /** Takes over how it sees the store from its heartbeat. */
  noteSight (sight: StoreSight | undefined): void {
    if (sight === this.#sight) return
    this.#sight = sight
    this.facts?.setPatience(this.patience)
  }

  /** How long a fact is held back in case it learns of it elsewhere, in ms. */
  get patience (): number {
    return this.#dependent ? patienceMs.dependent : patienceBySight[this.#sight ?? 'resting']
  }

  get follows (): ReadonlySet<string> {
    return new Set(this.#tellers.keys())
  }

  /** It is told the news of the engine beside this process. */
  get followsOwn (): boolean {
    return this.#tellers.has(this.#ownHost)
  }

  /** The hosts that it follows from now on. */
  follow (hosts: readonly string[]): void {
    this.#hasSentFacts = true
    const wanted = new Set(hosts)
    for (const host of this.#tellers.keys()) if (!wanted.has(host)) this.#tellers.delete(host)
    for (const host of wanted) {
      if (!this.#tellers.has(host)) this.#tellers.set(host, new NewsTeller(this.#paceOf(host)))
    }
  }

  /** Says whether it learns of the store's facts from here alone. */
  depend (on: boolean): void {
    this.#dependent = on
    this.#toldComplete = undefined
    this.facts?.setPatience(this.patience)
  }

  /** Tells a dependent how far it has been told all, and now and then that this is still so; `confirmedAt`: when that was last known. */
  tellComplete (complete: Complete, confirmedAt: number): void {
    if (!this.#dependent) return
    const again = confirmedAt - this.#toldCompleteAt > confirmMs
    if (!again && isDeepStrictEqual(complete, this.#toldComplete)) return
    this.#toldComplete = complete
    this.#toldCompleteAt = confirmedAt
    this.channel.send({ type: 'caught_up', complete })
  }

  /** Tells an entry whether it is one of those that watch the store. */
  appoint (appointment: Appointment): void {
    if (isDeepStrictEqual(appointment, this.#appointed)) return
    this.#appointed = appointment
    this.channel.send(appointment)
  }

  /** It waits for the key, and for a word, to tell this process from one that hangs. */
  want (key: string): void {
    this.#owed = true
    this.#wanted.set(key, nowMs())
  }

  /** Tells it that the key can't be brought in, if it asked. */
  decline (key: string, reason: string): void {
    if (this.#wanted.delete(key)) this.channel.send({ type: 'declined', key, reason })
  }

  /**
   * Tells it what it has to know by now. Whatever else has changed goes with it: most of what news cost a reader is that
   * it wakes for them.
   */
  publish (own: EngineNews, passedOn: ReadonlyMap<string, EngineNews>): void {
    const followed = this.#followed(own, passedOn)
    const frames: Buffer[] = []
    if (this.#owed || followed.some(({ due }) => due)) {
      for (const { teller, news, due } of followed) if (due || teller.mayGoAlong(news)) frames.push(teller.tell(news))
    }
    frames.push(...this.#arrivals(own))
    if (this.#owed && frames.length === 0) this.channel.beat()
    this.#owed = false
    if (frames.length > 0) this.channel.sendEncoded(frames)
  }

  #followed (own: EngineNews, passedOn: ReadonlyMap<string, EngineNews>): Followed[] {
    const followed: Followed[] = []
    for (const [host, teller] of this.#tellers) {
      const news = host === this.#ownHost ? own : passedOn.get(host)
      if (news !== undefined) followed.push({ teller, news, due: teller.due(news) || (this.#owed && news === own) })
    }
    return followed
  }

  /** What it asked for and is held. One that follows the engine hears of it with the news. */
  #arrivals (own: EngineNews): Buffer[] {
    const frames: Buffer[] = []
    for (const [key, at] of this.#wanted) {
      if (nowMs() - at > wantedMs) this.#wanted.delete(key)
      const version = own.snapshot.held.get(key)
      if (version === undefined) continue
      this.#wanted.delete(key)
      if (!this.followsOwn) frames.push(encode({ type: 'arrived', key, version }))
    }
    return frames
  }

  #paceOf (host: string): typeof newsPaces[keyof typeof newsPaces] {
    if (host !== this.#ownHost) return newsPaces.passedOn
    return this.near ? newsPaces.near : newsPaces.far
  }
}
