/**
 * Compares the choices of the balancer, which keeps figures of engines between selections and reads only those that a choice needs,
 * with a selection that computes all properties of all engines for each choice.
 */
import { silentLog } from '@finchpitch/core'
import { hashOf, rendezvousScore, weightedRendezvousScore } from '@finchpitch/decisions'
import { Balancer, Facts, nowMs, type AdapterPlacement, type BackendServer, type Choice, type EngineCandidate, type FleetService, type Limits, type PendingRequest, type RoutingTable, type SelectionRequest, type ServerState } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const adapterSlots = 3
const engineCount = 9
const keys = ['m/a', 'm/b', 'm/c', 'm/d', 'm/e', 'm/f']
const priorities = [1, 2]
const engines: FleetService = {
  name: 'llm',
  maxConnections: 100,
  engine: { batchSize: 8, adapterSlots, weightMemoryMb: 2000, loadsPerSecond: 9, models: [{ name: 'm', memoryMb: 1000, adapterMemoryMb: 12 }] }
}
const table: RoutingTable = { version: 1, routes: [], services: [engines], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
const limits = { versionMs: 5000 } as unknown as Limits
const server = (index: number): BackendServer => ({ id: `e${index}`, service: 'llm', address: `10.0.0.${index}:80`, domain: 'ab'.charAt(index % 2), slots: 8, leaving: false, models: [] })

const least = <T>(items: readonly T[], cost: (item: T) => number): T | undefined => items.reduce<T | undefined>((best, item) => best === undefined || cost(item) < cost(best) ? item : best, undefined)
const usable = (candidates: EngineCandidate[]): EngineCandidate[] => {
  const healthy = candidates.filter(each => !each.unhealthy && !each.fallback)
  return healthy.length > 0 ? healthy : candidates.filter(each => !each.fallback)
}
const hasCapacity = ({ load, slots }: EngineCandidate): boolean => load < slots + 2
const hasRoom = ({ room }: EngineCandidate): boolean => room === undefined || room > 0

/** The selection as it was when it computed everything for each choice. */
const chooseFromAll = (candidates: EngineCandidate[], key: string, timeToObjectiveMs: number): Choice => {
  const keyHash = hashOf(key)
  const spare = candidates.reduce((sum, { room }) => sum + (room ?? adapterSlots), 0) >= 0.1 * adapterSlots * candidates.length
  const startMs = ({ warm, expectedMs }: EngineCandidate): number => Math.max(warm ? 80 : 300, expectedMs)
  const loadTarget = (): EngineCandidate | undefined => {
    const eligible = candidates.filter(each => !each.holds && !each.coming && !each.unhealthy && !each.fallback && hasCapacity(each) && each.canRequestLoad)
    const best = least(eligible, each => Math.floor(startMs(each) / 200) * 200 + (each.warm ? 0 : 300) +
      weightedRendezvousScore(keyHash, each.hash, spare ? each.weight ?? 1 : 1) * 500 + (hasRoom(each) ? 0 : each.slotMs ?? 0))
    return best === undefined || hasRoom(best) ? best : eligible.find(({ queued }) => queued) ?? best
  }
  const soonest = (items: EngineCandidate[]): EngineCandidate | undefined =>
    least(items, each => Math.floor((each.expectedMs + (each.runMs ?? 0) + (each.domain === 'a' ? 0 : 60)) / 50) + rendezvousScore(keyHash, each.hash))
  if (candidates.length === 0) return { type: 'none', reason: 'no engine of the service' }
  const coming = candidates.some(each => each.coming && !each.unhealthy)
  const holders = usable(candidates.filter(each => each.holds))
  const open = holders.filter(hasCapacity)
  const notBusy = soonest(open.filter(({ load, slots }) => load < slots * 0.75))
  const best = notBusy ?? soonest(open)
  if (best !== undefined) {
    const { id, expectedMs } = best
    const send: Choice = { type: 'send', id, reason: notBusy === undefined ? 'held, busy' : best.domain === 'a' ? 'held near' : 'held across', expectedMs }
    if (expectedMs < timeToObjectiveMs || coming) return send
    const other = spare ? loadTarget() : undefined
    const otherMs = other === undefined ? Infinity : startMs(other)
    return otherMs > timeToObjectiveMs || otherMs + 300 > expectedMs ? send : { type: 'bring', ask: other?.id, held: true, reason: 'its holders are slow' }
  }
  const held = holders.length > 0
  if (coming) return { type: 'bring', ask: undefined, held, reason: 'on its way' }
  const ask = held && !spare ? undefined : loadTarget()?.id
  if (ask !== undefined) return { type: 'bring', ask, held, reason: !candidates.some(hasRoom) ? 'no engine has room' : held ? 'its holders are full' : 'held nowhere' }
  return held ? { type: 'full', reason: 'its holders are full' } : { type: 'bring', ask: undefined, held, reason: 'no engine can bring it in' }
}

/** A balancer before engines whose states change at random. */
class RandomEngines {
  readonly balancer: Balancer
  readonly #facts = new Facts(silentLog, () => 1000)
  readonly #random: ReturnType<typeof xoroshiro128plus>
  readonly #requested = new Map<string, Set<string>>()
  readonly #queued = new Map<string, Set<string>>()
  readonly #refusing = new Set<string>()
  readonly #pending: Array<{ state: ServerState, key: string, pending: PendingRequest }> = []
  readonly #links: AdapterPlacement = {
    canRequestLoad: ({ id }) => !this.#refusing.has(id),
    warm: ({ id }, key) => (hashOf(`${id} ${key}`) & 3) === 0,
    isLoadRequested: ({ id }, key) => this.#requested.get(id)?.has(key) === true,
    isLoadQueued: ({ id }, key) => this.#queued.get(id)?.has(key) === true,
    loadsRequestedSince: ({ id }) => this.#requested.get(id)?.size ?? 0,
    requestLoad: () => {},
    withdraw: () => {},
    scheduleUsesReport: () => {}
  }

  constructor (seed: number, private readonly time: FakeTime) {
    this.#random = xoroshiro128plus(seed)
    this.#facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store')
    this.balancer = new Balancer(this.#facts, 'a', () => limits, () => this.#links, silentLog)
    for (let index = 0; index < engineCount; index++) {
      this.#facts.offer({ kind: 'server', key: `e${index}`, revision: 2, value: server(index) }, 'store')
      this.balancer.state(server(index))
    }
  }

  below (bound: number): number {
    return (this.#random.next() >>> 0) % bound
  }

  #some<T> (items: readonly T[], share = 3): T[] {
    return items.filter(() => this.below(share) === 0)
  }

  #pick (): ServerState {
    return this.balancer.state(server(this.below(engineCount)))
  }

  readonly #changes: Array<() => void> = [
    () => this.#report(),
    () => this.#report(),
    () => this.#begin(),
    () => this.#begin(),
    () => this.#end(),
    () => { for (const { state, pending } of this.#pending.slice(-1)) state.recordFirstByte(pending) },
    () => this.#pick().recordRefusal(),
    () => { this.#pick().outlier.eject(nowMs()) },
    () => { this.time.advanceSync(this.below(300)) },
    () => { this.#requested.set(this.#pick().id, new Set(this.#some(keys, 4))) },
    () => { this.#queued.set(this.#pick().id, new Set(this.#some(keys, 4))) },
    () => { if (!this.#refusing.delete(this.#pick().id)) this.#refusing.add(this.#pick().id) },
    () => this.#renew()
  ]

  change (): void {
    this.#changes[this.below(this.#changes.length)]?.()
  }

  /** The slots of most engines are in use, so that second copies are loaded at some times and not at others. */
  #report (): void {
    const pace = this.below(2) === 0 ? undefined : { prefillMs: 20 + this.below(40), tokenMs: 4 + this.below(8) }
    const held = new Map(this.#some(keys).map(key => [key, 1 + this.below(2)]))
    this.balancer.states.applyReport(this.#pick().id, {
      at: nowMs(), reachable: this.below(12) > 0, held, coming: new Set(this.#some(keys, 12)), waiting: 0, running: this.below(12), unread: this.below(3) * 9000, room: [0, 0, 1, undefined][this.below(4)], slotMs: this.below(900), pace
    })
  }

  #begin (): void {
    const state = this.#pick()
    const key = keys[this.below(keys.length)] ?? ''
    this.#pending.push({ state, key, pending: state.begin({ key, patienceMs: 50 + this.below(3000), tokens: this.below(20_000), priority: priorities[this.below(2)] ?? 1 }) })
  }

  #end (): void {
    for (const { state, key, pending } of this.#pending.splice(this.below(this.#pending.length + 1), 1)) state.end(key, pending)
  }

  /** A restart of an engine, which its side process reports before the store lists it. */
  #renew (): void {
    if (this.below(4) > 0) return
    this.balancer.states.applyReport(this.#pick().id, { at: nowMs(), reachable: true, held: new Map(), coming: new Set(), waiting: 0, running: 0, unread: 0, room: 3 }, nowMs())
  }

  selection (): SelectionRequest {
    const excluded = new Set(this.below(4) === 0 ? [`e${this.below(engineCount)}`] : [])
    return { service: engines, key: keys[this.below(keys.length)], promptTokens: this.below(12_000), outputTokens: this.below(200), timeToObjectiveMs: this.below(1200) - 100, priority: priorities[this.below(2)] ?? 1, excluded }
  }

  /** The choice from properties that are all computed anew. */
  chooseFromAll ({ key = '', promptTokens, outputTokens = 0, timeToObjectiveMs, priority, excluded }: SelectionRequest): Choice {
    const now = nowMs()
    const included = Array.from({ length: engineCount }, (_, index) => server(index)).filter(({ id }) => !excluded.has(id))
    const paces = this.balancer.pacesOf('llm')
    return chooseFromAll(included.map((each): EngineCandidate => {
      const state = this.balancer.state(each)
      const { engineReport: report } = state
      // Figures are kept for one time only, so this discards those for `now`.
      state.expectedMs(promptTokens, priority, now - 1)
      state.assumePace(paces === undefined ? undefined : report?.pace ?? paces.mean)
      return {
        id: each.id,
        hash: state.hash,
        domain: each.domain,
        load: state.load,
        slots: each.slots,
        unhealthy: state.outlier.ejected(now) || state.isUnresponsive(now) || report?.reachable === false,
        fallback: false,
        holds: (report?.held.get(key) ?? -1) >= 0,
        expectedMs: state.expectedMs(promptTokens, priority, now),
        runMs: state.runMs(outputTokens),
        weight: paces === undefined || state.assumedPace === undefined ? 1 : paces.weightOf(state.assumedPace),
        coming: report?.coming.has(key) === true || this.#links.isLoadRequested(each, key),
        queued: this.#links.isLoadQueued(each, key),
        room: report?.room === undefined ? undefined : Math.max(0, report.room - this.#links.loadsRequestedSince(each, report.at)),
        slotMs: report?.slotMs ?? 0,
        warm: this.#links.warm(each, key),
        canRequestLoad: this.#links.canRequestLoad(each, key)
      }
    }), key, timeToObjectiveMs)
  }
}

describe('engine selection', () => {
  let time: FakeTime
  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  // Guards against figures that are kept although the engine's state has changed, and against other choices by the order of checks.
  for (let seed = 1; seed <= 40; seed++) {
    it(`chooses as if all figures were computed for each choice (seed ${seed})`, () => {
      const random = new RandomEngines(seed, time)
      const reasons = new Set<string>()
      for (let round = 0; round < 400; round++) {
        // Choices without a comparison between them, which leave figures behind.
        for (let each = random.below(4); each > 0; each--) random.balancer.choose(random.selection())
        for (let each = random.below(4); each > 0; each--) random.change()
        const selection = random.selection()
        const choice = random.balancer.choose(selection)
        expect(choice, `round ${round}`).to.deep.equal(random.chooseFromAll(selection))
        reasons.add(choice.reason)
      }
      expect(reasons.size).to.be.at.least(6)
    })
  }
})
