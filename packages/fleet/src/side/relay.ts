/**
 * News of engines in other failure domains, taken once and passed on to the entries near.
 *
 * A side process opens a channel to another one for as long as an entry near it follows the engine there. It only reads:
 * requests and wants go from the entries straight to where they belong, so a relay that fails delays news and nothing else.
 */
import type { Duplex } from 'node:stream'
import { hostOf } from '@finchpitch/core'
import { Channel } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { EngineMirror } from '../engine-mirror.js'
import { FactLink, patienceMs } from '../fact-exchange.js'
import { redial, type SidePeering } from '../redial.js'
import { EngineNews } from './news.js'

/** News come at least every 1.5 s; a channel without any for longer is dead, or its process hangs. */
const deafMs = 2200
const checkMs = 300
/** News from several engines that come close together go on in one write: each write wakes all entries near. */
const gatherMs = 60

export interface RelayOptions extends SidePeering {
  /** There is something to pass on. */
  changed: () => void
}

interface Source {
  stop: AbortController
  mirror: EngineMirror
  channel: Channel | undefined
}

export class Relay {
  readonly #sources = new Map<string, Source>()
  /** The latest of each engine that was told of. */
  readonly news = new Map<string, EngineNews>()
  #due: NodeJS.Timeout | undefined

  constructor (private readonly options: RelayOptions) {}

  /** Takes the news of the engines at these hosts and of no others. */
  follow (hosts: ReadonlySet<string>): void {
    for (const [host, source] of this.#sources) {
      if (!hosts.has(host)) this.#close(host, source)
    }
    for (const host of hosts) {
      if (!this.#sources.has(host)) this.#open(host)
    }
  }

  get following (): number {
    return this.#sources.size
  }

  close (): void {
    clearTimeout(this.#due)
    for (const [host, source] of this.#sources) this.#close(host, source)
  }

  #open (host: string): void {
    const source: Source = { stop: new AbortController(), mirror: new EngineMirror(), channel: undefined }
    this.#sources.set(host, source)
    void this.#keep(host, source)
  }

  #close (host: string, source: Source): void {
    source.stop.abort()
    source.channel?.close()
    this.#sources.delete(host)
    this.news.delete(host)
  }

  async #keep (host: string, source: Source): Promise<void> {
    await redial({
      host,
      peering: this.options,
      talk: stream => this.#read(host, source, stream),
      needed: () => true,
      signal: source.stop.signal,
      peer: 'relay'
    })
  }

  async #read (host: string, source: Source, stream: Duplex): Promise<string> {
    const { facts, log, channel: options } = this.options
    const channel = new Channel(stream, options)
    source.channel = channel
    if (source.stop.signal.aborted) channel.close()
    const factLink = new FactLink(facts, channel, patienceMs.farSide, log)
    let heardAt = nowMs()
    const watch = setInterval(() => { if (nowMs() - heardAt > deafMs) channel.close({ reason: 'silent' }) }, checkMs)
    void channel.greeted.then(welcome => {
      if (!welcome) return
      channel.send({ type: 'follow', hosts: [host], relay: true })
      factLink.start(patienceMs.newcomer)
    })
    for await (const frame of channel.frames()) {
      factLink.take(frame)
      if (frame.type !== 'holding') continue
      heardAt = nowMs()
      source.mirror.take(frame)
      this.#note(host, source)
    }
    clearInterval(watch)
    factLink.stop()
    source.mirror.lost = true
    // Entries would ask it for adapters in vain, for half a second each time.
    if (!source.stop.signal.aborted && source.mirror.told) this.#note(host, source)
    return (await channel.ended).reason
  }

  #note (host: string, { mirror }: Source): void {
    this.news.set(host, newsOf(host, mirror, this.#batchSizeAt(host)))
    this.#due ??= setTimeout(() => this.#passOn(), gatherMs)
  }

  #batchSizeAt (host: string): number | undefined {
    for (const { address, slots } of this.options.facts.servers.values()) if (hostOf(address) === host) return slots
    return undefined
  }

  #passOn (): void {
    this.#due = undefined
    this.options.changed()
  }
}

const newsOf = (host: string, mirror: EngineMirror, batchSize: number | undefined): EngineNews => {
  const { changes, held, coming, reachable, server, bornAt, leaving, waiting, running, unread, entries, strangers, fence, lost } = mirror
  return new EngineNews({ host, changes, held, coming, warm: () => mirror.warm.all(), reachable, server, bornAt, leaving, waiting, running, unread, entries, strangers, fence, lost, batchSize })
}
