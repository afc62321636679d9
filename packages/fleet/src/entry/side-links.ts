/**
 * Connections to the side processes: one task for each engine, for as long as the engine is listed.
 *
 * A side process is found beside its engine, on a port that is the same on all machines. What it tells is kept in
 * the engine's state; what the entry wants brought in, and which adapters it uses, goes the other way.
 */
import type { Duplex } from 'node:stream'
import { backoff, pause, type Log } from '@finchpitch/core'
import { Channel, type ChannelOptions, type Frame, type HoldingFrame } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { FactLink, patienceMs } from '../fact-exchange.js'
import type { Facts } from '../facts.js'
import type { BackendServer } from '../server.js'
import { unreadDiffers } from '../unread.js'
import { WarmCopies } from '../warm-copies.js'
import type { ServerStates } from './server-state.js'

const reconnectSpan = { firstMs: 100, limitMs: 1000 }

/** An adapter whose last request ended can make room; places are short under load, so that is told soon. */
const usesMs = 50
/** Said again even where nothing changed, as a side process forgets what it hears no more of. */
const usesAgainMs = 1000
/** A want is said again while requests wait, in case it was lost or declined. */
const wantAgainMs = 600
/** One that has said nothing for this long, near and across, isn't asked for anything: it is stuck or gone. */
const stuckMs = { near: 1000, far: 2000 }
/** A side process answers a want as soon as it has looked at its engine, within 0.1 s; one that is silent for longer is stuck or gone. */
const unansweredMs = 500
/** After a side process declined, others are asked first for this long. */
const declinedMs = 500
/** A side process says something at least every 0.7 s near and 1.5 s across; this much silence is twice to four times that. */
const deafMs = 3000

export interface SideLinksOptions {
  process: string
  domain: string
  facts: Facts
  states: ServerStates
  sidePort: number
  channel: ChannelOptions
  dial: (address: string) => Promise<Duplex>
  log: Log
  /** News that may let waiting requests go on: of these adapters, or of any. */
  changed: (keys: string[] | undefined) => void
}

interface SideLink {
  host: string
  domain: string
  stop: AbortController
  channel: Channel | undefined
  heardAt: number
  /** When it was first asked for something since it was last heard. */
  unansweredSince: number
  entries: number
  held: ReadonlyMap<string, number>
  coming: ReadonlySet<string>
  server: string | undefined
  warm: WarmCopies
  /** Unread prompt tokens as last told. */
  toldUnread: number
  wanted: Map<string, number>
  declined: Map<string, number>
}

const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'))

export class SideLinks {
  readonly #links = new Map<string, SideLink>()
  /** The highest fence that each side process was seen to use. */
  readonly #fences = new Map<string, number>()

  constructor (private readonly options: SideLinksOptions) {}

  /** Opens links to new engines and closes those to engines that are gone. */
  reconcile (engines: readonly BackendServer[]): void {
    const hosts = new Map(engines.map(engine => [hostOf(engine.address), engine]))
    for (const [host, link] of this.#links) {
      if (hosts.has(host)) continue
      link.stop.abort()
      link.channel?.close()
      this.#links.delete(host)
    }
    for (const [host, engine] of hosts) {
      if (!this.#links.has(host)) this.#open(host, engine.domain)
    }
  }

  /** The most entries that any side process is connected to; `undefined` while none has told. */
  get entries (): number | undefined {
    const now = nowMs()
    const counts = [...this.#links.values()].filter(link => now - link.heardAt < deafMs).map(link => link.entries)
    return counts.length === 0 ? undefined : Math.max(...counts)
  }

  get connected (): number {
    return [...this.#links.values()].filter(link => link.channel !== undefined).length
  }

  /** Whether the engine's side process can be asked to bring the key in. */
  orderable (engine: BackendServer, key: string): boolean {
    const link = this.#links.get(hostOf(engine.address))
    if (link?.channel === undefined) return false
    const now = nowMs()
    return !this.#stuck(link, now) && now - (link.declined.get(key) ?? -Infinity) > declinedMs
  }

  #stuck (link: SideLink, now: number): boolean {
    const patience = link.domain === this.options.domain ? stuckMs.near : stuckMs.far
    return now - link.heardAt > patience || now - link.unansweredSince > unansweredMs
  }

  /**
   * Whether the engine was asked for the key a moment ago, and may well bring it in though it has not said so yet. It
   * keeps the next request for the key from asking another engine: loads of what was on its way fell from 72 to 24 of some
   * 850 in a minute on 8 engines.
   */
  awaits (engine: BackendServer, key: string): boolean {
    const link = this.#links.get(hostOf(engine.address))
    const now = nowMs()
    return link?.channel !== undefined && !this.#stuck(link, now) && now - (link.wanted.get(key) ?? -Infinity) < wantAgainMs
  }

  /** Whether the engine had the key lately, in the version that would be loaded now. */
  warm (engine: BackendServer, key: string): boolean {
    const version = this.#links.get(hostOf(engine.address))?.warm.version(key)
    return version !== undefined && version >= (this.options.facts.version(key)?.version ?? 0)
  }

  want (engine: BackendServer, key: string, waiting: number, priority: number, version?: number): void {
    const link = this.#links.get(hostOf(engine.address))
    const now = nowMs()
    if (link?.channel === undefined || now - (link.wanted.get(key) ?? -Infinity) < wantAgainMs) return
    link.wanted.set(key, now)
    link.unansweredSince = Math.min(link.unansweredSince, now)
    link.channel.send({ type: 'want', key, waiting, priority, ...(version === undefined ? {} : { version }) })
    this.options.log.info('adapter.wanted', { key, server: engine.id, waiting, priority })
  }

  /** Tells side processes which adapters are in use, until `signal` aborts. */
  async tellUses (signal: AbortSignal): Promise<void> {
    for (let round = 1; !signal.aborted; round++) {
      await pause(usesMs, signal)
      const all = round % (usesAgainMs / usesMs) === 0
      for (const server of this.options.facts.servers.values()) this.#tellUses(server, all)
    }
  }

  #tellUses (server: BackendServer, all: boolean): void {
    const link = this.#links.get(hostOf(server.address))
    const state = this.options.states.get(server.id)
    if (state === undefined || link?.channel === undefined) return
    const { unread } = state
    const unreadChanged = unreadDiffers(link.toldUnread, unread)
    if (state.uses.size === 0 && !unreadChanged) return
    const uses: Array<[string, number, number]> = []
    for (const [key, use] of state.uses) {
      if (!all && use.started === 0 && use.running > 0) continue
      uses.push([key, use.started, use.running])
      use.started = 0
      if (use.running === 0) state.uses.delete(key)
    }
    if (uses.length === 0 && !unreadChanged) return
    link.toldUnread = unread
    link.channel.send({ type: 'uses', uses, unread })
  }

  #open (host: string, domain: string): void {
    const link: SideLink = {
      host,
      domain,
      stop: new AbortController(),
      channel: undefined,
      heardAt: -Infinity,
      unansweredSince: Infinity,
      entries: 0,
      held: new Map(),
      coming: new Set(),
      server: undefined,
      warm: new WarmCopies(),
      toldUnread: 0,
      wanted: new Map(),
      declined: new Map()
    }
    this.#links.set(host, link)
    void this.#keep(link)
  }

  async #keep (link: SideLink): Promise<void> {
    const { dial, sidePort, log } = this.options
    const { signal } = link.stop
    let failures = 0
    while (!signal.aborted) {
      try {
        const stream = await dial(`${link.host}:${sidePort}`)
        const reason = await this.#talk(link, stream)
        failures = 0
        if (!signal.aborted) log.warn('side.lost', { host: link.host, reason })
      } catch (error) {
        if (failures === 0) log.warn('side.unreachable', { host: link.host, detail: (error as Error).message })
      }
      failures += 1
      await pause(backoff(failures - 1, Math.random, reconnectSpan), signal)
    }
  }

  async #talk (link: SideLink, stream: Duplex): Promise<string> {
    const { facts, domain, log, changed } = this.options
    const channel = new Channel(stream, this.options.channel)
    link.held = new Map()
    link.coming = new Set()
    const factLink = new FactLink(facts, channel, link.domain === domain ? patienceMs.nearSide : patienceMs.farSide, log)
    void channel.greeted.then(welcome => {
      if (!welcome) return
      link.channel = channel
      channel.send({ type: 'fences', highest: Math.max(this.#fences.get(link.host) ?? 0, Math.floor(facts.revision)) })
      factLink.start()
      log.info('side.joined', { host: link.host, process: channel.peer.process })
    })
    for await (const frame of channel.frames()) {
      link.heardAt = nowMs()
      link.unansweredSince = Infinity
      if (frame.type === 'fact') factLink.receive(frame)
      else if (frame.type === 'heartbeat') factLink.heard(frame.complete)
      else this.#take(link, frame)
    }
    factLink.stop()
    link.channel = undefined
    link.toldUnread = 0
    link.wanted.clear()
    changed(undefined)
    return (await channel.ended).reason
  }

  #take (link: SideLink, frame: Frame): void {
    if (frame.type === 'holding') this.#hold(link, frame)
    if (frame.type === 'declined') {
      link.declined.set(frame.key, nowMs())
      link.wanted.delete(frame.key)
      this.options.log.info('adapter.declined', { key: frame.key, host: link.host, reason: frame.reason })
      this.options.changed([frame.key])
    }
  }

  #hold (link: SideLink, frame: HoldingFrame): void {
    if (frame.came !== undefined || frame.went !== undefined) {
      const held = new Map(link.held)
      for (const key of frame.went ?? []) {
        const version = held.get(key)
        if (version !== undefined) link.warm.keep(key, version)
        held.delete(key)
      }
      for (const [key, version] of Object.entries(frame.came ?? {})) held.set(key, version)
      link.held = held
    }
    if (frame.coming !== undefined) link.coming = new Set(frame.coming)
    const forgotten = nowMs() - deafMs
    for (const [key, at] of link.wanted) if (link.held.has(key) || at < forgotten) link.wanted.delete(key)
    if (frame.server !== link.server) link.warm.clear()
    for (const [key, version] of frame.warm ?? []) link.warm.keep(key, version)
    link.server = frame.server
    link.entries = frame.entries
    this.#fences.set(link.host, Math.max(this.#fences.get(link.host) ?? 0, frame.fence))
    const server = this.#serverAt(link)
    const { reachable, waiting, running, unread = 0 } = frame
    if (server !== undefined) {
      this.options.states.tell(server.id, { at: nowMs(), reachable, held: link.held, coming: link.coming, waiting, running, unread })
    }
    if (frame.came !== undefined) this.options.changed(Object.keys(frame.came))
  }

  /** The engine that a side process tells of: the one that it names, or the last listed at its host. */
  #serverAt (link: SideLink): BackendServer | undefined {
    const { facts } = this.options
    const named = link.server === undefined ? undefined : facts.servers.get(link.server)
    if (named !== undefined && hostOf(named.address) === link.host) return named
    return [...facts.servers.values()].findLast(server => hostOf(server.address) === link.host)
  }

  close (): void {
    for (const link of this.#links.values()) {
      link.stop.abort()
      link.channel?.close()
    }
  }
}
