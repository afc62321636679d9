/**
 * The states of all servers known to this entry: renewed when a server restarts, removed once it is gone.
 */
import { nowMs } from '../../clock.js'
import { isEarlierIncarnation, type BackendServer } from '../../server.js'
import { Holders } from './holders.js'
import { ServerState, type EngineReport, type UsesListener } from './server-state.js'

/** Connection limit of a server whose service is not in the routing table yet; nothing is sent to it until then. */
const unroutedMaxConnections = 1

export class ServerStates {
  readonly holders = new Holders()
  readonly #states = new Map<string, ServerState>()
  #generation = 0

  /** `onUsesChange`: called with a server's id when its adapter use changes, which has to be reported to its side process. */
  constructor (private readonly onUsesChange: UsesListener = () => {}) {}

  /**
   * The state of a server, created or renewed if need be. `maxConnections` is `undefined` while its service is not in the routing
   * table.
   */
  getOrCreate (server: BackendServer, maxConnections: number | undefined): ServerState {
    const known = this.#states.get(server.id)
    if (known === undefined || isEarlierIncarnation(known.bornAt, server.bornAt)) return this.#begin(server.id, maxConnections ?? unroutedMaxConnections, server.bornAt)
    if (maxConnections !== undefined) known.limitConnections(maxConnections)
    return known
  }

  /** Changes whenever a state is created, replaced or removed. */
  get generation (): number {
    return this.#generation
  }

  /** A new server or incarnation: what is known of the previous incarnation, and connections to it, are discarded. */
  #begin (id: string, maxConnections: number, bornAt: number | undefined): ServerState {
    this.#states.get(id)?.close()
    this.holders.update(id, undefined)
    const state = new ServerState(id, maxConnections, this.onUsesChange, bornAt)
    this.#states.set(id, state)
    this.#generation += 1
    return state
  }

  get (id: string): ServerState | undefined {
    return this.#states.get(id)
  }

  /** Applies a report by an engine's side process. `bornAt`: start of the incarnation it is about, which the store may not list yet. */
  applyReport (id: string, report: EngineReport, bornAt?: number): void {
    const known = this.#states.get(id)
    if (known === undefined || isEarlierIncarnation(bornAt, known.bornAt)) return
    const state = isEarlierIncarnation(known.bornAt, bornAt) ? this.#begin(id, known.agent.maxSockets, bornAt) : known
    state.applyReport(report)
    this.holders.update(id, report.held)
  }

  /** Replaces the keys that an engine holds; the rest of its last report stays. */
  updateHeld (id: string, held: ReadonlyMap<string, number>): void {
    const state = this.#states.get(id)
    if (state?.engineReport === undefined) return
    state.engineReport = { ...state.engineReport, held }
    this.holders.update(id, held)
  }

  /** Removes servers that are gone, once their last request has ended. */
  prune (present: ReadonlyMap<string, unknown>): void {
    for (const [id, state] of this.#states) {
      // A backoff lasts for the whole incarnation, even if the server's entry in the store vanishes and comes back.
      if (present.has(id) || state.inFlight > 0 || state.backoff.active(nowMs())) continue
      state.close()
      this.holders.update(id, undefined)
      this.#states.delete(id)
      this.#generation += 1
    }
  }
}
