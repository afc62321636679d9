/**
 * Gives the engine its orders: with the fence that no earlier incarnation of this process can have been past, and the
 * id of the engine that is meant.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { EngineOrder, EngineOrders, OrderOutcome } from '../ports.js'
import { refKey } from '../server.js'
import { revisionFields } from '../store-revision.js'
import type { SideCounters } from './counters.js'

/** After an order without an answer: it may have been accepted, which the next account shows, or may be yet; then its count is taken. */
const unknownMs = 20
/** After an engine refused an order that rested on its own account. */
const refusedMs = 50

export interface OrderGiverOptions {
  engine: EngineOrders
  engineAddress: string
  facts: Facts
  counters: SideCounters
  log: Log
  /** Another engine has taken the place of the one before. */
  replaced: () => void
}

export interface GivenOrder {
  outcome: OrderOutcome
  /** When it was sent, on the steady clock. */
  at: number
  /** How long to wait before the next look at the engine. */
  waitMs: number
}

export class OrderGiver {
  #fence = 0
  #server: string | undefined
  #bornAt: number | undefined
  /** The engine's id as last listed. */
  #listed: string | undefined

  constructor (private readonly options: OrderGiverOptions) {}

  /** 0 until the store's revision is known. */
  get fence (): number {
    return this.#fence
  }

  /** The engine's id, where it is known. */
  get server (): string | undefined {
    return this.#server
  }

  /** Unix ms of the engine's start, where it says so. */
  get bornAt (): number | undefined {
    return this.#bornAt
  }

  /** Whether orders may be given. The fence is fixed once, at a revision of the store that no earlier incarnation can have been past. */
  get ready (): boolean {
    if (this.#fence > 0) return true
    const { facts, log } = this.options
    if (facts.revision === 0) return false
    this.#fence = Math.floor(facts.revision)
    log.info('fence.taken', { fence: this.#fence, ...revisionFields(facts.revision) })
    return true
  }

  /** The engine started again under its id: what was at hand and on its way is gone. */
  noteStart (bornAt: number | undefined): void {
    if (bornAt === undefined || bornAt === this.#bornAt) return
    this.options.log.info('engine.started', { server: this.#server, bornAt, before: this.#bornAt })
    if (this.#bornAt !== undefined) this.options.replaced()
    this.#bornAt = bornAt
  }

  /** `named`: the id that the engine's account says. The list is believed when it changes; until then an engine that named itself on a refusal is believed more. */
  noteAccount (named: string | undefined): void {
    const listed = named ?? this.#listedServer()
    if (listed === this.#listed) return
    this.#listed = listed
    this.#noteServer(listed)
  }

  async give (order: EngineOrder, reason: string): Promise<GivenOrder> {
    const { engine, log, counters } = this.options
    const at = nowMs()
    const fence = this.#fence
    const { outcome, detail, server } = await engine.order(order, fence, this.#server)
    const { operation, model, adapter, version, expectedOrders } = order
    counters.orders.inc({ operation, outcome })
    log.info('engine.ordered', {
      operation, key: refKey({ model, adapter }), version, reason, expectedOrders, fence, server: this.#server, outcome, detail, ms: Math.round(nowMs() - at)
    })
    return { outcome, at, waitMs: this.#after[outcome](server) }
  }

  /** How long to wait for the next look, by an order's outcome. */
  readonly #after: Record<OrderOutcome, (server: string | undefined) => number> = {
    done: () => 0,
    accepted: () => 0,
    refused: () => refusedMs,
    unknown: () => unknownMs,
    fenced: () => {
      this.#fence = Math.max(this.#fence + 1, Math.floor(this.options.facts.revision))
      return refusedMs
    },
    moved: server => {
      this.#noteServer(server)
      return refusedMs
    }
  }

  #noteServer (server: string | undefined): void {
    if (server === undefined || server === this.#server) return
    this.options.log.info('engine.known', { server, before: this.#server })
    if (this.#server !== undefined) this.options.replaced()
    this.#server = server
  }

  /** The engine at this address by the list of backend servers: the last that registered. */
  #listedServer (): string | undefined {
    const { facts, engineAddress } = this.options
    const listed = [...facts.servers.values()].filter(server => server.address === engineAddress)
    if (listed.length === 0) return this.#listed
    return listed.sort((a, b) => facts.revisionOf('server', b.id) - facts.revisionOf('server', a.id))[0]?.id
  }
}
