/**
 * A replay of load: generations over many engines on a virtual clock, decided by the functions that decide in an entry.
 *
 * Engines read prompts in the order of their ranks, one after the other, hold a few adapters and bring others in; entries
 * know them as they were a while ago. It is a model of what this system serves, with the times that its own logs show, for
 * tests that compare one rule with another under the same load. It has no failures, no domains and no network.
 */
import { chooseEngine, mostComing, rankOf, waitShare, type Choice, type EngineChoice, type EngineOption, type Urgency } from '@finchpitch/fleet'
import { hashOf } from '@finchpitch/decisions'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** One kind of request. */
export interface Kind {
  name: string
  perSecond: number
  tokens: { least: number, most: number }
  objectiveMs: number
  deadlineMs: number
  priority: number
  /** From the first token to the last. */
  runMs: number
}

export interface Pattern {
  seed: number
  seconds: number
  engines: number
  slots: number
  places: number
  adapters: number
  entries: number
  kinds: readonly Kind[]
  /** How many times as much comes in the middle third. */
  burst: number
  /** Engines read at this part of their pace; the first ones. */
  slow?: { engines: number, share: number }
}

/** A baseline: the holder with the fewest requests, and where there is none, the engine with the fewest. */
export const leastOutstanding = ({ options }: EngineChoice): Choice => {
  const holders = options.filter(option => option.holds)
  const [least] = (holders.length > 0 ? holders : [...options]).sort((a, b) => a.load - b.load)
  if (least === undefined) return { type: 'none', reason: 'no engine' }
  if (holders.length > 0) return { type: 'send', id: least.id, reason: 'fewest requests', expectedMs: 0 }
  const coming = options.some(option => option.coming)
  return { type: 'bring', ask: coming ? undefined : least.id, held: false, reason: 'held nowhere' }
}

/** What is compared: how an entry chooses, and who goes first, the lowest rank. */
export interface Policy {
  choose: (choice: EngineChoice) => Choice
  rank: (urgency: Urgency) => number
}

/** The rules in use. */
export const ownPolicy: Policy = { choose: chooseEngine, rank: rankOf }

export interface Outcome {
  asked: number
  inTime: number
  late: number
  refused: number
}

const tickMs = 5
/** Played on after the last arrival, so that all that came are served or refused. */
const restMs = 6000
/** Prompt tokens that an engine reads in a millisecond, by the deployments' sheets. */
const tokensPerMs = 38.7
/** A load from the weight store and from the engine's own memory, by the times that side processes log. */
const coldMs = 250
const warmMs = 25
/** Adapters that an engine has at hand beside those it holds, by the sheets. */
const warmCopies = 96
/** An adapter that came in or was used less long ago isn't let go: its requests are on their way. */
const freshMs = 100
/** Age of what an entry knows of an engine. */
const newsMs = 250
/** The larger, the fewer adapters have most of the requests, and the fewer prompts are nearly as long as the longest. */
const popularitySkew = 5
const lengthSkew = 3

interface Job {
  kind: Kind
  key: string
  tokens: number
  /** Of them, not read yet. */
  unread: number
  arrived: number
  entry: number
  sentAt: number
  /** An engine is told the rank once, with the request. */
  sentRank: number
}

interface Engine {
  id: string
  hash: number
  /** Prompt tokens a millisecond. */
  pace: number
  /** Prompts that it has not read to their end, the next ones first. */
  reading: Job[]
  running: Array<{ job: Job, endsAt: number }>
  /** Adapters and when each was last used; on their way, and when each is there; at hand, the oldest first. */
  held: Map<string, number>
  coming: Map<string, number>
  warm: Set<string>
  /** What entries asked for, the first first. */
  asked: string[]
}

/** What entries are told of an engine's load. */
interface Told {
  load: number
  unread: number
}

/** A request that an entry sent and is not told of yet. */
interface Sent {
  at: number
  entry: number
  engine: number
  tokens: number
}

const nothingYet = (): Outcome => ({ asked: 0, inTime: 0, late: 0, refused: 0 })

const range = (count: number): number[] => Array.from({ length: count }, (_, at) => at)

export class LoadReplay {
  readonly outcomes = new Map<string, Outcome>()
  readonly #random: RandomGenerator
  readonly #engines: Engine[]
  /** What is told of each engine, a while after it was so. */
  readonly #news: Told[][] = []
  readonly #waiting = new Set<Job>()
  readonly #recent: Sent[] = []
  #now = 0

  constructor (private readonly pattern: Pattern, private readonly policy: Policy) {
    this.#random = xoroshiro128plus(pattern.seed)
    const { engines, slow } = pattern
    const paceOf = (at: number): number => slow !== undefined && at < slow.engines ? tokensPerMs * slow.share : tokensPerMs
    this.#engines = range(engines).map(at => ({
      id: `engine-${at}`, hash: hashOf(`engine-${at}`), pace: paceOf(at), reading: [], running: [], held: new Map(), coming: new Map(), warm: new Set(), asked: []
    }))
    for (const { name } of pattern.kinds) this.outcomes.set(name, nothingYet())
  }

  /** Plays it to the end; gives the outcomes by kind. */
  play (): ReadonlyMap<string, Outcome> {
    const end = this.pattern.seconds * 1000
    for (this.#now = 0; this.#now < end + restMs; this.#now += tickMs) {
      if (this.#now < end) this.#arrive()
      for (const engine of this.#engines) this.#advance(engine)
      this.#tell()
      this.#decide()
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
        this.#outcome(kind).asked += 1
      }
    }
  }

  #outcome (kind: Kind): Outcome {
    return this.outcomes.get(kind.name) ?? nothingYet()
  }

  #advance (engine: Engine): void {
    engine.running = engine.running.filter(({ endsAt }) => endsAt > this.#now)
    for (const [key, at] of engine.coming) {
      if (at > this.#now) continue
      engine.coming.delete(key)
      engine.held.set(key, this.#now)
    }
    let tokens = engine.pace * tickMs
    engine.reading.sort((a, b) => a.sentRank - b.sentRank || a.sentAt - b.sentAt)
    while (tokens > 0 && engine.reading[0] !== undefined) {
      const job = engine.reading[0]
      const read = Math.min(tokens, job.unread)
      job.unread -= read
      tokens -= read
      if (job.unread > 0) break
      engine.reading.shift()
      engine.running.push({ job, endsAt: this.#now + job.kind.runMs })
      this.#outcome(job.kind)[this.#now - job.arrived <= job.kind.objectiveMs ? 'inTime' : 'late'] += 1
    }
    this.#place(engine)
  }

  /** Brings in what was asked for, in order, in place of what was used longest ago and nothing runs on. */
  #place (engine: Engine): void {
    while (engine.asked.length > 0 && engine.coming.size < mostComing) {
      const key = engine.asked[0] ?? ''
      if (!engine.held.has(key) && !engine.coming.has(key)) {
        if (engine.held.size + engine.coming.size >= this.pattern.places && !this.#evict(engine)) return
        engine.coming.set(key, this.#now + (engine.warm.has(key) ? warmMs : coldMs))
      }
      engine.asked.shift()
    }
  }

  #evict (engine: Engine): boolean {
    const used = new Set([...engine.running.map(({ job }) => job.key), ...engine.reading.map(job => job.key)])
    const [victim] = [...engine.held].filter(([key, at]) => !used.has(key) && this.#now - at > freshMs).sort(([, a], [, b]) => a - b)
    if (victim === undefined) return false
    engine.held.delete(victim[0])
    engine.warm.delete(victim[0])
    engine.warm.add(victim[0])
    const [oldest] = engine.warm
    if (engine.warm.size > warmCopies && oldest !== undefined) engine.warm.delete(oldest)
    return true
  }

  #tell (): void {
    this.#news.push(this.#engines.map(({ reading, running }) => ({
      load: reading.length + running.length, unread: reading.reduce((sum, job) => sum + job.unread, 0)
    })))
    if (this.#news.length > newsMs / tickMs) this.#news.shift()
    while (this.#recent[0] !== undefined && this.#now - this.#recent[0].at > newsMs) this.#recent.shift()
  }

  #rank ({ kind, arrived, tokens }: Job): number {
    return this.policy.rank({ priority: kind.priority, objectiveMs: kind.objectiveMs, elapsedMs: this.#now - arrived, readingMs: tokens / tokensPerMs })
  }

  #decide (): void {
    const ranked = [...this.#waiting].map(job => ({ job, rank: this.#rank(job) }))
    ranked.sort((a, b) => a.rank - b.rank || a.job.arrived - b.job.arrived)
    for (const { job } of ranked) {
      const choice = this.policy.choose(this.#choiceOf(job))
      if (choice.type === 'send') this.#send(job, Number(choice.id.split('-')[1]))
      else if (choice.type === 'bring' && choice.ask !== undefined) this.#ask(job, Number(choice.ask.split('-')[1]))
      if (choice.type !== 'send' && this.#now - job.arrived > job.kind.deadlineMs * waitShare) this.#refuse(job)
    }
  }

  #send (job: Job, at: number): void {
    this.#waiting.delete(job)
    job.sentAt = this.#now
    job.sentRank = this.#rank(job)
    const engine = this.#engines[at]
    if (engine === undefined) return
    engine.held.set(job.key, this.#now)
    engine.reading.push(job)
    this.#recent.push({ at: this.#now, entry: job.entry, engine: at, tokens: job.tokens })
  }

  #ask ({ key }: Job, at: number): void {
    const engine = this.#engines[at]
    if (engine !== undefined && !engine.asked.includes(key) && !engine.coming.has(key)) engine.asked.push(key)
  }

  #refuse (job: Job): void {
    this.#waiting.delete(job)
    this.#outcome(job.kind).refused += 1
  }

  #choiceOf (job: Job): EngineChoice {
    const { kind, key, arrived } = job
    const left = kind.objectiveMs - (this.#now - arrived)
    return { options: this.#engines.map((engine, at) => this.#optionOf(engine, at, job)), domain: 'd', key, inTimeMs: left > 0 ? left : Infinity }
  }

  #optionOf (engine: Engine, at: number, { key, tokens, entry }: Job): EngineOption {
    const told = this.#news[0]?.[at]
    const own = this.#recent.filter(sent => sent.engine === at && sent.entry === entry)
    const unread = Math.max(0, (told?.unread ?? 0) - newsMs * engine.pace) + own.reduce((sum, sent) => sum + sent.tokens, 0)
    return {
      id: engine.id,
      hash: engine.hash,
      domain: 'd',
      load: (told?.load ?? 0) + own.length,
      slots: this.pattern.slots,
      doubtful: false,
      lapsed: false,
      // What an entry waits for it is told at once.
      holds: engine.held.has(key),
      coming: engine.coming.has(key) || engine.asked.includes(key),
      expectedMs: (unread + tokens) / engine.pace,
      warm: engine.warm.has(key),
      orderable: true
    }
  }
}

/** Parts of what was asked, over all kinds. */
export const shareInTime = (outcomes: ReadonlyMap<string, Outcome>, name?: string): number => {
  const chosen = [...outcomes].filter(([kind]) => name === undefined || kind === name).map(([, outcome]) => outcome)
  return chosen.reduce((sum, { inTime }) => sum + inTime, 0) / chosen.reduce((sum, { asked }) => sum + asked, 0)
}
