/**
 * Simulation of load: generations on many engines on a virtual clock, with requests routed by the same functions as in an entry.
 *
 * Engines prefill prompts one at a time in the order of their ranks, hold a few adapters and load others on request; entries see
 * the state of the engines with a delay. The durations are those in the logs of this system. The model is for tests that compare
 * one policy with another under the same load; it has no failures, no domains and no network.
 */
import { chooseEngine, maxConcurrentLoads, rankOf, maxWaitShare, type Choice, type EngineSelection, type EngineCandidate, type RankInput } from '@finchpitch/fleet'
import { comparePaces, hashOf, type Pace, type PaceComparison } from '@finchpitch/decisions'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** A class of requests with common properties. */
export interface RequestKind {
  name: string
  perSecond: number
  tokens: { least: number, most: number }
  objectiveMs: number
  deadlineMs: number
  priority: number
  /** Time from the first token to the last. */
  runMs: number
}

export interface LoadPattern {
  seed: number
  seconds: number
  engines: number
  slots: number
  adapterSlots: number
  adapters: number
  entries: number
  kinds: readonly RequestKind[]
  /** Factor on the request rate in the middle third of the run. */
  burst: number
  /** The first `engines` engines prefill prompts at `share` of the normal rate and, with `runs`, generate tokens at that share too. */
  slow?: { engines: number, share: number, runs?: boolean }
}

/** Baseline policy: the holder with the fewest requests or, if there is none, the engine with the fewest. */
export const leastOutstanding = ({ candidates }: EngineSelection): Choice => {
  const holders = candidates.filter(candidate => candidate.holds)
  const [least] = (holders.length > 0 ? holders : [...candidates]).sort((a, b) => a.load - b.load)
  if (least === undefined) return { type: 'none', reason: 'no engine' }
  if (holders.length > 0) return { type: 'send', id: least.id, reason: 'fewest requests', expectedMs: 0 }
  const coming = candidates.some(candidate => candidate.coming)
  return { type: 'bring', ask: coming ? undefined : least.id, held: false, reason: 'held nowhere' }
}

/** A routing policy to compare: how an entry selects an engine, and the rank of a request, the lowest first. */
export interface Policy {
  choose: (choice: EngineSelection) => Choice
  rank: (input: RankInput) => number
  /** Whether entries know which engines have room. If they don't, engines decline demands that get no slot. */
  seesRoom?: boolean
  /** Whether entries know the engines' paces. */
  seesPace?: boolean
}

/** The policy that entries use. */
export const productionPolicy: Policy = { choose: chooseEngine, rank: rankOf }

export interface Outcome {
  requests: number
  inTime: number
  late: number
  refused: number
}

const tickMs = 5
/** How long the run goes on after the last arrival, so that all requests are served or refused. */
const cooldownMs = 6000
/** Prompt tokens that an engine prefills per millisecond, from the data sheets of the deployments. */
const tokensPerMs = 38.7
/** Durations of a load from the weight store and from the engine's own memory, from the logs of side processes. */
const coldLoadMs = 250
const warmLoadMs = 25
/** Adapter copies that an engine keeps in memory besides the loaded ones, from the data sheets. */
const warmCopies = 96
/** An adapter that was loaded or used more recently than this is not evicted, as requests for it are on their way. */
const evictionGraceMs = 100
/** A demand that waits longer than this for a slot is declined, unless it is to be kept, and not repeated there for a while. */
const slotWaitMs = 120
const declineBackoffMs = 500
/** Mean time until a slot of a full engine is free. */
const slotIntervalMs = 50
/** Delay with which an entry sees an engine's state. */
const reportDelayMs = 250
/** Delay with which it sees whether the engine has room, which is sent at once and relayed in batches. */
const roomDelayMs = 60
/** The larger, the fewer adapters get most of the requests, and the fewer prompts are nearly as long as the longest. */
const popularitySkew = 5
const lengthSkew = 3

interface SimulatedRequest {
  kind: RequestKind
  key: string
  tokens: number
  /** Tokens that are not prefilled yet. */
  unread: number
  arrived: number
  entry: number
  sentAt: number
  /** Rank when it was sent: later changes are not sent to the engine. */
  sentRank: number
}

interface Engine {
  id: string
  hash: number
  /** Prompt tokens that it prefills per millisecond. */
  prefillRate: number
  /** Requests whose prompts it has not fully prefilled, the next ones first. */
  prefilling: SimulatedRequest[]
  running: Array<{ request: SimulatedRequest, endsAt: number }>
  /** Loaded adapters by time of last use; adapters being loaded, by time of completion; copies in memory, the oldest first. */
  held: Map<string, number>
  coming: Map<string, number>
  warm: Set<string>
  /** How many times as long as usual requests run. */
  runFactor: number
  /** Adapters that entries asked it to load. */
  loadQueue: Demand[]
  /** When demands were declined, by key. */
  declined: Map<string, number>
}

interface Demand {
  key: string
  at: number
  /** It is not declined. */
  keep: boolean
}

/** An engine's load as reported to entries. */
interface LoadReport {
  load: number
  unread: number
  room: number
  queued: number
}

/** A request that is not part of the reports to its entry yet. */
interface UnreportedRequest {
  at: number
  entry: number
  engine: number
  tokens: number
}

/** A load that an entry requested and that is not part of the reports to it yet. */
interface UnreportedDemand {
  at: number
  entry: number
  engine: number
}

const noOutcomes = (): Outcome => ({ requests: 0, inTime: 0, late: 0, refused: 0 })

const range = (count: number): number[] => Array.from({ length: count }, (_, index) => index)

export class LoadSimulation {
  readonly outcomes = new Map<string, Outcome>()
  readonly #random: RandomGenerator
  readonly #engines: Engine[]
  /** Reports of all engines that are on their way to entries, the oldest first. */
  readonly #reports: LoadReport[][] = []
  readonly #waiting = new Set<SimulatedRequest>()
  readonly #unreported: UnreportedRequest[] = []
  readonly #unreportedDemands: UnreportedDemand[] = []
  /** The lowest rank of the requests that wait for a key. */
  #rankByKey = new Map<string, number>()
  #now = 0
  readonly #paces: PaceComparison | undefined

  constructor (private readonly pattern: LoadPattern, private readonly policy: Policy) {
    this.#random = xoroshiro128plus(pattern.seed)
    const { engines, slow } = pattern
    const rateOf = (index: number): number => slow !== undefined && index < slow.engines ? tokensPerMs * slow.share : tokensPerMs
    this.#engines = range(engines).map(index => ({
      id: `engine-${index}`,
      hash: hashOf(`engine-${index}`),
      prefillRate: rateOf(index),
      runFactor: slow?.runs === true ? tokensPerMs / rateOf(index) : 1,
      prefilling: [],
      running: [],
      held: new Map(),
      coming: new Map(),
      warm: new Set(),
      loadQueue: [],
      declined: new Map()
    }))
    this.#paces = policy.seesPace === false ? undefined : comparePaces(this.#engines.map(paceOf))
    for (const { name } of pattern.kinds) this.outcomes.set(name, noOutcomes())
  }

  /** Runs the simulation to its end and returns the outcomes by kind of request. */
  run (): ReadonlyMap<string, Outcome> {
    const end = this.pattern.seconds * 1000
    for (this.#now = 0; this.#now < end + cooldownMs; this.#now += tickMs) {
      if (this.#now < end) this.#arrive()
      for (const engine of this.#engines) this.#advance(engine)
      this.#report()
      this.#route()
    }
    return this.outcomes
  }

  #draw (): number {
    return uniformFloat64(this.#random)
  }

  #arrive (): void {
    const { kinds, seconds, burst, adapters, entries } = this.pattern
    const third = Math.floor(this.#now / (seconds * 1000) * 3)
    for (const kind of kinds) {
      let due = kind.perSecond * (third === 1 ? burst : 1) * tickMs / 1000
      for (; due > 0; due -= 1) {
        if (this.#draw() >= due) continue
        const tokens = Math.round(kind.tokens.least + (kind.tokens.most - kind.tokens.least) * this.#draw() ** lengthSkew)
        const key = `m/a${Math.floor(adapters * this.#draw() ** popularitySkew)}`
        this.#waiting.add({ kind, key, tokens, arrived: this.#now, entry: Math.floor(this.#draw() * entries), unread: tokens, sentAt: 0, sentRank: 0 })
        this.#outcome(kind).requests += 1
      }
    }
  }

  #outcome (kind: RequestKind): Outcome {
    return this.outcomes.get(kind.name) ?? noOutcomes()
  }

  #advance (engine: Engine): void {
    engine.running = engine.running.filter(({ endsAt }) => endsAt > this.#now)
    for (const [key, at] of engine.coming) {
      if (at > this.#now) continue
      engine.coming.delete(key)
      engine.held.set(key, this.#now)
    }
    let tokens = engine.prefillRate * tickMs
    engine.prefilling.sort((a, b) => a.sentRank - b.sentRank || a.sentAt - b.sentAt)
    while (tokens > 0 && engine.prefilling[0] !== undefined) {
      const request = engine.prefilling[0]
      const prefilled = Math.min(tokens, request.unread)
      request.unread -= prefilled
      tokens -= prefilled
      if (request.unread > 0) break
      engine.prefilling.shift()
      engine.running.push({ request, endsAt: this.#now + request.kind.runMs * engine.runFactor })
      this.#outcome(request.kind)[this.#now - request.arrived <= request.kind.objectiveMs ? 'inTime' : 'late'] += 1
    }
    this.#startLoads(engine)
  }

  /** Starts the requested loads in the order of their ranks, evicting the least recently used adapter that no request uses. */
  #startLoads (engine: Engine): void {
    engine.loadQueue.sort((a, b) => (this.#rankByKey.get(a.key) ?? Infinity) - (this.#rankByKey.get(b.key) ?? Infinity) || a.at - b.at)
    while (engine.loadQueue.length > 0 && engine.coming.size < maxConcurrentLoads) {
      const { key } = engine.loadQueue[0] ?? { key: '' }
      if (!engine.held.has(key) && !engine.coming.has(key)) {
        if (engine.held.size + engine.coming.size >= this.pattern.adapterSlots && !this.#evict(engine)) return this.#decline(engine)
        engine.coming.set(key, this.#now + (engine.warm.has(key) ? warmLoadMs : coldLoadMs))
      }
      engine.loadQueue.shift()
    }
  }

  #decline (engine: Engine): void {
    engine.loadQueue = engine.loadQueue.filter(({ key, at, keep }) => {
      const kept = keep || this.#now - at < slotWaitMs
      if (!kept) engine.declined.set(key, this.#now)
      return kept
    })
  }

  /** Loaded adapters that can be evicted. */
  #idle (engine: Engine): Array<[key: string, usedAt: number]> {
    const used = new Set([...engine.running.map(({ request }) => request.key), ...engine.prefilling.map(request => request.key)])
    return [...engine.held].filter(([key, at]) => !used.has(key) && this.#now - at > evictionGraceMs)
  }

  #room (engine: Engine): number {
    return Math.max(0, this.pattern.adapterSlots - engine.held.size - engine.coming.size + this.#idle(engine).length - engine.loadQueue.length)
  }

  #evict (engine: Engine): boolean {
    const [victim] = this.#idle(engine).sort(([, a], [, b]) => a - b)
    if (victim === undefined) return false
    engine.held.delete(victim[0])
    engine.warm.delete(victim[0])
    engine.warm.add(victim[0])
    const [oldest] = engine.warm
    if (engine.warm.size > warmCopies && oldest !== undefined) engine.warm.delete(oldest)
    return true
  }

  #report (): void {
    this.#reports.push(this.#engines.map(engine => ({
      load: engine.prefilling.length + engine.running.length,
      unread: engine.prefilling.reduce((sum, request) => sum + request.unread, 0),
      room: this.#room(engine),
      queued: engine.loadQueue.length
    })))
    if (this.#reports.length > reportDelayMs / tickMs) this.#reports.shift()
    while (this.#unreported[0] !== undefined && this.#now - this.#unreported[0].at > reportDelayMs) this.#unreported.shift()
    while (this.#unreportedDemands[0] !== undefined && this.#now - this.#unreportedDemands[0].at > reportDelayMs) this.#unreportedDemands.shift()
  }

  #rank ({ kind, arrived, tokens }: SimulatedRequest): number {
    return this.policy.rank({ priority: kind.priority, objectiveMs: kind.objectiveMs, elapsedMs: this.#now - arrived, prefillMs: tokens / tokensPerMs })
  }

  #route (): void {
    const ranked = [...this.#waiting].map(request => ({ request, rank: this.#rank(request) }))
    ranked.sort((a, b) => a.rank - b.rank || a.request.arrived - b.request.arrived)
    this.#rankByKey = new Map(ranked.toReversed().map(({ request, rank }) => [request.key, rank]))
    for (const { request } of ranked) {
      const choice = this.policy.choose(this.#selectionOf(request))
      if (choice.type === 'send') this.#send(request, Number(choice.id.split('-')[1]))
      else if (choice.type === 'bring' && choice.ask !== undefined) this.#requestLoad(request, Number(choice.ask.split('-')[1]))
      if (choice.type !== 'send' && this.#now - request.arrived > request.kind.deadlineMs * maxWaitShare) this.#refuse(request)
    }
  }

  #send (request: SimulatedRequest, index: number): void {
    this.#waiting.delete(request)
    request.sentAt = this.#now
    request.sentRank = this.#rank(request)
    const engine = this.#engines[index]
    if (engine === undefined) return
    engine.held.set(request.key, this.#now)
    engine.prefilling.push(request)
    this.#unreported.push({ at: this.#now, entry: request.entry, engine: index, tokens: request.tokens })
  }

  /** Requests a load from an engine, which keeps the demand if the entry sees no room there. Demands kept elsewhere are withdrawn. */
  #requestLoad (request: SimulatedRequest, index: number): void {
    const { key, entry } = request
    const engine = this.#engines[index]
    if (engine === undefined || engine.coming.has(key) || isDemanded(engine, key)) return
    for (const each of this.#engines) each.loadQueue = each.loadQueue.filter(demand => demand.key !== key || !demand.keep)
    engine.loadQueue.push({ key, at: this.#now, keep: this.#candidateOf(engine, index, request).room === 0 })
    this.#unreportedDemands.push({ at: this.#now, entry, engine: index })
  }

  /** A demand is withdrawn when no request waits for it any more. */
  #refuse (request: SimulatedRequest): void {
    this.#waiting.delete(request)
    const awaited = [...this.#waiting].some(({ key }) => key === request.key)
    if (!awaited) for (const engine of this.#engines) engine.loadQueue = engine.loadQueue.filter(({ key, keep }) => key !== request.key || !keep)
    this.#outcome(request.kind).refused += 1
  }

  #selectionOf (request: SimulatedRequest): EngineSelection {
    const { kind, key, arrived } = request
    const left = kind.objectiveMs - (this.#now - arrived)
    const { adapterSlots } = this.pattern
    return { candidates: this.#engines.map((engine, index) => this.#candidateOf(engine, index, request)), domain: 'd', key, timeToObjectiveMs: left > 0 ? left : Infinity, adapterSlots }
  }

  #candidateOf (engine: Engine, index: number, { key, tokens, entry, kind }: SimulatedRequest): EngineCandidate {
    const report = this.#reports[0]?.[index]
    const recent = this.#reports.at(-roomDelayMs / tickMs)?.[index]
    const unreported = this.#unreported.filter(sent => sent.engine === index && sent.entry === entry)
    const demands = this.#unreportedDemands.filter(sent => sent.engine === index && sent.entry === entry && this.#now - sent.at < roomDelayMs).length
    const unread = Math.max(0, (report?.unread ?? 0) - reportDelayMs * engine.prefillRate) + unreported.reduce((sum, sent) => sum + sent.tokens, 0)
    return {
      id: engine.id,
      hash: engine.hash,
      domain: 'd',
      load: (report?.load ?? 0) + unreported.length,
      slots: this.pattern.slots,
      unhealthy: false,
      fallback: false,
      // Entries learn of loads without delay.
      holds: engine.held.has(key),
      coming: engine.coming.has(key) || isDemanded(engine, key, false),
      queued: isDemanded(engine, key, true),
      expectedMs: (unread + tokens) / engine.prefillRate,
      runMs: this.#paces === undefined ? 0 : kind.runMs * engine.runFactor,
      weight: this.#paces?.weightOf(paceOf(engine)) ?? 1,
      warm: engine.warm.has(key),
      canRequestLoad: this.#now - (engine.declined.get(key) ?? -Infinity) > declineBackoffMs,
      room: this.policy.seesRoom === false ? undefined : Math.max(0, (recent?.room ?? this.pattern.adapterSlots) - demands),
      slotMs: ((recent?.queued ?? 0) + 1) * slotIntervalMs
    }
  }
}

const paceOf = ({ prefillRate, runFactor }: Engine): Pace => ({ prefillMs: 1000 / prefillRate, tokenMs: runFactor })

/** Whether a demand for the key waits at the engine; `keep`: one that is kept, or one that is not. */
const isDemanded = ({ loadQueue }: Engine, key: string, keep?: boolean): boolean => loadQueue.some(demand => demand.key === key && (keep === undefined || demand.keep === keep))

/** Share of the requests that met their objective, over all kinds or one. */
export const shareInTime = (outcomes: ReadonlyMap<string, Outcome>, name?: string): number => {
  const chosen = [...outcomes].filter(([kind]) => name === undefined || kind === name).map(([, outcome]) => outcome)
  return chosen.reduce((sum, { inTime }) => sum + inTime, 0) / chosen.reduce((sum, { requests: asked }) => sum + asked, 0)
}
