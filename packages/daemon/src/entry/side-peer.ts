/**
 * A side process as an entry sees it: one channel, the exchanges on it, and how full it is.
 */
import { noRevision, notRun, unknown, pause, within, type Address, type Answer, type Failure, type Incarnation, type Log, type Revision, type Work } from '@finchpitch/core'
import type { Occupancy } from '@finchpitch/decisions'
import type { Catalog } from '@finchpitch/store'
import { Channel, Inbox, type ChannelOptions, type Dial, type Frame, type FrameOf, type Load } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'
import { CatalogExchange } from '../catalog-exchange.js'

const helloMs = 1000
/** A channel without exchanges is closed after this time; many entries and sides rarely meet. */
export const idleMs = 60_000

interface Pending {
  inbox: Inbox
  head: (head: Result<FrameOf<'head'>, Failure>) => void
}

export interface SideAnswer extends Answer {
  /** Whether the target needed no load. */
  resident: boolean
}

export class SidePeer {
  readonly #exchanges = new Map<number, Pending>()
  readonly #configuration: CatalogExchange
  #next = 0
  #load: Load | undefined
  #sentSince = 0
  #revision = noRevision
  #usedAt = Date.now()

  private constructor (private readonly channel: Channel, catalog: Catalog, private readonly log: Log) {
    this.#configuration = new CatalogExchange(catalog, channel)
  }

  /** Opens a channel and waits for the peer's hello. */
  static async connect (dial: Dial, address: Address, options: ChannelOptions, catalog: Catalog, log: Log): Promise<SidePeer | undefined> {
    try {
      const channel = new Channel(await dial(address), options)
      const peer = new SidePeer(channel, catalog, log)
      void peer.#read()
      if (!await within(helloMs, channel.greeted, false)) {
        channel.close()
        return undefined
      }
      peer.#seeLoad(channel.peer.load)
      peer.#seeRevision(channel.peer.revision)
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

  /** The highest revision that the peer has named. */
  get revision (): Revision {
    return this.#revision
  }

  get load (): Load | undefined {
    return this.#load
  }

  get leaving (): boolean {
    return this.#load?.leaving ?? false
  }

  get occupancy (): Occupancy {
    const load = this.#load
    return { reportedRequests: load === undefined ? 0 : load.waiting + load.running, sentSinceReport: this.#sentSince, capacity: load?.capacity ?? 1 }
  }

  /** Sends work and waits for the answer's head, or a failure; `not_sent` is this end's word, not the peer's. */
  async run (work: Work, signal: AbortSignal): Promise<Result<SideAnswer, Failure>> {
    if (signal.aborted) return err(notRun('not_sent', { detail: 'The caller no longer waits.' }))
    const id = this.#next++
    this.#usedAt = Date.now()
    const inbox = new Inbox(bytes => this.channel.send({ type: 'credit', id, bytes }))
    const head = await new Promise<Result<FrameOf<'head'>, Failure>>(resolve => {
      this.#exchanges.set(id, { inbox, head: resolve })
      signal.addEventListener('abort', () => this.#cancel(id), { once: true })
      this.#sentSince += 1
      if (!this.channel.send({ type: 'run', id, work })) this.#end(id, notRun('not_sent', { detail: 'The channel had ended.' }))
    })
    return head.map(({ status, headers, resident }) => ({ status, headers, resident, body: this.#body(id, inbox) }))
  }

  pull (): Promise<void> {
    return this.#configuration.pull()
  }

  heartbeat (frame: FrameOf<'heartbeat'>): void {
    this.channel.send(frame)
  }

  close (): void {
    this.channel.close()
  }

  async * #body (id: number, inbox: Inbox): AsyncGenerator<Uint8Array> {
    try {
      yield * inbox.read()
    } finally {
      this.#cancel(id)
    }
  }

  /** Nobody reads the exchange any more. */
  #cancel (id: number): void {
    if (!this.#exchanges.has(id)) return
    this.channel.send({ type: 'cancel', id })
    this.#end(id, unknown('cancelled'))
  }

  #end (id: number, failure: Failure): void {
    const pending = this.#exchanges.get(id)
    this.#exchanges.delete(id)
    pending?.head(err(failure))
    pending?.inbox.fail(failure)
  }

  async #read (): Promise<void> {
    for await (const frame of this.channel.frames()) this.#take(frame)
    for (const id of [...this.#exchanges.keys()]) this.#end(id, unknown('connection_lost'))
    this.#configuration.close()
    this.log.debug('side.channel_ended', { ...await this.channel.ended })
  }

  #seeLoad (load: Load | undefined): void {
    if (load === undefined) return
    this.#load = load
    this.#sentSince = 0
  }

  #seeRevision (revision: Revision): void {
    this.#revision = revision
    this.#configuration.see(revision)
  }

  #take (frame: Frame): void {
    if (frame.type === 'head') this.#exchanges.get(frame.id)?.head(ok(frame))
    else if (frame.type === 'chunk') this.#exchanges.get(frame.id)?.inbox.chunk(frame)
    else if (frame.type === 'end') this.#finish(frame)
    else if (frame.type === 'failure') this.#fail(frame)
    else this.#learn(frame)
  }

  #finish (frame: FrameOf<'end'>): void {
    this.#seeLoad(frame.load)
    this.#exchanges.get(frame.id)?.inbox.end(frame)
    this.#exchanges.delete(frame.id)
  }

  #fail ({ id, failure, load }: FrameOf<'failure'>): void {
    this.#seeLoad(load)
    this.#end(id, failure)
  }

  #learn (frame: Frame): void {
    if (frame.type === 'heartbeat') {
      this.#seeLoad(frame.load)
      this.#seeRevision(frame.revision)
    } else {
      this.#configuration.take(frame)
    }
  }

  async #closeWhenIdle (): Promise<void> {
    while (this.channel.open) {
      await Promise.race([pause(idleMs / 2), this.channel.ended])
      if (this.#exchanges.size === 0 && Date.now() - this.#usedAt > idleMs) this.channel.close()
    }
  }
}
