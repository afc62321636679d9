/**
 * A replay of engines that end under a request, or of other causes, for the rule that says when a request is refused.
 *
 * Callers ask 230 times a second; a request runs 0.3 to 1.8 s on a random engine of 13, so that some 18 run on each. An
 * engine that ends cuts off all that it runs and is back after 4 s. Callers that are cut off ask once more, and three in
 * ten three times more. Some requests are asked for by many callers, the same each time.
 */
import { RequestFingerprint } from '@finchpitch/core'
import { CrashLedger, type CrashLimits } from '@finchpitch/decisions'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

export interface CrashPattern {
  /** Ms between two sendings of the request that ends its engine; none where absent. */
  fatalEveryMs?: number
  /** Ms between two ends of another cause; none where absent. */
  endEveryMs?: number
  /** Engines that end together of another cause. */
  together?: number
}

export interface CrashCounts {
  /** Requests of callers that were never served, without the one that ends engines. */
  lost: number
  /** Of them, those that were refused at their last try. */
  refused: number
  ends: number
}

const engineCount = 13
const durationMs = 60_000
const arrivalMs = 1000 / 230
const downMs = 4000
const fatalMs = 100
const comesBackMs = 50
const abusiveShare = 0.3
const popularShare = 0.1
const popularCount = 20

const fingerprintOf = (name: string): RequestFingerprint => RequestFingerprint.parse(name.padEnd(16, '_'))

interface Ask { fingerprint: RequestFingerprint, left: number, fatal: boolean }
interface Run { ask: Ask, sentAt: number }

export class CrashReplay {
  readonly counts: CrashCounts = { lost: 0, refused: 0, ends: 0 }
  readonly #ledger: CrashLedger
  readonly #random
  readonly #engines: Array<{ runs: Set<Run>, upAt: number, life: number }>
  #events: Array<{ at: number, run: () => void }> = []
  #now = 0

  constructor (limits: CrashLimits, private readonly pattern: CrashPattern, seed: number) {
    this.#ledger = new CrashLedger(limits)
    this.#random = xoroshiro128plus(seed)
    this.#engines = Array.from({ length: engineCount }, () => ({ runs: new Set<Run>(), upAt: 0, life: 0 }))
  }

  play (): CrashCounts {
    const { fatalEveryMs, endEveryMs, together = 1 } = this.pattern
    for (let at = 0, each = 0; at < durationMs; at += arrivalMs, each++) this.#at(at, () => this.#arrive(each))
    if (fatalEveryMs !== undefined) for (let at = 5000; at < durationMs; at += fatalEveryMs) this.#at(at, () => this.#send({ fingerprint: fingerprintOf('fatal'), left: 1, fatal: true }))
    if (endEveryMs !== undefined) for (let at = 5000; at < durationMs; at += endEveryMs) this.#at(at, () => { for (let each = 0; each < together; each++) this.#end(this.#pick(this.#up)) })
    this.#events.sort((a, b) => b.at - a.at)
    for (let event = this.#events.pop(); event !== undefined; event = this.#events.pop()) {
      this.#now = event.at
      event.run()
    }
    return this.counts
  }

  /** The soonest last. */
  #at (at: number, run: () => void): void {
    if (this.#now === 0) {
      this.#events.push({ at, run })
      return
    }
    let place = this.#events.length
    while (place > 0 && (this.#events[place - 1]?.at ?? Infinity) <= at) place -= 1
    this.#events.splice(place, 0, { at, run })
  }

  #draw (): number {
    return uniformFloat64(this.#random)
  }

  #arrive (each: number): void {
    const popular = this.#draw() < popularShare
    const left = this.#draw() < abusiveShare ? 3 : 1
    this.#send({ fingerprint: fingerprintOf(popular ? `popular${Math.floor(this.#draw() * popularCount)}` : `r${each}`), left, fatal: false })
  }

  get #up (): number[] {
    return this.#engines.flatMap((engine, at) => engine.upAt <= this.#now ? [at] : [])
  }

  #pick (places: number[]): number {
    return places[Math.floor(this.#draw() * places.length)] ?? 0
  }

  #send (ask: Ask): void {
    if (this.#ledger.quarantine(ask.fingerprint, this.#now) !== undefined) {
      if (!ask.fatal) this.counts.refused += 1
      return this.#lose(ask)
    }
    if (this.#ledger.probeDue(ask.fingerprint, this.#now)) this.#ledger.probed({ fingerprint: ask.fingerprint, at: this.#now }, this.#now)
    const place = this.#pick(this.#up)
    const engine = this.#engines[place]
    const run = { ask, sentAt: this.#now }
    engine?.runs.add(run)
    const ms = ask.fatal ? fatalMs : 300 + this.#draw() * 1500
    this.#at(this.#now + ms, () => {
      if (engine?.runs.has(run) !== true) return
      if (ask.fatal) return this.#end(place)
      engine.runs.delete(run)
      this.#ledger.sound({ fingerprint: ask.fingerprint, endedAt: this.#now })
    })
  }

  #lose (ask: Ask): void {
    if (!ask.fatal) this.counts.lost += 1
  }

  #end (place: number): void {
    const engine = this.#engines[place]
    if (engine === undefined) return
    this.counts.ends += 1
    engine.life += 1
    engine.upAt = this.#now + downMs
    for (const { ask, sentAt } of engine.runs) {
      this.#ledger.crashed({ fingerprint: ask.fingerprint, server: `${place} ${engine.life}`, sentAt, endedAt: this.#now }, this.#now)
      if (ask.left === 0) this.#lose(ask)
      else this.#at(this.#now + comesBackMs, () => this.#send({ ...ask, left: ask.left - 1 }))
    }
    engine.runs.clear()
  }
}
