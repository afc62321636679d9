/**
 * The entry instance: stateless but for hints.
 *
 * It resolves what callers ask, has it run by a side process and passes the answer on. It also holds the
 * configuration for its peers, and watches the store when it is one of its failure domain's few watchers.
 */
import type { Duplex } from 'node:stream'
import { deadlineIn, notRun, pause, untried, type Address, type Answer, type Failure, type FailureDomain, type Incarnation, type Log, type ProcessId, type Random, type Work } from '@finchpitch/core'
import type { Ask } from '@finchpitch/callers'
import { Claims, StoreSource, catchUp, defaultBuckets, defaultKeptMs, follow, type Catalog, type Instance, type InstanceList, type ObjectStore } from '@finchpitch/store'
import { Channel, protocolVersion, type Dial, type FrameOf } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'
import { watchInstances } from '../instance-view.js'
import { keepUplink, readPeer, watchersOf } from '../uplink.js'
import { Dispatch } from './dispatch.js'
import { resolve } from './resolve.js'
import { Sides } from './sides.js'
import { TeamLimits } from './team-limits.js'

export interface EntryOptions {
  process: ProcessId
  incarnation: Incarnation
  domain: FailureDomain
  address: () => Address
  store: ObjectStore
  instances: InstanceList
  catalog: Catalog
  dial: Dial
  log: Log
  random: Random
}

const roleCheckMs = 1000
const answerMarginMs = 250
const leastPatience = 0.8

export class Entry {
  readonly sides: Sides
  readonly #dispatch: Dispatch
  readonly #limits = new TeamLimits()
  readonly #stop = new AbortController()
  readonly #peers = new Set<Channel>()
  #instances: Instance[] = []
  #running = 0

  constructor (private readonly options: EntryOptions) {
    const { catalog, dial, log, random, store } = options
    this.sides = new Sides({ dial, channel: this.#channelOptions, catalog, log, random })
    const claims = new Claims({ store, random, buckets: defaultBuckets, keptMs: defaultKeptMs })
    this.#dispatch = new Dispatch({ sides: this.sides, claims, catalog, catchUp: () => this.catchUp(), log, random })
    catalog.onMove(() => this.#announce())
  }

  get running (): number {
    return this.#running
  }

  get ready (): boolean {
    return this.options.catalog.head !== undefined
  }

  get instances (): readonly Instance[] {
    return this.#instances
  }

  /** Runs the entry's own tasks until it is closed. */
  async run (): Promise<void> {
    const { instances, log, random, process, domain, catalog, dial } = this.options
    const { signal } = this.#stop
    const update = (list: Instance[]): void => {
      this.#instances = list
      this.sides.update(list)
    }
    await Promise.all([
      watchInstances({ list: instances, log, random, update, signal }),
      this.#watch(),
      keepUplink({ process, domain, instances: async () => this.#instances, catalog, channel: this.#channelOptions, dial, log, random, signal })
    ])
  }

  /** Takes one connection of a peer that follows the configuration here. */
  async accept (stream: Duplex): Promise<void> {
    const channel = new Channel(stream, this.#channelOptions)
    this.#peers.add(channel)
    await readPeer(channel, this.options.catalog)
    this.#peers.delete(channel)
  }

  /** Serves one ask; the answer's body ends the request. */
  async serve (ask: Ask, signal: AbortSignal): Promise<Result<Answer, Failure>> {
    const resolved = resolve(ask, this.options.catalog)
    if (resolved.isErr()) return err(this.#untried(ask, resolved.error))
    const leave = this.#limits.enter(resolved.value.team)
    if (leave.isErr()) return err(this.#untried(ask, leave.error))
    const deadline = deadlineIn(ask.patienceMs, signal)
    this.#running += 1
    const done = (): void => {
      deadline.clear()
      leave.value()
      this.#running -= 1
    }
    const answer = await this.#run(ask, { ...resolved.value.work, patienceMs: patienceAt(ask.patienceMs) }, deadline.signal)
    if (answer.isOk()) return ok({ ...answer.value, body: finishing(answer.value.body, done) })
    done()
    return err(answer.error.code === 'cancelled' && !signal.aborted ? { ...answer.error, code: 'deadline' } : answer.error)
  }

  /** A key that needs no store, for what `ask` names. */
  async ticket (ask: Ask): Promise<Result<string, Failure>> {
    const resolved = resolve(ask, this.options.catalog)
    if (resolved.isErr()) return err(resolved.error)
    const ticket = await this.#dispatch.ticket(resolved.value.work)
    return ticket === undefined ? err(notRun('no_backend', { retryAfterMs: roleCheckMs })) : ok(ticket)
  }

  /** Brings the catalog up to date, from the store or from any peer. */
  async catchUp (): Promise<void> {
    const moved = await catchUp(this.options.catalog, new StoreSource(this.options.store))
    if (moved.isErr()) await Promise.all(this.sides.peers.map(peer => peer.pull()))
  }

  close (): void {
    this.#stop.abort()
    for (const channel of this.#peers) channel.close()
    this.sides.close()
  }

  get #channelOptions (): { hello: () => FrameOf<'hello'>, heartbeat: () => FrameOf<'heartbeat'> } {
    const { process, incarnation, domain, address, catalog } = this.options
    return {
      hello: () => ({ type: 'hello', protocol: protocolVersion, process, incarnation, address: address(), domain, revision: catalog.revision }),
      heartbeat: () => ({ type: 'heartbeat', revision: catalog.revision })
    }
  }

  #announce (): void {
    const frame: FrameOf<'heartbeat'> = { type: 'heartbeat', revision: this.options.catalog.revision }
    for (const channel of this.#peers) channel.send(frame)
    this.sides.announce(frame)
  }

  #run (ask: Ask, work: Work, signal: AbortSignal): Promise<Result<Answer, Failure>> {
    return ask.once === undefined
      ? this.#dispatch.run(work, ask.repeatable, signal)
      : this.#dispatch.runOnce(work, ask.once, signal)
  }

  /** Refused before the key was looked up: only a first try is known not to have run. */
  #untried (ask: Ask, failure: Failure): Failure {
    return ask.once === undefined || ask.once.firstTry ? failure : untried(failure)
  }

  /** Watches the store while this entry is one of its domain's watchers, or knows of none. */
  async #watch (): Promise<void> {
    const { store, catalog, log, random } = this.options
    while (!this.#stop.signal.aborted) {
      if (this.#isWatcher()) {
        const turn = new AbortController()
        const following = follow({ store, catalog, log, random, signal: turn.signal })
        while (this.#isWatcher() && !this.#stop.signal.aborted) await pause(roleCheckMs, this.#stop.signal)
        turn.abort()
        await following
      }
      await pause(roleCheckMs, this.#stop.signal)
    }
  }

  #isWatcher (): boolean {
    const watchers = watchersOf(this.#instances, this.options.domain)
    return watchers.length === 0 || watchers.some(each => each.process === this.options.process)
  }
}

/** A side process gives up a little before the caller does, so that its proved refusal still arrives. */
const patienceAt = (patienceMs: number): number => Math.max(patienceMs - answerMarginMs, patienceMs * leastPatience)

async function * finishing (body: AsyncIterable<Uint8Array>, done: () => void): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } finally {
    done()
  }
}
