/**
 * An entry's connection to one side process, kept for as long as the store lists the engine that the process serves.
 *
 * The channel to a local side process, one in the same failure domain, is always open. The channel to a remote one is opened on
 * demand and closed when idle, since updates of remote engines come through local side processes.
 */
import type { Duplex } from 'node:stream'
import { Channel, type Appointment, type Frame } from '@finchpitch/wire'
import { boottimeMs, nowMs } from '../../clock.js'
import { FactLink, forwardDelayMs } from '../../fact-exchange.js'
import { acceptProof, answerProofRequest, requestProof, type ProofRequest } from '../../freshness-exchange.js'
import { keepConnected, type SideConnectionOptions } from '../../keep-connected.js'
import { idleChannelPace } from '../../side/subscriber.js'
import { isUnreadChangeSignificant } from '../../unread.js'
import type { ServerState } from '../servers/server-state.js'
import { SentRequests, type LoadRequest, type SentRequest } from './sent-requests.js'

/** A load request is repeated at this interval while requests wait for the adapter, in case it was lost or declined. */
const loadRequestRepeatMs = 600
/** A side process that sends updates and has been silent for this long has hung or failed, and is sent no requests. */
const silenceTimeoutMs = { local: 1000, remote: 2000 }
/**
 * A side process answers a load request as soon as it has polled its engine, within 0.1 s; without an answer for this long it has
 * hung or failed.
 */
const responseTimeoutMs = 500
/** A channel on which a load request stays unanswered for this long is closed and opened again, since it may be dead. */
const deadChannelMs = 1500
/** For this long after a side process declined to load an adapter, it is not asked for that adapter again. */
const declineBackoffMs = 500
/** An idle remote link is closed after this time. At 8 requests a second to 43 remote engines, each link is used every 5 s. */
const idleCloseMs = 15_000

export interface SideLinkOptions extends SideConnectionOptions {
  /** If this entry watches the store, gets a proof from there that the routing table is current, unless it has a recent one. */
  ensureProof: () => Promise<void>
  /** Whether this entry watches the store. If so, it sends all facts to local side processes without delay. */
  watching: () => boolean
  /** Called when the channel is opened or closed. */
  onConnectionChange: () => void
  onConnect: (channel: Channel) => void
  /** Called when the side process sends an appointment, or is lost after it sent one. */
  onAppointmentChange: () => void
  /** Called for each frame, after the link itself has handled it. */
  onFrame: (frame: Frame, channel: Channel) => void
}

/**
 * The last report of an engine may have been made before a load request arrived that was sent this long before it: reports of
 * remote engines are batched on their way.
 */
const reportLagMs = { local: 5, remote: 250 }

/** Whether a demand that waits for a slot has become so much more urgent that its place in the queue changes. */
const ranksHigher = (request: LoadRequest, before: LoadRequest): boolean =>
  request.keep && (request.priority < before.priority || request.waiting >= 2 * before.waiting)

export class SideLink {
  #channel: Channel | undefined
  #running = false
  readonly #stop = new AbortController()
  #lastHeardAt = -Infinity
  /** When the first load request since the last frame from the side process was sent. */
  #unansweredSince = Infinity
  /** Prompt tokens that the engine has not prefilled yet, as last reported. */
  #reportedUnread = 0
  readonly #requested = new SentRequests()
  /** When each adapter was last declined, by key. */
  readonly #declined = new Map<string, number>()
  /** Load requests made before the channel was open. */
  readonly #queuedRequests = new Map<string, LoadRequest>()
  /** Hosts of the engines whose updates this link subscribes to. */
  #subscriptions: readonly string[] = []
  /** Whether this entry depends on the side process for facts from the store. */
  #dependent = false
  #factLink: FactLink | undefined
  /** Whether to request a freshness proof once the channel is open. */
  #proofDue = false
  /** The last appointment from the side process: whether this entry has to watch the store. */
  #appointment: Appointment | undefined
  #lastUsedAt = -Infinity

  constructor (readonly host: string, readonly isLocal: boolean, private readonly options: SideLinkOptions) {
    if (isLocal) this.#connect()
  }

  get connected (): boolean {
    return this.#channel !== undefined
  }

  /** Prompt tokens of this entry's requests that the engine has not prefilled yet, as last reported to the side process. */
  get reportedUnread (): number {
    return this.#reportedUnread
  }

  /** Whether the channel is open and a frame arrived recently. */
  get isResponsive (): boolean {
    return this.#channel !== undefined && nowMs() - this.#lastHeardAt <= (this.isLocal ? silenceTimeoutMs.local : silenceTimeoutMs.remote)
  }

  /** Replaces the set of engine hosts whose updates the side process has to send. */
  setSubscriptions (hosts: readonly string[]): void {
    if (hosts.length === this.#subscriptions.length && hosts.every((host, at) => host === this.#subscriptions[at])) return
    this.#subscriptions = hosts
    if (hosts.length > 0) this.#connect()
    if (this.#channel !== undefined) this.#sendSubscriptions(this.#channel)
  }

  /** Whether the side process appoints this entry to watch the store; `undefined` if it is unresponsive or has sent no appointment. */
  get appointment (): Appointment | undefined {
    return this.isResponsive ? this.#appointment : undefined
  }

  /** Sets whether this entry depends on the side process for facts from the store. */
  setDependent (on: boolean): void {
    if (on === this.#dependent) return
    this.#dependent = on
    this.#channel?.send({ type: 'depend', on })
  }

  /** Updates the delay of facts after this entry has started or stopped watching the store. */
  updateFactDelay (): void {
    if (this.isLocal) this.#factLink?.setDelay(this.#factDelayMs)
  }

  /** The channel if it is open. If it is not, reading this starts to open it. */
  get channel (): Channel | undefined {
    this.#lastUsedAt = nowMs()
    this.#connect()
    return this.#channel
  }

  /** Requests a proof that the routing table is current. */
  requestProof (): void {
    this.#lastUsedAt = nowMs()
    this.#connect()
    if (this.#channel === undefined) this.#proofDue = true
    else requestProof(this.options.facts, this.#channel)
  }

  /** Whether the side process can be asked to load the adapter. */
  canRequestLoad (key: string): boolean {
    const now = nowMs()
    if (now - (this.#declined.get(key) ?? -Infinity) <= declineBackoffMs) return false
    if (now - this.#unansweredSince > responseTimeoutMs) return false
    // Without a subscription, a remote side process may have nothing to send. Only a request shows whether it responds.
    return this.isLocal || this.#subscriptions.length > 0 ? this.isResponsive : true
  }

  /** Whether the adapter was requested recently, so that the engine will probably load it. */
  isLoadRequested (key: string): boolean {
    return this.#recentRequest(key)?.keep === false
  }

  /** Whether the adapter was requested recently although the engine has no room, so that the request waits for a slot there. */
  isLoadQueued (key: string): boolean {
    return this.#recentRequest(key)?.keep === true
  }

  #recentRequest (key: string): SentRequest | undefined {
    const request = this.#requested.get(key)
    return request !== undefined && nowMs() - request.at < loadRequestRepeatMs ? request : undefined
  }

  /** Number of loads that were requested and that a report which arrived at `reportedAt` may not include. */
  loadsRequestedSince (reportedAt: number): number {
    return this.#requested.loadsSince(reportedAt - (this.isLocal ? reportLagMs.local : reportLagMs.remote))
  }

  /** Withdraws a request that waits for a slot. */
  withdraw (key: string): void {
    const request = this.#requested.get(key)
    if (request?.keep !== true) return
    this.#requested.delete(key)
    this.#queuedRequests.delete(key)
    this.#channel?.send({ type: 'want', key, waiting: 0, priority: request.priority })
  }

  /** Asks the side process to load an adapter, unless it was asked recently. Returns whether it was asked now. */
  requestLoad (request: LoadRequest): boolean {
    const now = nowMs()
    const recent = this.#recentRequest(request.key)
    if (recent !== undefined && recent.keep === request.keep && !ranksHigher(request, recent)) return false
    this.#requested.set({ ...request, at: now })
    this.#unansweredSince = Math.min(this.#unansweredSince, now)
    this.#lastUsedAt = now
    this.#connect()
    if (this.#channel === undefined) this.#queuedRequests.set(request.key, request)
    else this.#channel.send({ type: 'want', ...request })
    return true
  }

  /** Records that the engine has loaded these keys. */
  held (keys: Iterable<string>): void {
    for (const key of keys) this.#requested.delete(key)
  }

  /** Reports which adapters are in use. Without `all`, adapters in use without new requests are left out. */
  sendUses (state: ServerState, all: boolean): void {
    if (this.#channel === undefined) {
      if (state.uses.size > 0) this.#connect()
      return
    }
    const { unread } = state
    const unreadChanged = isUnreadChangeSignificant(this.#reportedUnread, unread)
    if (state.uses.size === 0 && !unreadChanged) return
    const uses: Array<[string, number, number]> = []
    for (const [key, use] of state.uses) {
      if (!all && use.started === 0 && use.running > 0) continue
      uses.push([key, use.started, use.running])
      use.started = 0
      if (use.running === 0) state.uses.delete(key)
    }
    if (uses.length === 0 && !unreadChanged) return
    this.#lastUsedAt = nowMs()
    this.#reportedUnread = unread
    const pace = state.takePace()
    this.#channel.send({ type: 'uses', uses, unread, ...(pace === undefined ? {} : { pace: [...pace] }) })
  }

  /** Closes the channel if it is dead or no longer needed, and drops expired entries. */
  check (): void {
    const now = nowMs()
    this.#requested.deleteBefore(now - deadChannelMs)
    for (const [key, at] of this.#declined) if (now - at > declineBackoffMs) this.#declined.delete(key)
    if (now - this.#unansweredSince > deadChannelMs) {
      this.#unansweredSince = Infinity
      this.#queuedRequests.clear()
      this.#channel?.close({ reason: 'silent' })
    }
    if (!this.#needed) this.#channel?.close()
  }

  close (): void {
    this.#stop.abort()
    this.#channel?.close()
  }

  get #needed (): boolean {
    return this.isLocal || this.#subscriptions.length > 0 || this.#queuedRequests.size > 0 || nowMs() - this.#lastUsedAt < idleCloseMs
  }

  #connect (): void {
    this.#lastUsedAt = nowMs()
    if (this.#running) return
    this.#running = true
    void this.#run()
  }

  async #run (): Promise<void> {
    await keepConnected({
      host: this.host,
      connection: this.options,
      runSession: stream => this.#runSession(stream),
      needed: () => this.#needed,
      signal: this.#stop.signal,
      peer: 'side'
    })
    this.#running = false
  }

  async #runSession (stream: Duplex): Promise<string> {
    const { facts, log } = this.options
    const channel = new Channel(stream, this.options.channel)
    if (this.#stop.signal.aborted) channel.close()
    const factLink = new FactLink(facts, channel, this.#factDelayMs, log)
    this.#factLink = factLink
    void channel.helloReceived.then(received => { if (received) this.#handleConnect(channel, factLink) })
    for await (const frame of channel.frames()) {
      this.#lastHeardAt = nowMs()
      this.#unansweredSince = Infinity
      this.#handleFrame(frame, factLink)
    }
    factLink.stop()
    this.#factLink = undefined
    this.#channel = undefined
    this.#reportedUnread = 0
    this.#requested.clear()
    this.#setAppointment(undefined)
    this.options.onConnectionChange()
    return (await channel.ended).reason
  }

  #handleConnect (channel: Channel, factLink: FactLink): void {
    const { facts, log, onConnectionChange, onConnect } = this.options
    this.#channel = channel
    this.#lastHeardAt = nowMs()
    channel.send({ type: 'fences', highest: Math.floor(facts.revision) })
    // From this frame on, the side process assumes that it was sent every fact which a heartbeat reports as complete, so the
    // facts must be sent before the next heartbeat.
    this.#sendSubscriptions(channel)
    if (this.#dependent) channel.send({ type: 'depend', on: true })
    // A remote side process gets facts from its local entries and from other side processes; another copy over each link between
    // domains would waste bytes.
    if (this.isLocal) factLink.start()
    else factLink.stop()
    for (const request of this.#queuedRequests.values()) channel.send({ type: 'want', ...request })
    this.#queuedRequests.clear()
    if (this.#proofDue) requestProof(facts, channel)
    this.#proofDue = false
    log.info('side.joined', { host: this.host, process: channel.peer.process })
    onConnect(channel)
    onConnectionChange()
  }

  #setAppointment (appointment: Appointment | undefined): void {
    if (appointment === undefined && this.#appointment === undefined) return
    this.#appointment = appointment
    this.options.onAppointmentChange()
  }

  get #factDelayMs (): number {
    if (!this.isLocal) return forwardDelayMs.remoteSide
    return this.options.watching() ? forwardDelayMs.dependent : forwardDelayMs.nonWatcher
  }

  #sendSubscriptions (channel: Channel): void {
    const idle = this.#subscriptions.length === 0
    channel.setPace(idle ? idleChannelPace : this.options.channel)
    channel.send({ type: 'follow', hosts: [...this.#subscriptions], relay: false })
  }

  async #answerProofRequest (request: ProofRequest): Promise<void> {
    await this.options.ensureProof()
    answerProofRequest(this.options.facts, request)
  }

  #handleFrame (frame: Frame, factLink: FactLink): void {
    factLink.handleFrame(frame)
    if (frame.type === 'caught_up') this.options.facts.markAllComplete(frame.complete)
    if (frame.type === 'appoint') this.#setAppointment(frame)
    if (frame.type === 'fresh') acceptProof(this.options.facts, frame)
    if (frame.type === 'ask_fresh' && this.#channel !== undefined) void this.#answerProofRequest({ channel: this.#channel, ask: frame, cameAt: boottimeMs() })
    if (frame.type === 'declined') {
      this.#declined.set(frame.key, nowMs())
      this.#requested.delete(frame.key)
    }
    if (this.#channel !== undefined) this.options.onFrame(frame, this.#channel)
  }
}
