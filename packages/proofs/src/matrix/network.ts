/**
 * An in-memory network between the simulated processes, which can delay, duplicate and truncate frames, hold
 * those of paused processes, and close connections.
 *
 * Each frame is decoded as it is sent, so that a fault can be injected at a frame of a given type.
 */
import { Duplex } from 'node:stream'
import type { Address } from '@finchpitch/core'
import { OrderedSends } from '@finchpitch/stand-ins'
import { FrameDecoder, type Dial, type FrameType } from '@finchpitch/wire'

type Accept = (stream: Duplex) => Promise<void>

interface Listener {
  process: string
  accept: Accept
}

export class Network {
  /** Delay of each frame in milliseconds. */
  delayMs = 0
  /** Delivers each frame that carries a request or a part of its answer twice. */
  duplicateFrames = false
  /** Delivers only the first half of the next frame of an answer, then closes the connection. Resets itself. */
  truncateNextResponse = false
  /** Called for each frame before it is sent. */
  onFrame: (type: FrameType, from: string, to: string) => void = () => {}
  readonly #listeners = new Map<Address, Listener>()
  readonly #links = new Set<Link>()
  readonly #pausedProcesses = new Set<string>()

  listen (address: Address, listener: Listener): void {
    this.#listeners.set(address, listener)
  }

  dialFrom (process: string): Dial {
    return async address => {
      const listener = this.#listeners.get(address)
      if (listener === undefined) throw new Error(`connection refused: no listener at ${address}`)
      const link = new Link(this, process, listener.process)
      this.#links.add(link)
      void listener.accept(link.server)
      return link.client
    }
  }

  isPaused (process: string): boolean {
    return this.#pausedProcesses.has(process)
  }

  pause (process: string): void {
    this.#pausedProcesses.add(process)
  }

  resume (process: string): void {
    this.#pausedProcesses.delete(process)
    for (const link of this.#links) link.flush()
  }

  /** Removes the listeners of a killed process and closes its connections. */
  disconnect (process: string): void {
    for (const [address, listener] of this.#listeners) {
      if (listener.process === process) this.#listeners.delete(address)
    }
    for (const link of this.#links) {
      if (link.connects(process)) link.cut()
    }
  }

  cutAll (): void {
    for (const link of this.#links) link.cut()
  }

  removeLink (link: Link): void {
    this.#links.delete(link)
  }
}

const duplicatedTypes = new Set<FrameType>(['run', 'head', 'chunk', 'end', 'failure'])
const responseTypes = new Set<FrameType>(['head', 'chunk', 'end'])

class Link {
  readonly client: Endpoint
  readonly server: Endpoint
  readonly #pausedFrames: Array<{ to: Endpoint, bytes: Buffer }> = []
  readonly #toClient = new OrderedSends()
  readonly #toServer = new OrderedSends()

  constructor (private readonly network: Network, private readonly from: string, private readonly to: string) {
    this.client = new Endpoint((endpoint, bytes) => this.#transmit(endpoint, bytes), () => this.cut())
    this.server = new Endpoint((endpoint, bytes) => this.#transmit(endpoint, bytes), () => this.cut())
  }

  connects (process: string): boolean {
    return this.from === process || this.to === process
  }

  cut (): void {
    this.network.removeLink(this)
    this.#toClient.clear()
    this.#toServer.clear()
    for (const endpoint of [this.client, this.server]) {
      if (!endpoint.destroyed) endpoint.destroy()
    }
  }

  flush (): void {
    if (this.network.isPaused(this.from) || this.network.isPaused(this.to)) return
    for (const { to, bytes } of this.#pausedFrames.splice(0)) to.receive(bytes)
  }

  /** Sends one frame: a channel makes one write for each frame, so `bytes` is exactly one. */
  #transmit (from: Endpoint, bytes: Buffer): void {
    const fromClient = from === this.client
    const to = fromClient ? this.server : this.client
    const type = new FrameDecoder().read(bytes)._unsafeUnwrap()[0]?.type ?? 'hello'
    this.network.onFrame(type, fromClient ? this.from : this.to, fromClient ? this.to : this.from)
    if (this.network.truncateNextResponse && responseTypes.has(type)) {
      this.network.truncateNextResponse = false
      to.receive(bytes.subarray(0, Math.ceil(bytes.length / 2)))
      setTimeout(() => this.cut(), 1)
      return
    }
    const copies = this.network.duplicateFrames && duplicatedTypes.has(type) ? [bytes, bytes] : [bytes]
    for (const copy of copies) this.#schedule(to, copy)
  }

  #schedule (to: Endpoint, bytes: Buffer): void {
    const sends = to === this.client ? this.#toClient : this.#toServer
    sends.add(() => this.#deliver(to, bytes), this.network.delayMs)
  }

  #deliver (to: Endpoint, bytes: Buffer): void {
    if (this.network.isPaused(this.from) || this.network.isPaused(this.to)) this.#pausedFrames.push({ to, bytes })
    else to.receive(bytes)
  }
}

class Endpoint extends Duplex {
  constructor (private readonly transmit: (endpoint: Endpoint, bytes: Buffer) => void, private readonly onClose: () => void) {
    super()
  }

  receive (bytes: Buffer): void {
    if (!this.destroyed) this.push(bytes)
  }

  override _read (): void {}

  override _write (bytes: Buffer, _encoding: string, done: () => void): void {
    this.transmit(this, bytes)
    done()
  }

  override _destroy (error: Error | null, done: (error: Error | null) => void): void {
    done(error)
    this.onClose()
  }
}
