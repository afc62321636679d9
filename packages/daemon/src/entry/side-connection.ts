/**
 * An entry's connection to one side process: a channel, the requests multiplexed on it, and the last reported load.
 */
import { noRevision, notRun, outcomeUnknown, pause, withTimeout, type Address, type HttpResponse, type Failure, type Incarnation, type Log, type Revision, type Work } from '@finchpitch/core'
import type { Occupancy } from '@finchpitch/decisions'
import type { Catalog } from '@finchpitch/store'
import { Channel, ReceiveBuffer, type ChannelOptions, type Dial, type Frame, type FrameOf, type LoadReport } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'
import { CatalogExchange } from '../catalog-exchange.js'

const helloTimeoutMs = 1000
/** A channel without requests is closed after this time: in a large system, most pairs of entry and side process rarely talk. */
export const idleTimeoutMs = 60_000

interface PendingRequest {
  inbox: ReceiveBuffer
  head: (head: Result<FrameOf<'head'>, Failure>) => void
}

export interface SideResponse extends HttpResponse {
  /** Whether the adapter was already loaded when the request arrived; always true for a plain service. */
  resident: boolean
}

export class SideConnection {
  readonly #pending = new Map<number, PendingRequest>()
  readonly #catalogExchange: CatalogExchange
  #nextId = 0
  #load: LoadReport | undefined
  #sentSinceReport = 0
  #revision = noRevision
  #lastUsedAt = Date.now()

  private constructor (private readonly channel: Channel, catalog: Catalog, private readonly log: Log) {
    this.#catalogExchange = new CatalogExchange(catalog, channel)
  }

  /** Opens a channel and waits for the peer's hello. `undefined` if the peer can't be reached or doesn't send one in time. */
  static async connect (dial: Dial, address: Address, options: ChannelOptions, catalog: Catalog, log: Log): Promise<SideConnection | undefined> {
    try {
      const channel = new Channel(await dial(address), options)
      const peer = new SideConnection(channel, catalog, log)
      void peer.#readFrames()
      if (!await withTimeout(helloTimeoutMs, channel.helloReceived, false)) {
        channel.close()
        return undefined
      }
      peer.#updateLoad(channel.peer.load)
      peer.#updateRevision(channel.peer.revision)
      void peer.#closeWhenIdle()
      return peer
    } catch (error) {
      log.debug('side.unreachable', { address, detail: (error as Error).message })
      return undefined
    }
  }

  get open (): boolean {
    return this.channel.open
  }

  get ended (): Promise<unknown> {
    return this.channel.ended
  }

  get incarnation (): Incarnation {
    return this.channel.peer.incarnation
  }

  get epoch (): number {
    return this.#load?.epoch ?? 0
  }

  /** The configuration revision that the peer last reported. */
  get revision (): Revision {
    return this.#revision
  }

  get load (): LoadReport | undefined {
    return this.#load
  }

  get leaving (): boolean {
    return this.#load?.leaving ?? false
  }

  get occupancy (): Occupancy {
    const load = this.#load
    return { reportedRequests: load === undefined ? 0 : load.waiting + load.running, sentSinceReport: this.#sentSinceReport, capacity: load?.capacity ?? 1 }
  }

  /** Sends a request and waits for the response head or a failure. `not_sent` is decided locally and says nothing about the peer. */
  async run (work: Work, signal: AbortSignal): Promise<Result<SideResponse, Failure>> {
    if (signal.aborted) return err(notRun('not_sent', { detail: 'The caller no longer waits.' }))
    const id = this.#nextId++
    this.#lastUsedAt = Date.now()
    const inbox = new ReceiveBuffer(bytes => this.channel.send({ type: 'credit', id, bytes }))
    const head = await new Promise<Result<FrameOf<'head'>, Failure>>(resolve => {
      this.#pending.set(id, { inbox, head: resolve })
      signal.addEventListener('abort', () => this.#cancel(id), { once: true })
      this.#sentSinceReport += 1
      if (!this.channel.send({ type: 'run', id, work })) this.#failRequest(id, notRun('not_sent', { detail: 'The channel had ended.' }))
    })
    return head.map(({ status, headers, resident }) => ({ status, headers, resident, body: this.#readBody(id, inbox) }))
  }

  pull (): Promise<void> {
    return this.#catalogExchange.pull()
  }

  sendHeartbeat (frame: FrameOf<'heartbeat'>): void {
    this.channel.send(frame)
  }

  close (): void {
    this.channel.close()
  }

  async * #readBody (id: number, inbox: ReceiveBuffer): AsyncGenerator<Uint8Array> {
    try {
      yield * inbox.read()
    } finally {
      this.#cancel(id)
    }
  }

  /** Cancels a request whose response nobody reads any more. */
  #cancel (id: number): void {
    if (!this.#pending.has(id)) return
    this.channel.send({ type: 'cancel', id })
    this.#failRequest(id, outcomeUnknown('cancelled'))
  }

  #failRequest (id: number, failure: Failure): void {
    const pending = this.#pending.get(id)
    this.#pending.delete(id)
    pending?.head(err(failure))
    pending?.inbox.fail(failure)
  }

  async #readFrames (): Promise<void> {
    for await (const frame of this.channel.frames()) this.#handleFrame(frame)
    for (const id of [...this.#pending.keys()]) this.#failRequest(id, outcomeUnknown('connection_lost'))
    this.#catalogExchange.close()
    this.log.debug('side.channel_ended', { ...await this.channel.ended })
  }

  #updateLoad (load: LoadReport | undefined): void {
    if (load === undefined) return
    this.#load = load
    this.#sentSinceReport = 0
  }

  #updateRevision (revision: Revision): void {
    this.#revision = revision
    this.#catalogExchange.observeRevision(revision)
  }

  #handleFrame (frame: Frame): void {
    if (frame.type === 'head') this.#pending.get(frame.id)?.head(ok(frame))
    else if (frame.type === 'chunk') this.#pending.get(frame.id)?.inbox.addChunk(frame)
    else if (frame.type === 'end') this.#handleEnd(frame)
    else if (frame.type === 'failure') this.#handleFailure(frame)
    else this.#handleUpdate(frame)
  }

  #handleEnd (frame: FrameOf<'end'>): void {
    this.#updateLoad(frame.load)
    this.#pending.get(frame.id)?.inbox.end(frame)
    this.#pending.delete(frame.id)
  }

  #handleFailure ({ id, failure, load }: FrameOf<'failure'>): void {
    this.#updateLoad(load)
    this.#failRequest(id, failure)
  }

  #handleUpdate (frame: Frame): void {
    if (frame.type === 'heartbeat') {
      this.#updateLoad(frame.load)
      this.#updateRevision(frame.revision)
    } else {
      this.#catalogExchange.handleFrame(frame)
    }
  }

  async #closeWhenIdle (): Promise<void> {
    while (this.channel.open) {
      await Promise.race([pause(idleTimeoutMs / 2), this.channel.ended])
      if (this.#pending.size === 0 && Date.now() - this.#lastUsedAt > idleTimeoutMs) this.channel.close()
    }
  }
}
