/**
 * The side processes that an entry can select, from the instance list, which lags, and from what they report themselves.
 *
 * A side process that reports that it is draining gets no new requests, whatever the list says. After a failed connection, the next
 * one is delayed by exponential backoff with jitter, so that the recovery of a failure domain doesn't cause a connection storm.
 */
import { backoff, servingName, type Address, type Log, type ProcessId, type Random, type Revision, type Serving } from '@finchpitch/core'
import { hashCandidates, rankHashedCandidates, selectBoundedLoad, type HashedCandidate, type Occupancy } from '@finchpitch/decisions'
import { type Catalog, type Instance } from '@finchpitch/store'
import type { ChannelOptions, Dial, FrameOf } from '@finchpitch/wire'
import { LRUCache } from 'lru-cache'
import { SideConnection } from './side-connection.js'

export interface SidePoolOptions {
  dial: Dial
  channel: ChannelOptions
  catalog: Catalog
  log: Log
  random: Random
}

interface KnownSide {
  instance: Instance
  peer: SideConnection | undefined
  connecting: Promise<SideConnection | undefined> | undefined
  failures: number
  /** Backoff: no connection attempt before this time. */
  retryAt: number
}

/** Number of side processes that requests for one adapter may be sent to, the most preferred ones. */
const candidatesPerKey = 4
const maxCachedLists = 4096

const emptyOccupancy: Occupancy = { reportedRequests: 0, sentSinceReport: 0, capacity: 1 }

export interface SideStatus {
  revision?: Revision
  leaving?: boolean
  waiting?: number
  running?: number
}

export interface ChosenSide {
  process: ProcessId
  address: Address
  peer: SideConnection
}

export class SidePool {
  readonly #known = new Map<string, KnownSide>()
  readonly #byServing = new Map<string, Array<HashedCandidate<Instance>>>()
  readonly #candidateLists = new LRUCache<string, Instance[]>({ max: maxCachedLists })

  constructor (private readonly options: SidePoolOptions) {}

  /** Applies a new instance list. */
  updateInstances (instances: Instance[]): void {
    const sides = instances.filter(instance => instance.role === 'side' && instance.serving !== undefined)
    const present = new Set(sides.map(each => each.process as string))
    for (const process of this.#known.keys()) {
      // Requests in progress there continue on their channel, which closes once it is idle.
      if (!present.has(process)) this.#known.delete(process)
    }
    for (const instance of sides) this.#upsert(instance)
    this.#rebuildIndex()
  }

  /** Selects the side process for `key` among those not in `tried`, connected and not draining; `undefined` if there is none. */
  async choose (serving: Serving, key: string, tried: ReadonlySet<string>): Promise<ChosenSide | undefined> {
    const list = this.#candidates(serving, key)
    const excluded = new Set(tried)
    while (true) {
      const available = list.filter(({ process }) => !excluded.has(process) && this.#isAvailable(process))
      const instance = available[selectBoundedLoad(available.map(each => this.#known.get(each.process)?.peer?.occupancy ?? emptyOccupancy))]
      if (instance === undefined) return undefined
      const peer = await this.connect(instance.process)
      if (peer !== undefined && !peer.leaving) return { process: instance.process, address: instance.address, peer }
      excluded.add(instance.process)
    }
  }

  /** The address of a process by the instance list. */
  addressOf (process: ProcessId): Address | undefined {
    return this.#known.get(process)?.instance.address
  }

  /** Connects to a process, or reuses its open connection; `undefined` during backoff or if it is not in the instance list. */
  async connect (process: ProcessId): Promise<SideConnection | undefined> {
    const side = this.#known.get(process)
    if (side === undefined) return undefined
    if (side.peer?.open === true) return side.peer
    if (Date.now() < side.retryAt) return undefined
    side.connecting ??= this.#connect(side).finally(() => { side.connecting = undefined })
    return await side.connecting
  }

  /** Connects to a process at an address that may not be in the instance list any more, or not yet. */
  async reach (process: ProcessId, address: Address): Promise<SideConnection | undefined> {
    const side = this.#known.get(process)
    if (side?.peer?.open === true && side.instance.address === address) return side.peer
    const { dial, channel, catalog, log } = this.options
    return await SideConnection.connect(dial, address, channel, catalog, log)
  }

  /** All open connections. */
  get openConnections (): SideConnection[] {
    return [...this.#known.values()].flatMap(({ peer }) => peer?.open === true ? [peer] : [])
  }

  broadcast (frame: FrameOf<'heartbeat'>): void {
    for (const peer of this.openConnections) peer.sendHeartbeat(frame)
  }

  /** The last status that a process reported; empty without an open connection to it. */
  statusOf (process: ProcessId): SideStatus {
    const peer = this.#known.get(process)?.peer
    if (peer?.open !== true) return {}
    const { load, revision } = peer
    return load === undefined ? { revision } : { revision, leaving: load.leaving, waiting: load.waiting, running: load.running }
  }

  close (): void {
    for (const peer of this.openConnections) peer.close()
  }

  #upsert (instance: Instance): void {
    const existing = this.#known.get(instance.process)
    if (existing !== undefined && existing.instance.address === instance.address) {
      existing.instance = instance
      return
    }
    this.#known.set(instance.process, { instance, peer: undefined, connecting: undefined, failures: 0, retryAt: 0 })
  }

  #rebuildIndex (): void {
    const groups = new Map<string, Instance[]>()
    this.#byServing.clear()
    this.#candidateLists.clear()
    for (const { instance } of this.#known.values()) {
      if (instance.serving === undefined || instance.leaving) continue
      const name = servingName(instance.serving)
      groups.set(name, [...groups.get(name) ?? [], instance])
    }
    for (const [name, instances] of groups) this.#byServing.set(name, hashCandidates(instances))
  }

  #candidates (serving: Serving, key: string): Instance[] {
    const cached = this.#candidateLists.get(key)
    if (cached !== undefined) return cached
    const list = rankHashedCandidates(key, this.#byServing.get(servingName(serving)) ?? [], candidatesPerKey)
    this.#candidateLists.set(key, list)
    return list
  }

  #isAvailable (process: string): boolean {
    const side = this.#known.get(process)
    if (side === undefined) return false
    if (side.peer?.open === true) return !side.peer.leaving
    return Date.now() >= side.retryAt
  }

  async #connect (side: KnownSide): Promise<SideConnection | undefined> {
    const { dial, channel, catalog, log, random } = this.options
    side.peer = await SideConnection.connect(dial, side.instance.address, channel, catalog, log)
    side.failures = side.peer === undefined ? side.failures + 1 : 0
    side.retryAt = side.peer === undefined ? Date.now() + backoff(side.failures, random) : 0
    return side.peer
  }
}
