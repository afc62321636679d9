/**
 * All peers connected to a side process, and the frames that each of them receives.
 *
 * Local entries subscribe to its engine and, through it, to engines in other failure domains. They are told which of them watch
 * the store; the others depend on the side process for store data. Remote side processes subscribe on behalf of their own
 * entries. Remote entries demand adapters and are only told of those.
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
  /** Host that this process shares with its engine. */
  host: string
  /** Current state of the engine. */
  news: () => EngineNews
}

export class Readers {
  readonly #subscribers = new Set<Reader>()
  readonly #relay: Relay
  readonly #freshness: FreshRelay
  readonly #attemptReports: TryNewsRelay

  constructor (private readonly options: ReadersOptions) {
    this.#relay = new Relay({ ...options, changed: () => this.tell() })
    this.#freshness = new FreshRelay(options.facts, () => this.#storeReaderChannels())
    this.#attemptReports = new TryNewsRelay(() => this.#subscribedEntries.map(subscriber => subscriber.channel))
  }

  get size (): number {
    return this.#subscribers.size
  }

  /** Number of engines in other failure domains whose updates are relayed. */
  get relayed (): number {
    return this.#relay.following
  }

  /** Number of local entries, and of remote entries that subscribe to the engine directly. */
  get entries (): { near: number, strangers: number } {
    const entries = this.#subscribedEntries
    const near = entries.filter(subscriber => subscriber.near).length
    return { near, strangers: entries.length - near }
  }

  /** Local entries, and remote entries that subscribe to the engine directly. */
  get #subscribedEntries (): Reader[] {
    return [...this.#subscribers].filter(subscriber => !subscriber.relay && (subscriber.near || subscriber.followsOwn))
  }

  join (channel: Channel): Reader {
    const { domain, host, log } = this.options
    const near = channel.peer.domain === domain
    const subscriber = new Reader({ channel, near, ownHost: host })
    this.#subscribers.add(subscriber)
    if (near) this.#startFactExchange(subscriber)
    else channel.setPace(quietPace)
    log.info('reader.joined', { reader: channel.peer.process, domain: channel.peer.domain })
    return subscriber
  }

  leave (subscriber: Reader): void {
    this.#subscribers.delete(subscriber)
    subscriber.facts?.stop()
    this.#updateRelayed()
  }

  /** Handles the frames that concern subscriptions and store data. Demands and uses are handled by the caller. */
  take (frame: Frame, subscriber: Reader): void {
    subscriber.heardAt = nowMs()
    subscriber.facts?.take(frame)
    if (frame.type === 'heartbeat') this.#handleHeartbeat(frame, subscriber)
    if (frame.type === 'depend') subscriber.depend(frame.on)
    if (frame.type === 'follow') this.#handleFollow(subscriber, frame)
    if (frame.type === 'ask_fresh') this.#freshness.ask(subscriber.channel, frame)
    if (frame.type === 'fresh') this.#freshness.answered(frame)
    if (frame.type === 'crashes') this.#attemptReports.take(subscriber.channel, frame)
  }

  /** Sends each peer the updates that are due. */
  tell (): void {
    const { facts, news } = this.options
    const own = news()
    const { complete, confirmedAt } = facts
    for (const subscriber of this.#subscribers) {
      subscriber.publish(own, this.#relay.news)
      subscriber.tellComplete(complete, confirmedAt)
    }
    this.#appointWatchers()
  }

  decline (key: string, reason: string): void {
    for (const subscriber of this.#subscribers) subscriber.decline(key, reason)
  }

  close (): void {
    this.#relay.close()
    this.#freshness.close()
    this.#attemptReports.close()
    for (const { channel } of this.#subscribers) channel.close()
  }

  /** Channels to the local entries that read the store, sorted: if all side processes ask the same one first, its proof serves them all. */
  #storeReaderChannels (): Channel[] {
    const reading = [...this.#subscribers].filter(subscriber => subscriber.near && !subscriber.relay && subscriber.sight === 'reading')
    return reading.map(subscriber => subscriber.channel).sort((a, b) => a.peer.process < b.peer.process ? -1 : 1)
  }

  #handleHeartbeat (frame: FrameOf<'heartbeat'>, subscriber: Reader): void {
    subscriber.noteSight(frame.sight)
    this.options.facts.setSight(this.#localStoreSight())
    // Local entries that read the store send each fact at once, so everything up to `complete` has arrived by now.
    if (subscriber.near && subscriber.hasSentFacts && frame.sight === 'reading' && frame.complete !== undefined) this.options.facts.caughtUp(frame.complete)
  }

  /** Combined view of the store of the local entries: `reading` if any of them reads it, else `blind` if any of them gets no answer. */
  #localStoreSight (): StoreSight {
    const sights = new Set([...this.#subscribers].filter(subscriber => subscriber.near && !subscriber.relay).map(subscriber => subscriber.sight))
    return (['reading', 'blind'] as const).find(sight => sights.has(sight)) ?? 'resting'
  }

  #startFactExchange (subscriber: Reader): void {
    const { facts, log } = this.options
    if (subscriber.facts !== undefined) return
    subscriber.facts = new FactLink(facts, subscriber.channel, subscriber.patience, log)
    subscriber.facts.start()
    this.#attemptReports.greet(subscriber.channel)
  }

  /** Handles the list of engines that a peer subscribes to. */
  #handleFollow (subscriber: Reader, { hosts, relay }: FrameOf<'follow'>): void {
    subscriber.follow(hosts)
    subscriber.relay = relay
    if (!subscriber.near) subscriber.channel.setPace(subscriber.followsOwn ? this.options.channel : quietPace)
    if (subscriber.followsOwn) this.#startFactExchange(subscriber)
    this.#updateRelayed()
    this.tell()
  }

  /** Relays the remote engines that any local entry subscribes to through this process. */
  #updateRelayed (): void {
    const hosts = new Set<string>()
    for (const subscriber of this.#subscribers) {
      if (!subscriber.near || subscriber.relay) continue
      for (const host of subscriber.follows) if (host !== this.options.host) hosts.add(host)
    }
    this.#relay.follow(hosts)
  }

  #appointWatchers (): void {
    const now = nowMs()
    const entries = [...this.#subscribers].filter(subscriber => subscriber.near && !subscriber.relay)
    const { named, outage } = watchersAmong(entries.map(({ channel, sight, heardAt }) => ({ process: channel.peer.process, silentMs: now - heardAt, sight })))
    for (const subscriber of entries) subscriber.appoint({ type: 'appoint', watch: named.has(subscriber.channel.peer.process), outage })
  }
}
