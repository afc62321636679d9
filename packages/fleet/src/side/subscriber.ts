/**
 * A peer connected to a side process: a local or remote entry, or a side process of another failure domain. Local means in the
 * same failure domain.
 *
 * A peer receives updates only of the engines that it subscribes to. Remote entries usually subscribe to none: they get the
 * updates of engines in other domains through a side process of their own domain, demand adapters here, and are notified when
 * those are loaded. When all side processes sent updates to all entries, 68 entries and 58 side processes sent 0.197 GB across
 * domains in one minute; with subscriptions, it is 0.071 GB.
 */
import { encodeFrame, type Appointment, type Channel, type ChannelPace, type CompleteRevisions, type StoreSight } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { forwardDelayBySight, forwardDelayMs, type FactLink } from '../fact-exchange.js'
import { UpdateThrottle, updatePolicies, type EngineUpdate } from './engine-update.js'

/** For channels with little traffic: heartbeats between domains cost bandwidth, and an unanswered demand reveals a dead channel. */
export const idleChannelPace: ChannelPace = { heartbeatMs: 5000, silenceTimeoutMs: 12_000, alwaysHeartbeat: false }

/** A demand neither met nor declined after this time was abandoned: entries that still wait repeat theirs sooner. */
const demandTtlMs = 3000

/**
 * Interval at which dependents are notified that their data is still complete. Without changes in the store there is no new revision
 * to report, and a dependent without reports for 6 s watches the store itself.
 */
const confirmIntervalMs = 900

export interface SubscriberOptions {
  channel: Channel
  /** Whether the peer is in the same failure domain. */
  isLocal: boolean
  /** Host of the engine that this side process serves. */
  engineHost: string
}

export class Subscriber {
  readonly channel: Channel
  readonly isLocal: boolean
  /** Exchanges facts read from the store. Set for local peers and for those that subscribe to the engine of this process. */
  factLink: FactLink | undefined
  /** Whether the peer is a side process that relays updates to its local entries. */
  relay = false
  /** Time of the last frame received, on the monotonic clock. */
  lastHeardAt = nowMs()
  #sight: StoreSight | undefined
  /** Whether the peer does not read the store itself and depends on this process for its data. */
  #dependent = false
  #lastComplete: CompleteRevisions | undefined
  #completeSentAt = -Infinity
  #appointment: Appointment | undefined
  readonly #engineHost: string
  readonly #throttles = new Map<string, UpdateThrottle>()
  /** Keys that the peer demanded and got no answer for yet, with the time of its last demand. */
  readonly #demanded = new Map<string, number>()
  /** Whether the peer sent a demand and nothing was sent to it since. */
  #awaitsReply = false
  #hasSentFacts = false

  constructor ({ channel, isLocal, engineHost }: SubscriberOptions) {
    this.channel = channel
    this.isLocal = isLocal
    this.#engineHost = engineHost
  }

  /** The peer's store status by its last heartbeat: it reads the store, gets no answer from it, or leaves it to others. */
  get sight (): StoreSight | undefined {
    return this.#sight
  }

  /**
   * Whether the peer has sent the facts that it had when it joined. Earlier heartbeats report how much it has read, not how much
   * it has sent: a peer that connects to a frozen process sends heartbeats, and may close the connection before it sends a fact.
   */
  get hasSentFacts (): boolean {
    return this.#hasSentFacts
  }

  /** Records the peer's store status from a heartbeat. */
  setSight (sight: StoreSight | undefined): void {
    if (sight === this.#sight) return
    this.#sight = sight
    this.factLink?.setDelay(this.factDelayMs)
  }

  /** Time in ms for which a fact is held back in case the peer receives it from another source. */
  get factDelayMs (): number {
    return this.#dependent ? forwardDelayMs.dependent : forwardDelayBySight[this.#sight ?? 'resting']
  }

  get subscribedHosts (): ReadonlySet<string> {
    return new Set(this.#throttles.keys())
  }

  /** Whether the peer subscribes to the engine of this process. */
  get subscribesToOwnEngine (): boolean {
    return this.#throttles.has(this.#engineHost)
  }

  /** Replaces the set of engine hosts that the peer subscribes to. */
  setSubscriptions (hosts: readonly string[]): void {
    this.#hasSentFacts = true
    const hostSet = new Set(hosts)
    for (const host of this.#throttles.keys()) if (!hostSet.has(host)) this.#throttles.delete(host)
    for (const host of hostSet) {
      if (!this.#throttles.has(host)) this.#throttles.set(host, new UpdateThrottle(this.#policyFor(host)))
    }
  }

  /** Records whether the peer depends on this process for store data. */
  setDependent (on: boolean): void {
    this.#dependent = on
    this.#lastComplete = undefined
    this.factLink?.setDelay(this.factDelayMs)
  }

  /**
   * Tells a dependent peer up to which revision it has received everything, and repeats this now and then. `confirmedAt` is when
   * the store or a peer last confirmed it.
   */
  sendComplete (complete: CompleteRevisions, confirmedAt: number): void {
    if (!this.#dependent) return
    const needsRepeat = confirmedAt - this.#completeSentAt > confirmIntervalMs
    if (!needsRepeat && isSameComplete(complete, this.#lastComplete)) return
    this.#lastComplete = complete
    this.#completeSentAt = confirmedAt
    this.channel.send({ type: 'caught_up', complete })
  }

  /** Appoints an entry to watch the store, or releases it from that. */
  sendAppointment (appointment: Appointment): void {
    const { watch, outage } = appointment
    if (watch === this.#appointment?.watch && outage === this.#appointment.outage) return
    this.#appointment = appointment
    this.channel.send(appointment)
  }

  /** Records a demand. The peer also expects some frame soon, to distinguish this process from a hung one. */
  recordDemand (key: string): void {
    this.#awaitsReply = true
    this.#demanded.set(key, nowMs())
  }

  /** Tells the peer that the key can't be loaded, if it demanded it. */
  decline (key: string, reason: string): void {
    if (this.#demanded.delete(key)) this.channel.send({ type: 'declined', key, reason })
  }

  /**
   * Sends the updates that are due and, together with them, all others worth sending: most of the cost of updates to a peer is
   * waking up for them. `own` is the update of this process's engine, `relayed` those of remote engines by host.
   */
  publish (own: EngineUpdate, relayed: ReadonlyMap<string, EngineUpdate>): void {
    const now = nowMs()
    const frames: Buffer[] = []
    if (this.#awaitsReply || this.#hasDue(own, relayed, now)) this.#addUpdates(frames, own, relayed, now)
    if (this.#demanded.size > 0) frames.push(...this.#arrivalFrames(own, now))
    if (this.#awaitsReply && frames.length === 0) this.channel.beat()
    this.#awaitsReply = false
    if (frames.length > 0) this.channel.sendEncoded(frames)
  }

  #hasDue (own: EngineUpdate, relayed: ReadonlyMap<string, EngineUpdate>, now: number): boolean {
    for (const [host, throttle] of this.#throttles) {
      const update = host === this.#engineHost ? own : relayed.get(host)
      if (update !== undefined && throttle.isDue(update, now)) return true
    }
    return false
  }

  #addUpdates (frames: Buffer[], own: EngineUpdate, relayed: ReadonlyMap<string, EngineUpdate>, now: number): void {
    for (const [host, throttle] of this.#throttles) {
      const update = host === this.#engineHost ? own : relayed.get(host)
      if (update === undefined) continue
      const isReply = this.#awaitsReply && update === own
      if (isReply || throttle.isDue(update, now) || throttle.canPiggyback(update, now)) frames.push(throttle.takeFrame(update, now))
    }
  }

  /** Notifications for demanded keys that are now loaded. Peers that subscribe to the engine learn it from its updates. */
  #arrivalFrames (own: EngineUpdate, now: number): Buffer[] {
    const frames: Buffer[] = []
    for (const [key, at] of this.#demanded) {
      if (now - at > demandTtlMs) this.#demanded.delete(key)
      const version = own.snapshot.held.get(key)
      if (version === undefined) continue
      this.#demanded.delete(key)
      if (!this.subscribesToOwnEngine) frames.push(encodeFrame({ type: 'arrived', key, version }))
    }
    return frames
  }

  #policyFor (host: string): typeof updatePolicies[keyof typeof updatePolicies] {
    if (host !== this.#engineHost) return updatePolicies.relayed
    return this.isLocal ? updatePolicies.local : updatePolicies.remote
  }
}

const isSameComplete = (a: CompleteRevisions, b: CompleteRevisions | undefined): boolean =>
  b !== undefined && a.table === b.table && a.server === b.server && a.version === b.version
