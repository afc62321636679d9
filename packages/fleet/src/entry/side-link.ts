/**
 * An entry's connection to one side process, for as long as the engine beside it is listed.
 *
 * To a side process near it is always open. To one elsewhere it is opened when there is something to say, and closed when
 * there has been nothing for a while: news of far engines come through side processes near.
 */
import type { Duplex } from 'node:stream'
import { Channel, type Appointment, type Frame, type FrameOf } from '@finchpitch/wire'
import { boottimeMs, nowMs } from '../clock.js'
import { FactLink, forwardDelayMs } from '../fact-exchange.js'
import { acceptProof, answerProofRequest, requestProof, type ProofRequest } from '../freshness-exchange.js'
import { keepConnected, type SideConnectionOptions } from '../keep-connected.js'
import { idleChannelPace } from '../side/subscriber.js'
import { isUnreadChangeSignificant } from '../unread.js'
import type { ServerState } from './server-state.js'

/** A want is said again while requests wait, in case it was lost or declined. */
const wantAgainMs = 600
/** One that tells news and has said nothing for this long, near and across, isn't asked for anything: it is stuck or gone. */
const stuckMs = { near: 1000, far: 2000 }
/** A side process answers a want as soon as it has looked at its engine, within 0.1 s; one that is silent for longer is stuck or gone. */
const unansweredMs = 500
/** A channel on which a want stays unanswered for this long is opened anew: it may have gone silent for good. */
const deadMs = 1500
/** After a side process declined, others are asked first for this long. */
const declinedMs = 500
/** A far link with nothing to say for this long is closed. At 8 requests a second to 43 far engines each is used every 5 s. */
const idleMs = 15_000

export interface SideLinkOptions extends SideConnectionOptions {
  /** Gets a proof that the table is the newest, where this entry reads the store and has none that is young. */
  prove: () => Promise<void>
  /** This entry watches the store, so that the side process hears of everything from it at once. */
  watching: () => boolean
  /** The highest fence that the side process was ever known to use. */
  fence: () => number
  /** It was joined or lost. */
  changed: () => void
  joined: (channel: Channel) => void
  /** It named this entry as a watcher or no longer does, or one that had spoken of it was lost. */
  appointmentChanged: () => void
  /** Frames that concern more than the link itself. */
  take: (frame: Frame, channel: Channel) => void
}

type Want = Omit<FrameOf<'want'>, 'type'>

export class SideLink {
  #channel: Channel | undefined
  #running = false
  readonly #stop = new AbortController()
  #heardAt = -Infinity
  /** When it was first asked for something since it was last heard. */
  #unansweredSince = Infinity
  /** Unread prompt tokens as last told. */
  #toldUnread = 0
  readonly #wanted = new Map<string, number>()
  readonly #declined = new Map<string, number>()
  /** Asked for while the link was being opened. */
  readonly #queued = new Map<string, Want>()
  #follows: readonly string[] = []
  #dependent = false
  #factLink: FactLink | undefined
  /** A proof of freshness is to be asked for once it is joined. */
  #freshDue = false
  /** Whether this entry is to watch the store, as last told. */
  #appointment: Appointment | undefined
  #usedAt = -Infinity

  constructor (readonly host: string, readonly near: boolean, private readonly options: SideLinkOptions) {
    if (near) this.#open()
  }

  get connected (): boolean {
    return this.#channel !== undefined
  }

  /** Unread prompt tokens of this entry as its side process knows them. */
  get toldUnread (): number {
    return this.#toldUnread
  }

  /** It says something often, and has of late. */
  get lively (): boolean {
    return this.#channel !== undefined && nowMs() - this.#heardAt <= (this.near ? stuckMs.near : stuckMs.far)
  }

  /** The hosts of the engines whose news it has to tell. */
  follow (hosts: readonly string[]): void {
    if (hosts.length === this.#follows.length && hosts.every((host, at) => host === this.#follows[at])) return
    this.#follows = hosts
    if (hosts.length > 0) this.#open()
    if (this.#channel !== undefined) this.#tellFollows(this.#channel)
  }

  /** Whether it names this entry as a watcher of the store; `undefined` where it says nothing. */
  get appointment (): Appointment | undefined {
    return this.lively ? this.#appointment : undefined
  }

  /** Whether this entry learns of the store's facts from it alone. */
  depend (on: boolean): void {
    if (on === this.#dependent) return
    this.#dependent = on
    this.#channel?.send({ type: 'depend', on })
  }

  /** This entry began to watch the store, or left it to others. */
  watchingChanged (): void {
    if (this.near) this.#factLink?.setDelay(this.#patience)
  }

  /** The channel once it is joined; opens one where there is none. */
  get channel (): Channel | undefined {
    this.#usedAt = nowMs()
    this.#open()
    return this.#channel
  }

  /** Asks how fresh the side process's table is. */
  askFresh (): void {
    this.#usedAt = nowMs()
    this.#open()
    if (this.#channel === undefined) this.#freshDue = true
    else requestProof(this.options.facts, this.#channel)
  }

  /** Whether it can be asked to bring the key in. */
  orderable (key: string): boolean {
    const now = nowMs()
    if (now - (this.#declined.get(key) ?? -Infinity) <= declinedMs) return false
    if (now - this.#unansweredSince > unansweredMs) return false
    // A far one may have nothing to say; whether it answers is seen once it is asked.
    return this.near || this.#follows.length > 0 ? this.lively : true
  }

  /** It was asked for the key a moment ago, and may well bring it in. */
  awaits (key: string): boolean {
    return nowMs() - (this.#wanted.get(key) ?? -Infinity) < wantAgainMs
  }

  /** Asks for the key, unless that was done a moment ago; says whether it did. */
  want (want: Want): boolean {
    const now = nowMs()
    if (this.awaits(want.key)) return false
    this.#wanted.set(want.key, now)
    this.#unansweredSince = Math.min(this.#unansweredSince, now)
    this.#usedAt = now
    this.#open()
    if (this.#channel === undefined) this.#queued.set(want.key, want)
    else this.#channel.send({ type: 'want', ...want })
    return true
  }

  /** The engine holds these keys now. */
  held (keys: Iterable<string>): void {
    for (const key of keys) this.#wanted.delete(key)
  }

  /** Tells which adapters are in use; `all`: also what was told before. */
  tellUses (state: ServerState, all: boolean): void {
    if (this.#channel === undefined) {
      if (state.uses.size > 0) this.#open()
      return
    }
    const { unread } = state
    const unreadChanged = isUnreadChangeSignificant(this.#toldUnread, unread)
    if (state.uses.size === 0 && !unreadChanged) return
    const uses: Array<[string, number, number]> = []
    for (const [key, use] of state.uses) {
      if (!all && use.started === 0 && use.running > 0) continue
      uses.push([key, use.started, use.running])
      use.started = 0
      if (use.running === 0) state.uses.delete(key)
    }
    if (uses.length === 0 && !unreadChanged) return
    this.#usedAt = nowMs()
    this.#toldUnread = unread
    this.#channel.send({ type: 'uses', uses, unread })
  }

  /** Ends a channel that is of no use any more, or that is dead. */
  check (): void {
    const now = nowMs()
    for (const [key, at] of this.#wanted) if (now - at > deadMs) this.#wanted.delete(key)
    for (const [key, at] of this.#declined) if (now - at > declinedMs) this.#declined.delete(key)
    if (now - this.#unansweredSince > deadMs) {
      this.#unansweredSince = Infinity
      this.#queued.clear()
      this.#channel?.close({ reason: 'silent' })
    }
    if (!this.#needed) this.#channel?.close()
  }

  close (): void {
    this.#stop.abort()
    this.#channel?.close()
  }

  get #needed (): boolean {
    return this.near || this.#follows.length > 0 || this.#queued.size > 0 || nowMs() - this.#usedAt < idleMs
  }

  #open (): void {
    this.#usedAt = nowMs()
    if (this.#running) return
    this.#running = true
    void this.#keep()
  }

  async #keep (): Promise<void> {
    await keepConnected({
      host: this.host,
      connection: this.options,
      runSession: stream => this.#talk(stream),
      needed: () => this.#needed,
      signal: this.#stop.signal,
      peer: 'side'
    })
    this.#running = false
  }

  async #talk (stream: Duplex): Promise<string> {
    const { facts, log } = this.options
    const channel = new Channel(stream, this.options.channel)
    if (this.#stop.signal.aborted) channel.close()
    const factLink = new FactLink(facts, channel, this.#patience, log)
    this.#factLink = factLink
    void channel.greeted.then(welcome => { if (welcome) this.#joined(channel, factLink) })
    for await (const frame of channel.frames()) {
      this.#heardAt = nowMs()
      this.#unansweredSince = Infinity
      this.#take(frame, factLink)
    }
    factLink.stop()
    this.#factLink = undefined
    this.#channel = undefined
    this.#toldUnread = 0
    this.#wanted.clear()
    this.#appoint(undefined)
    this.options.changed()
    return (await channel.ended).reason
  }

  #joined (channel: Channel, factLink: FactLink): void {
    const { facts, fence, log, changed, joined } = this.options
    this.#channel = channel
    this.#heardAt = nowMs()
    channel.send({ type: 'fences', highest: Math.max(fence(), Math.floor(facts.revision)) })
    // The side process trusts the progress in heartbeats from this frame on, so the facts must follow before the next heartbeat.
    this.#tellFollows(channel)
    if (this.#dependent) channel.send({ type: 'depend', on: true })
    // Entries elsewhere and side processes pass facts on; one more copy of each over every link across would cost bytes.
    if (this.near) factLink.start()
    else factLink.stop()
    for (const want of this.#queued.values()) channel.send({ type: 'want', ...want })
    this.#queued.clear()
    if (this.#freshDue) requestProof(facts, channel)
    this.#freshDue = false
    log.info('side.joined', { host: this.host, process: channel.peer.process })
    joined(channel)
    changed()
  }

  #appoint (appointment: Appointment | undefined): void {
    if (appointment === undefined && this.#appointment === undefined) return
    this.#appointment = appointment
    this.options.appointmentChanged()
  }

  get #patience (): number {
    if (!this.near) return forwardDelayMs.remoteSide
    return this.options.watching() ? forwardDelayMs.dependent : forwardDelayMs.resting
  }

  #tellFollows (channel: Channel): void {
    const quiet = this.#follows.length === 0
    channel.setPace(quiet ? idleChannelPace : this.options.channel)
    channel.send({ type: 'follow', hosts: [...this.#follows], relay: false })
  }

  async #answerFresh (question: ProofRequest): Promise<void> {
    await this.options.prove()
    answerProofRequest(this.options.facts, question)
  }

  #take (frame: Frame, factLink: FactLink): void {
    factLink.handleFrame(frame)
    if (frame.type === 'caught_up') this.options.facts.markAllComplete(frame.complete)
    if (frame.type === 'appoint') this.#appoint(frame)
    if (frame.type === 'fresh') acceptProof(this.options.facts, frame)
    if (frame.type === 'ask_fresh' && this.#channel !== undefined) void this.#answerFresh({ channel: this.#channel, ask: frame, cameAt: boottimeMs() })
    if (frame.type === 'declined') {
      this.#declined.set(frame.key, nowMs())
      this.#wanted.delete(frame.key)
    }
    if (this.#channel !== undefined) this.options.take(frame, this.#channel)
  }
}
