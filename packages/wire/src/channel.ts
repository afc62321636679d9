/**
 * A channel: one framed connection between two processes of the system, whose frames are read by a single task.
 *
 * Each end sends a hello first, and heartbeats while it sends nothing else. A channel closes itself if nothing arrives from
 * the peer within the time-out, since a connection to a host that has vanished reports no error by itself. A closed channel is
 * not reopened; whoever needs the peer again opens a new one.
 */
import type { Duplex } from 'node:stream'
import { FrameDecoder, encodeFrame, type FrameError } from './codec.js'
import { protocolVersion, type Frame, type FrameOf, type Hello, type Listing } from './frame.js'

export const defaultHeartbeatMs = 2000
/** Tolerates three lost heartbeats before the peer is considered dead. */
export const defaultSilenceTimeoutMs = 7000

export type ChannelEnd =
  | { reason: 'closed' }
  | { reason: 'silent' }
  | { reason: 'broken', detail: string }
  | { reason: 'cut', heldBytes: number }
  | { reason: 'fault', fault: FrameError }
  | { reason: 'protocol', detail: string }

/** Heartbeat interval and time-out of a channel. */
export interface ChannelPace {
  /** Milliseconds without a sent frame after which a heartbeat is sent; `defaultHeartbeatMs` if absent. */
  heartbeatMs?: number
  /** Sends a heartbeat in each interval, even if other frames were sent, because its fields carry state of their own. */
  alwaysHeartbeat?: boolean
  /** Milliseconds without a received frame after which the peer is considered dead; `defaultSilenceTimeoutMs` if absent. */
  silenceTimeoutMs?: number
}

export interface ChannelOptions extends ChannelPace {
  hello: () => FrameOf<'hello'>
  heartbeat: () => FrameOf<'heartbeat'>
}

/** Aligns the heartbeats of all channels of a process, so that it wakes up once for all of them. */
const delayToNextTick = (intervalMs: number): number => intervalMs - performance.now() % intervalMs

export class Channel {
  readonly #decoder = new FrameDecoder()
  readonly #ended: Promise<ChannelEnd>
  readonly #helloReceived: Promise<boolean>
  #resolveHello!: (received: boolean) => void
  #resolveEnded!: (end: ChannelEnd) => void
  #pace: ChannelPace
  /** Runs until the next heartbeat. */
  #heartbeatTimer: NodeJS.Timeout | undefined
  #lastSent = 0
  #lastReceived = performance.now()
  #peer: Hello | undefined
  #end: ChannelEnd | undefined

  constructor (private readonly stream: Duplex, private readonly options: ChannelOptions) {
    this.#pace = options
    this.#ended = new Promise(resolve => { this.#resolveEnded = resolve })
    this.#helloReceived = new Promise(resolve => { this.#resolveHello = resolve })
    stream.on('error', error => this.close({ reason: 'broken', detail: error.message }))
    stream.on('close', () => this.close({ reason: 'closed' }))
    this.send(options.hello())
    this.#scheduleHeartbeat()
  }

  /** The peer's hello; available once `frames` has yielded a frame. */
  get peer (): Hello {
    if (this.#peer === undefined) throw new Error('the peer has not sent its hello yet')
    return this.#peer
  }

  /** Resolves to true once the peer's hello has arrived, or to false if the channel closes before. Requires that `frames` is being read. */
  get helloReceived (): Promise<boolean> {
    return this.#helloReceived
  }

  get open (): boolean {
    return this.#end === undefined
  }

  /** Resolves to the reason once the channel has closed. */
  get ended (): Promise<ChannelEnd> {
    return this.#ended
  }

  /** Sends one frame. Returns false, and sends nothing, if the channel is closed. */
  send (frame: Frame): boolean {
    return this.sendEncoded([encodeFrame(frame)])
  }

  /** Sends encoded frames in one write; a frame for several peers need only be encoded once. Returns false if the channel is closed. */
  sendEncoded (frames: readonly Buffer[]): boolean {
    if (!this.open) return false
    this.#lastSent = performance.now()
    if (frames.length > 1) this.stream.cork()
    for (const frame of frames) this.stream.write(frame)
    if (frames.length > 1) this.stream.uncork()
    return true
  }

  /** Resolves once everything sent has been passed to the operating system, or the channel has closed. */
  async flushed (): Promise<void> {
    if (!this.open || this.stream.writableLength === 0) return
    await Promise.race([new Promise<void>(resolve => this.stream.write('', () => resolve())), this.#ended])
  }

  close (end: ChannelEnd = { reason: 'closed' }): void {
    if (!this.open) return
    this.#end = end
    clearTimeout(this.#heartbeatTimer)
    this.stream.destroy()
    this.#resolveHello(false)
    this.#resolveEnded(end)
  }

  /** Yields the peer's frames after its hello, until the channel closes. */
  async * frames (): AsyncGenerator<Exclude<Frame, Hello>> {
    try {
      for await (const bytes of this.stream) {
        this.#lastReceived = performance.now()
        const frames = this.#decoder.read(bytes as Uint8Array)
        if (frames.isErr()) return this.close({ reason: 'fault', fault: frames.error })
        for (const frame of frames.value) {
          if (frame.type === 'hello') {
            if (!this.#acceptHello(frame)) return
          } else if (this.#peer === undefined) {
            return this.close({ reason: 'protocol', detail: `expected hello, got ${frame.type}` })
          } else {
            yield frame
          }
          if (!this.open) return
        }
      }
      this.close(this.#decoder.held > 0 ? { reason: 'cut', heldBytes: this.#decoder.held } : { reason: 'closed' })
    } catch (error) {
      this.close({ reason: 'broken', detail: (error as Error).message })
    }
  }

  #acceptHello (hello: Hello): boolean {
    if (hello.protocol === protocolVersion && this.#peer === undefined) {
      this.#peer = hello
      this.#resolveHello(true)
      return true
    }
    const detail = this.#peer === undefined
      ? `the peer uses protocol version ${hello.protocol}, this process version ${protocolVersion}`
      : 'the peer sent a second hello'
    this.close({ reason: 'protocol', detail })
    return false
  }

  /** Sends a heartbeat immediately, for the state that it carries. */
  beat (listings?: Listing[]): void {
    const heartbeat = this.options.heartbeat()
    this.send(listings === undefined ? heartbeat : { ...heartbeat, listings })
  }

  /** Changes interval and time-out, and restarts the time-out. Both ends do so alike once they know what the channel is used for. */
  setPace (pace: ChannelPace): void {
    if (!this.open) return
    this.#pace = pace
    this.#lastReceived = performance.now()
    clearTimeout(this.#heartbeatTimer)
    // Not at once: frames that the caller sends in this turn of the event loop precede the heartbeat, which reports on them.
    queueMicrotask(() => this.#checkPeer())
  }

  #scheduleHeartbeat (): void {
    const { heartbeatMs = defaultHeartbeatMs } = this.#pace
    clearTimeout(this.#heartbeatTimer)
    this.#heartbeatTimer = setTimeout(() => this.#checkPeer(), delayToNextTick(heartbeatMs))
  }

  /** Closes the channel if the peer is silent; otherwise sends a heartbeat if one is due. */
  #checkPeer (): void {
    if (!this.open) return
    const { heartbeatMs = defaultHeartbeatMs, silenceTimeoutMs = defaultSilenceTimeoutMs, alwaysHeartbeat } = this.#pace
    const now = performance.now()
    if (now - this.#lastReceived > silenceTimeoutMs) return this.close({ reason: 'silent' })
    if (alwaysHeartbeat === true || now - this.#lastSent >= heartbeatMs) this.beat()
    this.#scheduleHeartbeat()
  }
}
