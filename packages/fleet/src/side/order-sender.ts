/**
 * Sends load and unload orders to the engine. Each order carries the id of the engine that it is meant for, the order count at which
 * it was decided, and a fencing token.
 *
 * Fencing tokens order the holders of a resource. An engine has only one holder, the machine of its side process, so all incarnations
 * of that process send the same token. Nothing has to survive a restart, and no peer has to be asked, for the token never to fall. An
 * order of an earlier incarnation that arrives late is refused by its order count.
 */
import type { Log } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { EngineOrder, EngineControl, OrderOutcome } from '../ports.js'
import { refKey } from '../server.js'
import { maxStoreRevision } from '../store-revision.js'
import type { SideCounters } from './counters.js'

/**
 * Delay after an order without an answer. The engine may have accepted it, which the next poll shows. The order may also
 * arrive later; the engine then refuses it if another order has used its order count.
 */
const noAnswerDelayMs = 20
/** Delay after the engine refused an order that was based on the state it had reported. */
const refusedDelayMs = 50
/** Delay after the engine refused the fencing token. It refuses it until it restarts. */
const fencedDelayMs = 1000

/** Above every store revision, which earlier software versions send as their token, so that an update does not lower it. */
const fencingToken = maxStoreRevision + 1

export interface OrderSenderOptions {
  engine: EngineControl
  engineAddress: string
  facts: Facts
  counters: SideCounters
  log: Log
  /** Called when another engine, or a restarted one, has replaced the one before. */
  onEngineReplaced: () => void
}

export interface SentOrder {
  outcome: OrderOutcome
  /** Send time on the monotonic clock. */
  at: number
  /** Delay before the next poll of the engine. */
  waitMs: number
}

export class OrderSender {
  #server: string | undefined
  #bornAt: number | undefined
  /** The engine's id by its last status, or by the server list. */
  #knownId: string | undefined

  constructor (private readonly options: OrderSenderOptions) {}

  /** The engine's id, if known. */
  get server (): string | undefined {
    return this.#server
  }

  /** Start time of the engine in Unix ms, if it reports one. */
  get bornAt (): number | undefined {
    return this.#bornAt
  }

  /** Handles a restart of the engine under the same id: cached adapters and loads in progress are lost. */
  recordEngineStart (bornAt: number | undefined): void {
    if (bornAt === undefined || bornAt === this.#bornAt) return
    this.options.log.info('engine.started', { server: this.#server, bornAt, before: this.#bornAt })
    if (this.#bornAt !== undefined) this.options.onEngineReplaced()
    this.#bornAt = bornAt
  }

  /**
   * Updates the engine's id from its status (`reportedId`) or, if that has none, from the server list. A change of this id
   * takes precedence; until it changes, the id that an engine stated when it refused an order is used.
   */
  updateEngineId (reportedId: string | undefined): void {
    const id = reportedId ?? this.#findListedId()
    if (id === this.#knownId) return
    this.#knownId = id
    this.#setServer(id)
  }

  async send (order: EngineOrder, reason: string): Promise<SentOrder> {
    const { engine, log, counters } = this.options
    const at = nowMs()
    const { outcome, detail, server } = await engine.order(order, fencingToken, this.#server)
    const { operation, model, adapter, version, expectedOrders } = order
    counters.orders.inc({ operation, outcome })
    log.info('engine.ordered', {
      operation, key: refKey({ model, adapter }), version, reason, expectedOrders, fence: fencingToken, server: this.#server, outcome, detail, ms: Math.round(nowMs() - at)
    })
    return { outcome, at, waitMs: this.#pollDelayAfter[outcome](server) }
  }

  /** Delay before the next poll, by the outcome of an order. */
  readonly #pollDelayAfter: Record<OrderOutcome, (server: string | undefined) => number> = {
    done: () => 0,
    accepted: () => 0,
    refused: () => refusedDelayMs,
    unknown: () => noAnswerDelayMs,
    // Another holder has sent a higher token. Sending one above it would lead to both ordering in turns.
    fenced: () => fencedDelayMs,
    moved: server => {
      this.#setServer(server)
      return refusedDelayMs
    }
  }

  #setServer (server: string | undefined): void {
    if (server === undefined || server === this.#server) return
    this.options.log.info('engine.known', { server, before: this.#server })
    if (this.#server !== undefined) this.options.onEngineReplaced()
    this.#server = server
  }

  /** Id of the backend server listed at the engine's address. If there are several, the one whose record changed last. */
  #findListedId (): string | undefined {
    const { facts, engineAddress } = this.options
    const candidates = [...facts.servers.values()].filter(server => server.address === engineAddress)
    if (candidates.length === 0) return this.#knownId
    return candidates.sort((a, b) => facts.revisionOf('server', b.id) - facts.revisionOf('server', a.id))[0]?.id
  }
}
