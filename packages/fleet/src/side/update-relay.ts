/**
 * Receives updates of engines in other failure domains once and relays them to the local entries.
 *
 * A side process keeps a channel to a remote one while a local entry subscribes to the engine there. The relay handles updates
 * only: entries send requests and demands straight to their targets, so a relay that fails delays updates and nothing else.
 */
import type { Duplex } from 'node:stream'
import { hostOf } from '@finchpitch/core'
import { Channel } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { EngineMirror } from '../engine-mirror.js'
import { FactLink, forwardDelayMs } from '../fact-exchange.js'
import { keepConnected, type SideConnectionOptions } from '../keep-connected.js'
import { EngineUpdate } from './engine-update.js'

/** Updates arrive at least every 1.5 s. A channel without any for this time is dead, or the process at its other end hangs. */
const silenceTimeoutMs = 2200
const silenceCheckMs = 300
/** Updates of several engines within this time are relayed in one write, since each write wakes all local entries. */
const batchMs = 60

export interface UpdateRelayOptions extends SideConnectionOptions {
  /** Called when there are updates to relay. */
  changed: () => void
}

interface Source {
  stop: AbortController
  mirror: EngineMirror
  channel: Channel | undefined
}

export class UpdateRelay {
  readonly #sources = new Map<string, Source>()
  /** Latest update of each engine by host, absent until the first one arrives. */
  readonly updates = new Map<string, EngineUpdate>()
  #flushTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: UpdateRelayOptions) {}

  /** Sets the hosts of the engines to receive updates of, and closes the channels to all others. */
  setHosts (hosts: ReadonlySet<string>): void {
    for (const [host, source] of this.#sources) {
      if (!hosts.has(host)) this.#close(host, source)
    }
    for (const host of hosts) {
      if (!this.#sources.has(host)) this.#open(host)
    }
  }

  get hostCount (): number {
    return this.#sources.size
  }

  close (): void {
    clearTimeout(this.#flushTimer)
    for (const [host, source] of this.#sources) this.#close(host, source)
  }

  #open (host: string): void {
    const source: Source = { stop: new AbortController(), mirror: new EngineMirror(), channel: undefined }
    this.#sources.set(host, source)
    void this.#maintain(host, source)
  }

  #close (host: string, source: Source): void {
    source.stop.abort()
    source.channel?.close()
    this.#sources.delete(host)
    this.updates.delete(host)
  }

  async #maintain (host: string, source: Source): Promise<void> {
    await keepConnected({
      host,
      connection: this.options,
      runSession: stream => this.#read(host, source, stream),
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
    const factLink = new FactLink(facts, channel, forwardDelayMs.remoteSide, log)
    let lastUpdateAt = nowMs()
    const silenceTimer = setInterval(() => { if (nowMs() - lastUpdateAt > silenceTimeoutMs) channel.close({ reason: 'silent' }) }, silenceCheckMs)
    void channel.helloReceived.then(welcome => {
      if (!welcome) return
      channel.send({ type: 'follow', hosts: [host], relay: true })
      factLink.start(forwardDelayMs.newcomer)
    })
    for await (const frame of channel.frames()) {
      factLink.handleFrame(frame)
      if (frame.type !== 'holding') continue
      lastUpdateAt = nowMs()
      source.mirror.apply(frame)
      this.#recordUpdate(host, source)
    }
    clearInterval(silenceTimer)
    factLink.stop()
    source.mirror.lost = true
    // Without this update, entries would send demands there in vain and wait half a second for each.
    if (!source.stop.signal.aborted && source.mirror.hasUpdates) this.#recordUpdate(host, source)
    return (await channel.ended).reason
  }

  #recordUpdate (host: string, { mirror }: Source): void {
    this.updates.set(host, updateFrom(host, mirror, this.#batchSizeAt(host)))
    this.#flushTimer ??= setTimeout(() => this.#flush(), batchMs)
  }

  #batchSizeAt (host: string): number | undefined {
    for (const { address, slots } of this.options.facts.servers.values()) if (hostOf(address) === host) return slots
    return undefined
  }

  #flush (): void {
    this.#flushTimer = undefined
    this.options.changed()
  }
}

const updateFrom = (host: string, mirror: EngineMirror, batchSize: number | undefined): EngineUpdate => {
  const { changes, held, coming, reachable, server, bornAt, leaving, waiting, running, unread, room, slotMs, prefillMs, tokenMs, entries, strangers, lost } = mirror
  return new EngineUpdate({ host, changes, held, coming, warm: () => mirror.warm.all(), reachable, server, bornAt, leaving, waiting, running, unread, room, slotMs, prefillMs, tokenMs, entries, strangers, lost, batchSize })
}
