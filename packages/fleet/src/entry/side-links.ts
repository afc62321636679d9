/**
 * An entry's connections to all side processes, and what it was told of their engines.
 *
 * A side process is found beside its engine, on a port that is the same on all machines. News of an engine come from its
 * own side process or, across failure domains, through one near (`news-sources.ts`); wants and uses go straight to the
 * engine's side process.
 */
import { hostOf, pause } from '@finchpitch/core'
import type { Appointment, Channel, Frame, FrameOf, HoldingFrame } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { EngineMirror } from '../engine-mirror.js'
import type { SideConnectionOptions } from '../keep-connected.js'
import type { BackendServer } from '../server.js'
import type { SidePlace } from './try-news-exchange.js'
import { countEntries, countWatchers, type DomainEntries } from './entry-count.js'
import { NewsSources, relayOf, type NewsHosts } from './news-sources.js'
import type { ServerStates } from './server-states.js'
import { SideLink } from './side-link.js'

/** An adapter whose last request ended can make room; places are short under load, so that is told soon. */
const usesMs = 40
/**
 * How often links are looked after. Uses have a timer of their own, set by the first that changes: with one look at all
 * every 50 ms an entry at rest woke 20 times a second for nothing.
 */
const tendMs = 200
/** Said again even where nothing changed, as a side process forgets what it hears no more of. */
const usesAgainMs = 1000
/** Over the number of side processes, so that each may be the first. */
const mostStart = 10_000

export interface SideLinksOptions extends SideConnectionOptions {
  process: string
  domain: string
  states: ServerStates
  /** Gets a proof that the table is the newest, where this entry reads the store. */
  prove: () => Promise<void>
  /** This entry watches the store. */
  watching: () => boolean
  /** News that may let waiting requests go on: of these adapters, or of any. */
  changed: (keys: string[] | undefined) => void
  /** An answer about quotas came from the side process at `host`. */
  granted: (host: string, channel: Channel, frame: FrameOf<'quota_grant'>) => void
  /** News of servers that ended under requests came. */
  crashes: (frame: FrameOf<'crashes'>, from: string) => void
  /** The side process at `host` has what it was told of such. */
  crashesNoted: (host: string, stamp: number, granted: boolean) => void
  /** A side process near was joined. */
  joinedNear: (channel: Channel) => void
  /** Who watches the store, as side processes near tell it, may have changed. */
  appointmentsChanged: () => void
}

interface Engine {
  domain: string
  link: SideLink
  mirror: EngineMirror
}

export class SideLinks {
  /** By the host that an engine shares with its side process. */
  readonly #engines = new Map<string, Engine>()
  readonly #sources: NewsSources
  /** Side processes take turns in being asked for proofs; entries begin with different ones. */
  #freshRounds = Math.floor(Math.random() * mostStart)
  #usesDue: NodeJS.Timeout | undefined
  /** Servers whose uses changed since they were told. */
  readonly #used = new Set<string>()

  constructor (private readonly options: SideLinksOptions) {
    this.#sources = new NewsSources(options.log)
  }

  /** Begins with new engines and lets go of those that are gone. */
  reconcile (engines: readonly BackendServer[]): void {
    const domains = new Map(engines.map(engine => [hostOf(engine.address), engine.domain]))
    for (const [host, { link }] of this.#engines) {
      if (domains.has(host)) continue
      link.close()
      this.#engines.delete(host)
    }
    for (const [host, domain] of domains) {
      if (!this.#engines.has(host)) this.#engines.set(host, this.#begin(host, domain))
    }
  }

  /** How many entries there are, by what side processes tell; `undefined` while none has. */
  get entries (): number | undefined {
    return countEntries(this.#toldEntries)
  }

  /** How many of them watch the store. */
  get watchers (): number | undefined {
    return countWatchers(this.#toldEntries)
  }

  /** What side processes near that answer say of this entry as a watcher of the store. */
  get appointments (): Appointment[] {
    return [...this.#engines.values()].filter(({ link }) => link.near).map(({ link }) => link.appointment).filter(each => each !== undefined)
  }

  /** Hosts of all side processes. */
  get hosts (): string[] {
    return [...this.#engines.keys()]
  }

  /** Of all side processes. What a far one is worth is only seen once it is told something. */
  get places (): SidePlace[] {
    return [...this.#engines].map(([host, { domain, link }]) => ({ host, domain, lively: link.lively || !link.near }))
  }

  /** The channel to the side process at a host; opens one where there is none yet. */
  channelTo (host: string): Channel | undefined {
    return this.#engines.get(host)?.link.channel
  }

  /** The store answers no entry near. */
  get outage (): boolean {
    return this.appointments.some(each => each.outage)
  }

  /** Asks one side process after the other for a proof that the table is the newest: those near, and on `far` also the others. */
  askFresh (far: boolean): void {
    const links = [...this.#engines.values()].map(({ link }) => link)
    this.#freshRounds += 1
    for (const asked of [links.filter(link => link.near && link.lively), far ? links.filter(link => !link.near) : []]) {
      asked[this.#freshRounds % asked.length]?.askFresh()
    }
  }

  /** This entry began to watch the store, or left it to others. */
  watchingChanged (): void {
    for (const { link } of this.#engines.values()) link.watchingChanged()
  }

  get #toldEntries (): DomainEntries[] {
    return [...this.#engines.values()].map(({ domain, mirror }) =>
      ({ domain, entries: mirror.hasUpdates ? mirror.entries : undefined, strangers: mirror.strangers }))
  }

  get connected (): number {
    return [...this.#engines.values()].filter(({ link }) => link.connected).length
  }

  /** Whether the engine's side process can be asked to bring the key in. */
  orderable (engine: BackendServer, key: string): boolean {
    const known = this.#at(engine)
    return known !== undefined && !known.mirror.lost && known.link.orderable(key)
  }

  /**
   * Whether the engine was asked for the key a moment ago, and may well bring it in though it has not said so yet. It
   * keeps the next request for the key from asking another engine: loads of what was on its way fell from 72 to 24 of some
   * 850 in a minute on 8 engines.
   */
  awaits (engine: BackendServer, key: string): boolean {
    return this.#at(engine)?.link.awaits(key) === true
  }

  /** Whether the engine has a copy of the key at hand. */
  warm (engine: BackendServer, key: string): boolean {
    return this.#at(engine)?.mirror.warm.version(key) !== undefined
  }

  /** Asks for the key, unless that was done a moment ago. */
  want (engine: BackendServer, key: string, waiting: number, priority: number, version: number | undefined): void {
    const want = { key, waiting, priority, ...(version === undefined ? {} : { version }) }
    if (this.#at(engine)?.link.want(want) !== true) return
    this.options.log.info('adapter.wanted', { key, server: engine.id, waiting, priority })
  }

  /** Requests began, were heard or ended somewhere; the side processes concerned are told soon. */
  usesChanged (id: string): void {
    this.#used.add(id)
    this.#usesDue ??= setTimeout(() => this.#tellChangedUses(), usesMs)
  }

  /** Looks after the links until `signal` aborts. */
  async tend (signal: AbortSignal): Promise<void> {
    for (let round = 1; !signal.aborted; round++) {
      await pause(tendMs, signal)
      const all = round % (usesAgainMs / tendMs) === 0
      if (all) {
        this.#tellAllUses()
        for (const { link } of this.#engines.values()) link.check()
      }
      const hosts = this.#hosts()
      this.#chooseSources(hosts)
      this.#chooseTeller(hosts)
    }
  }

  close (): void {
    clearTimeout(this.#usesDue)
    for (const { link } of this.#engines.values()) link.close()
  }

  #at (server: BackendServer): Engine | undefined {
    return this.#engines.get(hostOf(server.address))
  }

  /** Of 70 servers two or three change in the time that changes are gathered. */
  #tellChangedUses (): void {
    this.#usesDue = undefined
    for (const id of this.#used) {
      const server = this.options.facts.servers.get(id)
      if (server !== undefined) this.#tellUses(server, false)
    }
    this.#used.clear()
  }

  #tellAllUses (): void {
    clearTimeout(this.#usesDue)
    this.#usesDue = undefined
    this.#used.clear()
    for (const server of this.options.facts.servers.values()) this.#tellUses(server, true)
  }

  #tellUses (server: BackendServer, all: boolean): void {
    const state = this.options.states.get(server.id)
    if (state !== undefined) this.#at(server)?.link.tellUses(state, all)
  }

  #begin (host: string, domain: string): Engine {
    const mirror = new EngineMirror()
    const { changed, appointmentsChanged, joinedNear } = this.options
    const link: SideLink = new SideLink(host, domain === this.options.domain, {
      ...this.options,
      fence: () => mirror.fence,
      changed: () => changed(undefined),
      joined: channel => { if (link.near) joinedNear(channel) },
      appointmentChanged: appointmentsChanged,
      take: (frame, channel) => this.#take(host, frame, channel)
    })
    if (link.near) link.follow([host])
    return { domain, link, mirror }
  }

  /** Hosts of the side processes near that answer, and of all engines elsewhere. */
  #hosts (): NewsHosts {
    const near: string[] = []
    const far: string[] = []
    for (const [host, { link }] of this.#engines) {
      if (!link.near) far.push(host)
      else if (link.lively) near.push(host)
    }
    return { near, far }
  }

  /** Takes the news of each engine from where they should come now. */
  #chooseSources (hosts: NewsHosts): void {
    if (!this.#sources.choose(hosts)) return
    for (const [host, { link }] of this.#engines) link.follow(this.#sources.toldBy(host, link.near))
  }

  /** An entry that doesn't watch the store learns of it from one side process near, each entry from another. */
  #chooseTeller ({ near }: NewsHosts): void {
    const { process, watching } = this.options
    const teller = watching() ? undefined : relayOf(process, near)
    for (const [host, { link }] of this.#engines) if (link.near) link.depend(host === teller)
  }

  readonly #handlers: { [Type in Frame['type']]?: (host: string, frame: FrameOf<Type>, channel: Channel) => void } = {
    holding: (host, frame) => this.#hold(host, frame),
    arrived: (host, { key, version }) => this.#arrived(host, key, version),
    declined: (host, { key, reason }) => {
      this.options.log.info('adapter.declined', { key, host, reason })
      this.options.changed([key])
    },
    quota_grant: (host, frame, channel) => this.options.granted(host, channel, frame),
    crashes: (_host, frame, channel) => this.options.crashes(frame, channel.peer.process),
    crashes_noted: (host, { stamp, granted }) => this.options.crashesNoted(host, stamp, granted === true)
  }

  #take (host: string, frame: Frame, channel: Channel): void {
    const handle = this.#handlers[frame.type] as ((host: string, frame: Frame, channel: Channel) => void) | undefined
    handle?.(host, frame, channel)
  }

  /** News by the side process at `teller`. Those of a source that was given up may lack what went before. */
  #hold (teller: string, frame: HoldingFrame): void {
    const engine = this.#engines.get(frame.host)
    if (engine === undefined || this.#sources.of(frame.host) !== teller) return
    engine.mirror.apply(frame)
    engine.link.held(Object.keys(frame.came ?? {}))
    this.#tell(frame.host, engine)
    if (frame.came !== undefined) this.options.changed(Object.keys(frame.came))
  }

  #arrived (host: string, key: string, version: number): void {
    const engine = this.#engines.get(host)
    if (engine === undefined) return
    engine.mirror.recordLoaded(key, version)
    engine.link.held([key])
    const server = this.#serverAt(host, engine.mirror.server)
    if (server !== undefined) this.options.states.updateHeld(server.id, engine.mirror.held)
    this.options.changed([key])
  }

  /** Gives what is known of the engine to its state. */
  #tell (host: string, { link, mirror }: Engine): void {
    const server = this.#serverAt(host, mirror.server)
    if (server === undefined) return
    const { reachable, held, coming, waiting, running, unread, bornAt, leaving } = mirror
    if (leaving && mirror.server === server.id) this.options.facts.markDraining({ id: server.id, bornAt }, `the side process at ${host}`)
    // What this entry itself told of is known here better.
    const others = Math.max(0, unread - link.toldUnread)
    this.options.states.applyReport(server.id, { at: nowMs(), reachable, held, coming: new Set(coming), waiting, running, unread: others }, bornAt)
  }

  /** The engine that a side process tells of: the one that it names, or the last listed at its host. */
  #serverAt (host: string, id: string | undefined): BackendServer | undefined {
    const { facts } = this.options
    const named = id === undefined ? undefined : facts.servers.get(id)
    if (named !== undefined && hostOf(named.address) === host) return named
    return [...facts.servers.values()].findLast(server => hostOf(server.address) === host)
  }
}
