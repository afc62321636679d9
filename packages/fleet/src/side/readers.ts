/**
 * Whoever is connected to a side process, and what each of them is told.
 *
 * Entries near follow its engine and, through it, engines elsewhere; they are told who of them watches the store, and those
 * that don't watch depend on it. Side processes elsewhere take its news for their own entries. Entries elsewhere ask for
 * adapters and hear of those alone.
 */
import type { Channel, Frame, FrameOf, StoreSight } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { FactLink } from '../fact-exchange.js'
import { TryNewsRelay } from './try-news-relay.js'
import { FreshRelay } from './fresh-relay.js'
import { Reader, quietPace } from './reader.js'
import type { EngineNews } from './news.js'
import { Relay, type RelayOptions } from './relay.js'
import { watchersAmong } from './watchers.js'

export interface ReadersOptions extends Omit<RelayOptions, 'changed'> {
  domain: string
  /** The machine that this process shares with its engine. */
  host: string
  /** What is to be told of the engine now. */
  news: () => EngineNews
}

export class Readers {
  readonly #readers = new Set<Reader>()
  readonly #relay: Relay
  readonly #fresh: FreshRelay
  readonly #tryNews: TryNewsRelay

  constructor (private readonly options: ReadersOptions) {
    this.#relay = new Relay({ ...options, changed: () => this.tell() })
    this.#fresh = new FreshRelay(options.facts, () => this.#readingNear())
    this.#tryNews = new TryNewsRelay(() => this.#entriesHere.map(reader => reader.channel))
  }

  get size (): number {
    return this.#readers.size
  }

  /** Engines elsewhere whose news are passed on. */
  get relayed (): number {
    return this.#relay.following
  }

  /** Entries of its own failure domain, and entries elsewhere that follow its engine directly. */
  get entries (): { near: number, strangers: number } {
    const entries = this.#entriesHere
    const near = entries.filter(reader => reader.near).length
    return { near, strangers: entries.length - near }
  }

  /** Those near, and those elsewhere that follow the engine directly. */
  get #entriesHere (): Reader[] {
    return [...this.#readers].filter(reader => !reader.relay && (reader.near || reader.followsOwn))
  }

  join (channel: Channel): Reader {
    const { domain, host, log } = this.options
    const near = channel.peer.domain === domain
    const reader = new Reader({ channel, near, ownHost: host })
    this.#readers.add(reader)
    if (near) this.#exchangeFacts(reader)
    else channel.setPace(quietPace)
    log.info('reader.joined', { reader: channel.peer.process, domain: channel.peer.domain })
    return reader
  }

  leave (reader: Reader): void {
    this.#readers.delete(reader)
    reader.facts?.stop()
    this.#chooseRelayed()
  }

  /** What concerns telling; says nothing of adapters. */
  take (frame: Frame, reader: Reader): void {
    reader.heardAt = nowMs()
    reader.facts?.take(frame)
    if (frame.type === 'heartbeat') this.#heard(frame, reader)
    if (frame.type === 'depend') reader.depend(frame.on)
    if (frame.type === 'follow') this.#follow(reader, frame)
    if (frame.type === 'ask_fresh') this.#fresh.ask(reader.channel, frame)
    if (frame.type === 'fresh') this.#fresh.answered(frame)
    if (frame.type === 'crashes') this.#tryNews.take(reader.channel, frame)
  }

  /** Tells everybody what they have to know by now. */
  tell (): void {
    const { facts, news } = this.options
    const own = news()
    const { complete, confirmedAt } = facts
    for (const reader of this.#readers) {
      reader.publish(own, this.#relay.news)
      reader.tellComplete(complete, confirmedAt)
    }
    this.#appointWatchers()
  }

  decline (key: string, reason: string): void {
    for (const reader of this.#readers) reader.decline(key, reason)
  }

  close (): void {
    this.#relay.close()
    this.#fresh.close()
    this.#tryNews.close()
    for (const { channel } of this.#readers) channel.close()
  }

  /** Channels to the entries near that read the store. All side processes ask the same one first, as its proof then serves them all. */
  #readingNear (): Channel[] {
    const reading = [...this.#readers].filter(reader => reader.near && !reader.relay && reader.sight === 'reading')
    return reading.map(reader => reader.channel).sort((a, b) => a.peer.process < b.peer.process ? -1 : 1)
  }

  #heard (frame: FrameOf<'heartbeat'>, reader: Reader): void {
    reader.noteSight(frame.sight)
    this.options.facts.setSight(this.#sightNear())
    // Entries of the same domain that read the store send what they learn at once, so by now it is all here.
    if (reader.near && reader.hasSentFacts && frame.sight === 'reading' && frame.complete !== undefined) this.options.facts.caughtUp(frame.complete)
  }

  /** How the entries near see the store, taken together: `reading` if any of them does, else `blind` if it rejects any. */
  #sightNear (): StoreSight {
    const sights = new Set([...this.#readers].filter(reader => reader.near && !reader.relay).map(reader => reader.sight))
    return (['reading', 'blind'] as const).find(sight => sights.has(sight)) ?? 'resting'
  }

  #exchangeFacts (reader: Reader): void {
    const { facts, log } = this.options
    if (reader.facts !== undefined) return
    reader.facts = new FactLink(facts, reader.channel, reader.patience, log)
    reader.facts.start()
    this.#tryNews.greet(reader.channel)
  }

  /** A peer says which engines it wants to hear of. */
  #follow (reader: Reader, { hosts, relay }: FrameOf<'follow'>): void {
    reader.follow(hosts)
    reader.relay = relay
    if (!reader.near) reader.channel.setPace(reader.followsOwn ? this.options.channel : quietPace)
    if (reader.followsOwn) this.#exchangeFacts(reader)
    this.#chooseRelayed()
    this.tell()
  }

  /** Engines elsewhere that any entry near follows through this process. */
  #chooseRelayed (): void {
    const hosts = new Set<string>()
    for (const reader of this.#readers) {
      if (!reader.near || reader.relay) continue
      for (const host of reader.follows) if (host !== this.options.host) hosts.add(host)
    }
    this.#relay.follow(hosts)
  }

  #appointWatchers (): void {
    const now = nowMs()
    const entries = [...this.#readers].filter(reader => reader.near && !reader.relay)
    const { named, outage } = watchersAmong(entries.map(({ channel, sight, heardAt }) => ({ process: channel.peer.process, silentMs: now - heardAt, sight })))
    for (const reader of entries) reader.appoint({ type: 'appoint', watch: named.has(reader.channel.peer.process), outage })
  }
}
