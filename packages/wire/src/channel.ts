/**
 * A channel: one connection between two processes of the system, read by one task.
 *
 * It says hello first, sends heartbeats while nothing else is sent, and ends itself when the other end stays
 * silent. A channel never comes back; whoever needs the peer again opens another.
 */
import type { Duplex } from 'node:stream'
import { pause } from '@finchpitch/core'
import { FrameReader, encode, type FrameFault } from './codec.js'
import { protocolVersion, type Frame, type FrameOf, type Hello } from './frame.js'

export const heartbeatMs = 2000
/** Three heartbeats may be lost before the peer counts as gone. */
export const silenceMs = 7000

export type ChannelEnd =
  | { reason: 'closed' }
  | { reason: 'silent' }
  | { reason: 'broken', detail: string }
  | { reason: 'cut', heldBytes: number }
  | { reason: 'fault', fault: FrameFault }
  | { reason: 'protocol', detail: string }

/** How often a channel shows that it lives, and how long it waits for the peer to. */
export interface ChannelPace {
  /** Milliseconds of rest after which a heartbeat is sent; `heartbeatMs` by default. */
  heartbeatMs?: number
  /** Heartbeats are sent beside other frames too, since they tell something of their own. */
  steady?: boolean
  /** Milliseconds of silence after which the peer counts as gone; `silenceMs` by default. */
  silenceMs?: number
}

export interface ChannelOptions extends ChannelPace {
  hello: () => FrameOf<'hello'>
  heartbeat: () => FrameOf<'heartbeat'>
}

/** All channels of a process beat at the same moments, so that it wakes once for them. */
const untilTick = (beat: number): number => beat - performance.now() % beat

export class Channel {
  readonly #reader = new FrameReader()
  readonly #ended: Promise<ChannelEnd>
  readonly #greeted: Promise<boolean>
  #greetDone!: (greeted: boolean) => void
  #finish!: (end: ChannelEnd) => void
  #pace: ChannelPace
  /** Cuts a rest between heartbeats short. */
  #rest = new AbortController()
  #lastSent = 0
  #lastHeard = performance.now()
  #peer: Hello | undefined
  #end: ChannelEnd | undefined

  constructor (private readonly stream: Duplex, private readonly options: ChannelOptions) {
    this.#pace = options
    this.#ended = new Promise(resolve => { this.#finish = resolve })
    this.#greeted = new Promise(resolve => { this.#greetDone = resolve })
    stream.on('error', error => this.close({ reason: 'broken', detail: error.message }))
    stream.on('close', () => this.close({ reason: 'closed' }))
    this.send(options.hello())
    void this.#beat()
  }

  /** What the peer said of itself; set before the first frame is given out. */
  get peer (): Hello {
    if (this.#peer === undefined) throw new Error('a channel\'s peer is known from its first frame on')
    return this.#peer
  }

  /** Resolves true once the peer has said hello, false if the channel ends before. Needs `frames` to be read. */
  get greeted (): Promise<boolean> {
    return this.#greeted
  }

  get open (): boolean {
    return this.#end === undefined
  }

  /** Resolves with the reason once the channel has ended. */
  get ended (): Promise<ChannelEnd> {
    return this.#ended
  }

  /** Sends one frame; false when the channel has ended and nothing was sent. */
  send (frame: Frame): boolean {
    return this.sendEncoded([encode(frame)])
  }

  /** Sends frames that were encoded before, for several peers, in one write; false when the channel has ended. */
  sendEncoded (frames: readonly Buffer[]): boolean {
    if (!this.open) return false
    this.#lastSent = performance.now()
    if (frames.length > 1) this.stream.cork()
    for (const frame of frames) this.stream.write(frame)
    if (frames.length > 1) this.stream.uncork()
    return true
  }

  /** Resolves once all that was sent has left this process, or the channel has ended. */
  async flushed (): Promise<void> {
    if (!this.open || this.stream.writableLength === 0) return
    await Promise.race([new Promise<void>(resolve => this.stream.write('', () => resolve())), this.#ended])
  }

  close (end: ChannelEnd = { reason: 'closed' }): void {
    if (!this.open) return
    this.#end = end
    this.#rest.abort()
    this.stream.destroy()
    this.#greetDone(false)
    this.#finish(end)
  }

  /** The peer's frames after its hello, until the channel ends. */
  async * frames (): AsyncGenerator<Exclude<Frame, Hello>> {
    try {
      for await (const piece of this.stream) {
        this.#lastHeard = performance.now()
        const frames = this.#reader.read(piece as Uint8Array)
        if (frames.isErr()) return this.close({ reason: 'fault', fault: frames.error })
        for (const frame of frames.value) {
          if (frame.type === 'hello') {
            if (!this.#greet(frame)) return
          } else if (this.#peer === undefined) {
            return this.close({ reason: 'protocol', detail: `expected hello, got ${frame.type}` })
          } else {
            yield frame
          }
          if (!this.open) return
        }
      }
      this.close(this.#reader.held > 0 ? { reason: 'cut', heldBytes: this.#reader.held } : { reason: 'closed' })
    } catch (error) {
      this.close({ reason: 'broken', detail: (error as Error).message })
    }
  }

  #greet (hello: Hello): boolean {
    if (hello.protocol === protocolVersion && this.#peer === undefined) {
      this.#peer = hello
      this.#greetDone(true)
      return true
    }
    const detail = this.#peer === undefined
      ? `peer speaks version ${hello.protocol}, this process ${protocolVersion}`
      : 'a second hello'
    this.close({ reason: 'protocol', detail })
    return false
  }

  /** Sends a heartbeat at once, for what it tells. */
  beat (): void {
    this.send(this.options.heartbeat())
  }

  /** Both ends change it alike, once they know what the channel is for. Silence counts from here. */
  setPace (pace: ChannelPace): void {
    if (!this.open) return
    this.#pace = pace
    this.#lastHeard = performance.now()
    this.#rest.abort()
    this.#rest = new AbortController()
  }

  async #beat (): Promise<void> {
    while (this.open) {
      const { heartbeatMs: beat = heartbeatMs, silenceMs: silence = silenceMs, steady } = this.#pace
      await pause(untilTick(beat), this.#rest.signal)
      const now = performance.now()
      if (now - this.#lastHeard > silence) this.close({ reason: 'silent' })
      if (steady === true || now - this.#lastSent >= beat) this.beat()
    }
  }
}
