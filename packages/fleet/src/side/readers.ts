/**
 * Whoever is connected to a side process, and what each of them is told.
 *
 * Entries near follow its engine and, through it, engines elsewhere; they are told who of them watches the store, and those
 * that don't watch depend on it. Side processes elsewhere take its news for their own entries. Entries elsewhere ask for
 * adapters and hear of those alone.
 */
import type { Log } from '@finchpitch/core'
import type { Channel, ChannelOptions, Frame, FrameOf } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { FactLink, patienceMs } from '../fact-exchange.js'
import type { Facts } from '../facts.js'
import { EntryLink, quietPace } from './entry-link.js'
import type { EngineNews } from './news.js'
import { Relay, type RelayOptions } from './relay.js'
import { watchersAmong } from './watchers.js'

export interface ReadersOptions extends Omit<RelayOptions, 'changed'> {
  domain: string
  /** The machine that this process shares with its engine. */
  host: string
  channel: ChannelOptions
  facts: Facts
  log: Log
  /** What is to be told of the engine now. */
  news: () => EngineNews
}

export class Readers {
  readonly #links = new Set<EntryLink>()
  readonly #relay: Relay

  constructor (private readonly options: ReadersOptions) {
    this.#relay = new Relay({ ...options, changed: () => this.tell() })
  }

  get size (): number {
    return this.#links.size
  }

  /** Engines elsewhere whose news are passed on. */
  get relayed (): number {
    return this.#relay.following
  }

  /** Entries of its own failure domain, and entries elsewhere that follow its engine directly. */
  get entries (): { near: number, strangers: number } {
    const entries = [...this.#links].filter(link => !link.relay)
    return {
      near: entries.filter(link => link.near).length,
      strangers: entries.filter(link => !link.near && link.followsOwn).length
    }
  }

  join (channel: Channel): EntryLink {
    const { domain, host, log } = this.options
    const near = channel.peer.domain === domain
    const link = new EntryLink({ channel, near, ownHost: host })
    this.#links.add(link)
    if (near) this.#exchangeFacts(link)
    else channel.setPace(quietPace)
    log.info('entry.joined', { entry: channel.peer.process, domain: channel.peer.domain })
    return link
  }

  leave (link: EntryLink): void {
    this.#links.delete(link)
    link.facts?.stop()
    this.#chooseRelayed()
  }

  /** What concerns telling; says nothing of adapters. */
  take (frame: Frame, link: EntryLink): void {
    link.heardAt = nowMs()
    if (frame.type === 'fact') link.facts?.receive(frame)
    if (frame.type === 'heartbeat') this.#heard(frame, link)
    if (frame.type === 'depend') link.depend(frame.on)
    if (frame.type === 'follow') this.#follow(link, frame)
  }

  /** Tells everybody what they have to know by now. */
  tell (): void {
    const { facts, news } = this.options
    const own = news()
    const { complete, confirmedAt } = facts
    for (const link of this.#links) {
      link.publish(own, this.#relay.news)
      link.tellComplete(complete, confirmedAt)
    }
    this.#appointWatchers()
  }

  decline (key: string, reason: string): void {
    for (const link of this.#links) link.decline(key, reason)
  }

  close (): void {
    this.#relay.close()
    for (const { channel } of this.#links) channel.close()
  }

  #heard (frame: FrameOf<'heartbeat'>, link: EntryLink): void {
    link.facts?.heard(frame.complete)
    link.sight = frame.sight
    // Entries of the same domain that read the store send what they learn at once, so by now it is all here.
    if (link.near && frame.sight === 'reading' && frame.complete !== undefined) this.options.facts.caughtUp(frame.complete)
  }

  #exchangeFacts (link: EntryLink): void {
    const { facts, log } = this.options
    if (link.facts !== undefined) return
    link.facts = new FactLink(facts, link.channel, patienceMs.entry, log)
    link.facts.start()
  }

  /** A peer says which engines it wants to hear of. */
  #follow (link: EntryLink, { hosts, relay }: FrameOf<'follow'>): void {
    link.follow(hosts)
    link.relay = relay
    if (!link.near) link.channel.setPace(link.followsOwn ? this.options.channel : quietPace)
    if (link.followsOwn) this.#exchangeFacts(link)
    this.#chooseRelayed()
    this.tell()
  }

  /** Engines elsewhere that any entry near follows through this process. */
  #chooseRelayed (): void {
    const hosts = new Set<string>()
    for (const link of this.#links) {
      if (!link.near || link.relay) continue
      for (const host of link.follows) if (host !== this.options.host) hosts.add(host)
    }
    this.#relay.follow(hosts)
  }

  #appointWatchers (): void {
    const now = nowMs()
    const entries = [...this.#links].filter(link => link.near && !link.relay)
    const { named, outage } = watchersAmong(entries.map(({ channel, sight, heardAt }) => ({ process: channel.peer.process, silentMs: now - heardAt, sight })))
    for (const link of entries) link.appoint({ type: 'appoint', watch: named.has(link.channel.peer.process), outage })
  }
}
