/**
 * All peers connected to a side process, and the frames that each of them receives.
 *
 * Local entries subscribe to its engine and, through it, to engines in other failure domains. It appoints some of them to
 * watch the store; the others depend on it for store data. Remote side processes subscribe on behalf of their own
 * entries. Remote entries demand adapters and are only notified of those.
 */
import type { Channel, Frame, FrameOf, StoreSight } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { FactLink } from '../fact-exchange.js'
import { AttemptReportRelay } from './attempt-report-relay.js'
import { FreshnessRelay } from './freshness-relay.js'
import { Subscriber, idleChannelPace } from './subscriber.js'
import type { EngineUpdate } from './engine-update.js'
import { UpdateRelay, type UpdateRelayOptions } from './update-relay.js'
import { selectWatchers } from './watchers.js'
import { SoftwareVersions } from '../software-versions.js'
import { followKeepers } from '../stream-keepers.js'
import { StreamRegistry } from './stream-registry.js'

export interface SubscribersOptions extends Omit<UpdateRelayOptions, 'changed'> {
  domain: string
  /** Host that this process shares with its engine. */
  host: string
  /** The current update of the engine. */
  engineUpdate: () => EngineUpdate
}

/** The subscribers by role. */
interface Roles {
  /** Local entries. */
  localEntries: readonly Subscriber[]
  /** Local entries, and remote entries that subscribe to the engine directly. */
  subscribedEntries: readonly Subscriber[]
}

export class Subscribers {
  readonly #subscribers = new Set<Subscriber>()
  /** Derived when needed after a subscriber has joined, has left or has changed its subscriptions. */
  #roles: Roles | undefined
  readonly #relay: UpdateRelay
  readonly #freshness: FreshnessRelay
  readonly #attemptReports: AttemptReportRelay
  readonly #softwareVersions: SoftwareVersions
  readonly #streams: StreamRegistry

  constructor (private readonly options: SubscribersOptions) {
    this.#relay = new UpdateRelay({ ...options, changed: () => this.publish() })
    this.#freshness = new FreshnessRelay(options.facts, () => this.#storeReaderChannels())
    this.#softwareVersions = new SoftwareVersions(options.facts)
    this.#streams = new StreamRegistry(this.#softwareVersions, followKeepers(options.facts), options)
    this.#attemptReports = new AttemptReportRelay(() => this.#currentRoles.subscribedEntries.map(subscriber => subscriber.channel))
  }

  get size (): number {
    return this.#subscribers.size
  }

  /** Number of engines in other failure domains whose updates are relayed. */
  get relayedCount (): number {
    return this.#relay.hostCount
  }

  /** Number of local entries, and of remote entries that subscribe to the engine directly. */
  get entries (): { near: number, strangers: number } {
    const { localEntries, subscribedEntries } = this.#currentRoles
    return { near: localEntries.length, strangers: subscribedEntries.length - localEntries.length }
  }

  get #currentRoles (): Roles {
    if (this.#roles !== undefined) return this.#roles
    const entries = [...this.#subscribers].filter(subscriber => !subscriber.relay)
    this.#roles = {
      localEntries: entries.filter(subscriber => subscriber.isLocal),
      subscribedEntries: entries.filter(subscriber => subscriber.isLocal || subscriber.subscribesToOwnEngine)
    }
    return this.#roles
  }

  add (channel: Channel): Subscriber {
    const { domain, host, log } = this.options
    const isLocal = channel.peer.domain === domain
    const subscriber = new Subscriber({ channel, isLocal, engineHost: host })
    this.#subscribers.add(subscriber)
    this.#roles = undefined
    if (isLocal) this.#startFactExchange(subscriber)
    else channel.setPace(idleChannelPace)
    log.info('reader.joined', { reader: channel.peer.process, domain: channel.peer.domain })
    return subscriber
  }

  remove (subscriber: Subscriber): void {
    this.#subscribers.delete(subscriber)
    this.#roles = undefined
    subscriber.factLink?.stop()
    this.#updateRelayed()
  }

  /** Handles the frames that concern subscriptions and store data. Demands and uses are handled by the caller. */
  handleFrame (frame: Frame, subscriber: Subscriber): void {
    subscriber.lastHeardAt = nowMs()
    subscriber.factLink?.handleFrame(frame)
    if (frame.type === 'heartbeat') this.#handleHeartbeat(frame, subscriber)
    if (frame.type === 'depend') subscriber.setDependent(frame.on)
    if (frame.type === 'follow') this.#handleFollow(subscriber, frame)
    if (frame.type === 'ask_fresh') this.#freshness.ask(subscriber.channel, frame)
    if (frame.type === 'fresh') this.#freshness.handleProof(frame)
    if (frame.type === 'crashes' && !this.#streams.handle(subscriber.channel, frame)) this.#attemptReports.handleReport(subscriber.channel, frame)
  }

  /** Sends each peer the updates that are due. */
  publish (): void {
    const { facts, engineUpdate } = this.options
    const own = engineUpdate()
    this.#softwareVersions.update()
    const { complete, serversConfirmedAt } = facts
    for (const subscriber of this.#subscribers) {
      subscriber.publish(own, this.#relay.updates)
      subscriber.sendComplete(complete, serversConfirmedAt)
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
    const reading = this.#currentRoles.localEntries.filter(subscriber => subscriber.sight === 'reading')
    return reading.map(subscriber => subscriber.channel).sort((a, b) => a.peer.process < b.peer.process ? -1 : 1)
  }

  #handleHeartbeat (frame: FrameOf<'heartbeat'>, subscriber: Subscriber): void {
    subscriber.setSight(frame.sight)
    this.options.facts.setSight(this.#localStoreSight())
    // Local entries that read the store send each fact at once, so everything up to `complete` has arrived by now.
    if (subscriber.isLocal && subscriber.hasSentFacts && frame.sight === 'reading' && frame.complete !== undefined) this.options.facts.markAllComplete(frame.complete)
  }

  /** Combined store status of the local entries: `reading` if any of them reads it, else `blind` if any of them gets no answer. */
  #localStoreSight (): StoreSight {
    const sights = new Set(this.#currentRoles.localEntries.map(subscriber => subscriber.sight))
    return (['reading', 'blind'] as const).find(sight => sights.has(sight)) ?? 'resting'
  }

  #startFactExchange (subscriber: Subscriber): void {
    const { facts, log } = this.options
    if (subscriber.factLink !== undefined) return
    subscriber.factLink = new FactLink(facts, subscriber.channel, subscriber.factDelayMs, log)
    subscriber.factLink.start()
    this.#attemptReports.sendAll(subscriber.channel)
  }

  /** Handles the list of engines that a peer subscribes to. */
  #handleFollow (subscriber: Subscriber, { hosts, relay }: FrameOf<'follow'>): void {
    subscriber.setSubscriptions(hosts)
    subscriber.relay = relay
    this.#roles = undefined
    if (!subscriber.isLocal) subscriber.channel.setPace(subscriber.subscribesToOwnEngine ? this.options.channel : idleChannelPace)
    if (subscriber.subscribesToOwnEngine) this.#startFactExchange(subscriber)
    this.#updateRelayed()
    this.publish()
  }

  /** Relays the remote engines that any local entry subscribes to through this process. */
  #updateRelayed (): void {
    const hosts = new Set<string>()
    for (const subscriber of this.#currentRoles.localEntries) {
      for (const host of subscriber.subscribedHosts) if (host !== this.options.host) hosts.add(host)
    }
    this.#relay.setHosts(hosts)
  }

  #appointWatchers (): void {
    const now = nowMs()
    const entries = this.#currentRoles.localEntries
    const { selected, outage } = selectWatchers(entries.map(({ channel, sight, lastHeardAt }) => ({ process: channel.peer.process, silentMs: now - lastHeardAt, sight })))
    for (const subscriber of entries) subscriber.sendAppointment({ type: 'appoint', watch: selected.has(subscriber.channel.peer.process), outage })
  }
}
