/**
 * Connections in memory between processes, with the faults of a network.
 *
 * Frames are recognised as they pass, so that a fault can strike at a named frame.
 */
import { Duplex } from 'node:stream'
import type { Address } from '@finchpitch/core'
import { FrameReader, type Dial, type FrameType } from '@finchpitch/wire'

type Accept = (stream: Duplex) => Promise<void>

interface Host {
  process: string
  accept: Accept
}

export class Network {
  /** Each frame arrives so much later. */
  delayMs = 0
  /** Each frame that carries a request or a part of an answer arrives twice. */
  duplicate = false
  /** The next frame of an answer arrives by half, and its connection ends. */
  truncate = false
  /** Told of each frame before it is carried. */
  spot: (type: FrameType, from: string, to: string) => void = () => {}
  readonly #hosts = new Map<Address, Host>()
  readonly #links = new Set<Link>()
  readonly #frozen = new Set<string>()

  listen (address: Address, host: Host): void {
    this.#hosts.set(address, host)
  }

  dialFrom (process: string): Dial {
    return async address => {
      const host = this.#hosts.get(address)
      if (host === undefined) throw new Error(`nobody listens at ${address}`)
      const link = new Link(this, process, host.process)
      this.#links.add(link)
      void host.accept(link.server)
      return link.client
    }
  }

  isFrozen (process: string): boolean {
    return this.#frozen.has(process)
  }

  freeze (process: string): void {
    this.#frozen.add(process)
  }

  thaw (process: string): void {
    this.#frozen.delete(process)
    for (const link of this.#links) link.flush()
  }

  /** The process is gone: its listeners and connections too. */
  kill (process: string): void {
    for (const [address, host] of this.#hosts) {
      if (host.process === process) this.#hosts.delete(address)
    }
    for (const link of this.#links) {
      if (link.joins(process)) link.cut()
    }
  }

  cutAll (): void {
    for (const link of this.#links) link.cut()
  }

  forget (link: Link): void {
    this.#links.delete(link)
  }
}

const doubled = new Set<FrameType>(['run', 'head', 'chunk', 'end', 'failure'])
const answering = new Set<FrameType>(['head', 'chunk', 'end'])

class Link {
  readonly client: End
  readonly server: End
  readonly #held: Array<{ to: End, bytes: Buffer }> = []

  constructor (private readonly network: Network, private readonly from: string, private readonly to: string) {
    this.client = new End((end, bytes) => this.#carry(end, bytes), () => this.cut())
    this.server = new End((end, bytes) => this.#carry(end, bytes), () => this.cut())
  }

  joins (process: string): boolean {
    return this.from === process || this.to === process
  }

  cut (): void {
    this.network.forget(this)
    for (const end of [this.client, this.server]) {
      if (!end.destroyed) end.destroy()
    }
  }

  flush (): void {
    if (this.network.isFrozen(this.from) || this.network.isFrozen(this.to)) return
    for (const { to, bytes } of this.#held.splice(0)) to.give(bytes)
  }

  /** A channel writes one whole frame at a time. */
  #carry (from: End, bytes: Buffer): void {
    const outward = from === this.client
    const to = outward ? this.server : this.client
    const type = new FrameReader().read(bytes)._unsafeUnwrap()[0]?.type ?? 'hello'
    this.network.spot(type, outward ? this.from : this.to, outward ? this.to : this.from)
    if (this.network.truncate && answering.has(type)) {
      this.network.truncate = false
      to.give(bytes.subarray(0, Math.ceil(bytes.length / 2)))
      setTimeout(() => this.cut(), 1)
      return
    }
    const copies = this.network.duplicate && doubled.has(type) ? [bytes, bytes] : [bytes]
    for (const copy of copies) this.#deliver(to, copy)
  }

  #deliver (to: End, bytes: Buffer): void {
    if (this.network.delayMs > 0) setTimeout(() => this.#arrive(to, bytes), this.network.delayMs)
    else this.#arrive(to, bytes)
  }

  #arrive (to: End, bytes: Buffer): void {
    if (this.network.isFrozen(this.from) || this.network.isFrozen(this.to)) this.#held.push({ to, bytes })
    else to.give(bytes)
  }
}

class End extends Duplex {
  constructor (private readonly carry: (end: End, bytes: Buffer) => void, private readonly hangUp: () => void) {
    super()
  }

  give (bytes: Buffer): void {
    if (!this.destroyed) this.push(bytes)
  }

  override _read (): void {}

  override _write (bytes: Buffer, _encoding: string, done: () => void): void {
    this.carry(this, bytes)
    done()
  }

  override _destroy (error: Error | null, done: (error: Error | null) => void): void {
    done(error)
    this.hangUp()
  }
}
