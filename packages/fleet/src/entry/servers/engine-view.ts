/**
 * An engine as seen by server selection: one object per engine, kept for as long as the engine's state, which computes a property
 * when it is read.
 *
 * A choice reads few properties of most engines, and queued requests are chosen for again at each scan of the queue. An object with
 * all properties of each engine, built for each choice, took a tenth of an entry's processor time under hard load.
 */
import type { PaceComparison } from '@finchpitch/decisions'
import type { BackendServer } from '../../server.js'
import type { AdapterPlacement } from './balancer.js'
import type { EngineCandidate } from './choice.js'
import type { LimitsView } from './server-limits.js'
import type { ServerState } from './server-state.js'

/** What all candidates of one selection have in common. It is valid until the next selection begins. */
export interface SelectionContext {
  /** Number of the selection, by which figures are kept for its duration. */
  round: number
  now: number
  key: string
  promptTokens: number
  outputTokens: number
  priority: number
  /** The oldest version of the key that may be used. */
  oldestVersion: number
  /** Don't load adapters into engines that advertise a limit, as there are others. */
  avoidLimited: boolean
  /** `undefined` while the engines are about equally quick. */
  paces: PaceComparison | undefined
  links: AdapterPlacement
}

export interface EngineViewOptions {
  context: SelectionContext
  limits: LimitsView
  isFallback: (id: string) => boolean
}

/** The properties are those of the selection that `context` describes at the time. */
export class EngineView implements EngineCandidate {
  readonly id: string
  readonly hash: number
  readonly domain: string
  readonly slots: number
  #room: number | undefined
  #roomRound = -1

  constructor (private readonly server: BackendServer, private readonly state: ServerState, private readonly options: EngineViewOptions) {
    this.id = server.id
    this.hash = state.hash
    this.domain = server.domain
    this.slots = server.slots
  }

  get load (): number {
    return this.state.loadAt(this.options.context.now)
  }

  get unhealthy (): boolean {
    const { now } = this.options.context
    return this.state.outlier.ejected(now) || this.state.isUnresponsive(now) || this.state.engineReport?.reachable === false
  }

  get fallback (): boolean {
    return this.options.isFallback(this.id)
  }

  get holds (): boolean {
    const { key, oldestVersion } = this.options.context
    return (this.state.engineReport?.held.get(key) ?? -1) >= oldestVersion
  }

  get coming (): boolean {
    const { key, links } = this.options.context
    return this.state.engineReport?.coming.has(key) === true || links.isLoadRequested(this.server, key)
  }

  get expectedMs (): number {
    const { promptTokens, priority, now } = this.options.context
    this.#assumePace()
    return this.state.expectedMs(promptTokens, priority, now)
  }

  get runMs (): number {
    this.#assumePace()
    return this.state.runMs(this.options.context.outputTokens)
  }

  get weight (): number {
    const { paces } = this.options.context
    this.#assumePace()
    return paces === undefined || this.state.assumedPace === undefined ? 1 : paces.weightOf(this.state.assumedPace)
  }

  get warm (): boolean {
    const { key, links } = this.options.context
    return links.warm(this.server, key)
  }

  get queued (): boolean {
    const { key, links } = this.options.context
    return links.isLoadQueued(this.server, key)
  }

  get canRequestLoad (): boolean {
    const { avoidLimited, key, links } = this.options.context
    return !(avoidLimited && this.options.limits.state(this.server) !== undefined) && links.canRequestLoad(this.server, key)
  }

  get room (): number | undefined {
    const { round, links } = this.options.context
    if (round === this.#roomRound) return this.#room
    this.#roomRound = round
    this.#room = roomOf(this.server, this.state, links)
    return this.#room
  }

  get slotMs (): number {
    return this.state.engineReport?.slotMs ?? 0
  }

  #assumePace (): void {
    const { paces } = this.options.context
    this.state.assumePace(paces === undefined ? undefined : this.state.engineReport?.pace ?? paces.mean)
  }
}

/** Adapters that the engine could load, less those requested from it since it reported; `undefined` if it has not. */
export const roomOf = (engine: BackendServer, state: ServerState | undefined, links: AdapterPlacement): number | undefined => {
  const report = state?.engineReport
  if (report?.room === undefined || report.room <= 0) return report?.room === undefined ? undefined : 0
  return Math.max(0, report.room - links.loadsRequestedSince(engine, report.at))
}
