/**
 * The side processes that an entry knows of: from the instance list, which lags, and from their own words.
 *
 * A side process that says it is leaving is believed at once; the list is not asked. One that can't be reached is
 * left alone for a growing, spread time, so that a failure domain's return is not met by a storm.
 */
import { backoff, servingName, type Address, type Log, type ProcessId, type Random, type Revision, type Serving } from '@finchpitch/core'
import { hashCandidates, rankHashedCandidates, selectBoundedLoad, type HashedCandidate, type Occupancy } from '@finchpitch/decisions'
import { type Catalog, type Instance } from '@finchpitch/store'
import type { ChannelOptions, Dial, FrameOf } from '@finchpitch/wire'
import { LRUCache } from 'lru-cache'
import { SidePeer } from './side-peer.js'

export interface SidesOptions {
  dial: Dial
  channel: ChannelOptions
  catalog: Catalog
  log: Log
  random: Random
}

interface Side {
  instance: Instance
  peer: SidePeer | undefined
  connecting: Promise<SidePeer | undefined> | undefined
  failures: number
  /** No connection is tried before this time. */
  notBefore: number
}

/** How many side processes may hold one adapter, by preference. */
const preferenceLength = 4
const cachedPreferences = 4096

const emptyOccupancy: Occupancy = { reportedRequests: 0, sentSinceReport: 0, capacity: 1 }

export interface SideState {
  revision?: Revision
  leaving?: boolean
  waiting?: number
  running?: number
}

export interface ChosenSide {
  process: ProcessId
  address: Address
  peer: SidePeer
}

export class Sides {
  readonly #sides = new Map<string, Side>()
  readonly #byServing = new Map<string, Array<HashedCandidate<Instance>>>()
  readonly #preferences = new LRUCache<string, Instance[]>({ max: cachedPreferences })

  constructor (private readonly options: SidesOptions) {}

  /** Takes the instance list as it was last read. */
  update (instances: Instance[]): void {
    const sides = instances.filter(instance => instance.role === 'side' && instance.serving !== undefined)
    const present = new Set(sides.map(each => each.process as string))
    for (const process of this.#sides.keys()) {
      // Requests in progress there go on over their channel, which ends when it falls idle.
      if (!present.has(process)) this.#sides.delete(process)
    }
    for (const instance of sides) this.#put(instance)
    this.#index()
  }

  /** The next side process for `key`, passing over those already tried; connected, or `undefined`. */
  async choose (serving: Serving, key: string, tried: ReadonlySet<string>): Promise<ChosenSide | undefined> {
    const list = this.#preferred(serving, key)
    const passed = new Set(tried)
    while (true) {
      const open = list.filter(({ process }) => !passed.has(process) && this.#mayTake(process))
      const instance = open[selectBoundedLoad(open.map(each => this.#sides.get(each.process)?.peer?.occupancy ?? emptyOccupancy))]
      if (instance === undefined) return undefined
      const peer = await this.connect(instance.process)
      if (peer !== undefined && !peer.leaving) return { process: instance.process, address: instance.address, peer }
      passed.add(instance.process)
    }
  }

  /** The address of a process in the instance list. */
  addressOf (process: ProcessId): Address | undefined {
    return this.#sides.get(process)?.instance.address
  }

  /** A channel to one process, at once where one is open. */
  async connect (process: ProcessId): Promise<SidePeer | undefined> {
    const side = this.#sides.get(process)
    if (side === undefined) return undefined
    if (side.peer?.open === true) return side.peer
    if (Date.now() < side.notBefore) return undefined
    side.connecting ??= this.#connect(side).finally(() => { side.connecting = undefined })
    return await side.connecting
  }

  /** A channel to an address that may not be in the list any more, or not yet. */
  async reach (process: ProcessId, address: Address): Promise<SidePeer | undefined> {
    const side = this.#sides.get(process)
    if (side?.peer?.open === true && side.instance.address === address) return side.peer
    const { dial, channel, catalog, log } = this.options
    return await SidePeer.connect(dial, address, channel, catalog, log)
  }

  /** Open channels, for telling all peers something. */
  get peers (): SidePeer[] {
    return [...this.#sides.values()].flatMap(({ peer }) => peer?.open === true ? [peer] : [])
  }

  announce (frame: FrameOf<'heartbeat'>): void {
    for (const peer of this.peers) peer.heartbeat(frame)
  }

  /** What a process last said of itself; empty without a channel to it. */
  stateOf (process: ProcessId): SideState {
    const peer = this.#sides.get(process)?.peer
    if (peer?.open !== true) return {}
    const { load, revision } = peer
    return load === undefined ? { revision } : { revision, leaving: load.leaving, waiting: load.waiting, running: load.running }
  }

  close (): void {
    for (const peer of this.peers) peer.close()
  }

  #put (instance: Instance): void {
    const known = this.#sides.get(instance.process)
    if (known !== undefined && known.instance.address === instance.address) {
      known.instance = instance
      return
    }
    this.#sides.set(instance.process, { instance, peer: undefined, connecting: undefined, failures: 0, notBefore: 0 })
  }

  #index (): void {
    const groups = new Map<string, Instance[]>()
    this.#byServing.clear()
    this.#preferences.clear()
    for (const { instance } of this.#sides.values()) {
      if (instance.serving === undefined || instance.leaving) continue
      const name = servingName(instance.serving)
      groups.set(name, [...groups.get(name) ?? [], instance])
    }
    for (const [name, instances] of groups) this.#byServing.set(name, hashCandidates(instances))
  }

  #preferred (serving: Serving, key: string): Instance[] {
    const cached = this.#preferences.get(key)
    if (cached !== undefined) return cached
    const list = rankHashedCandidates(key, this.#byServing.get(servingName(serving)) ?? [], preferenceLength)
    this.#preferences.set(key, list)
    return list
  }

  #mayTake (process: string): boolean {
    const side = this.#sides.get(process)
    if (side === undefined) return false
    if (side.peer?.open === true) return !side.peer.leaving
    return Date.now() >= side.notBefore
  }

  async #connect (side: Side): Promise<SidePeer | undefined> {
    const { dial, channel, catalog, log, random } = this.options
    side.peer = await SidePeer.connect(dial, side.instance.address, channel, catalog, log)
    side.failures = side.peer === undefined ? side.failures + 1 : 0
    side.notBefore = side.peer === undefined ? Date.now() + backoff(side.failures, random) : 0
    return side.peer
  }
}
