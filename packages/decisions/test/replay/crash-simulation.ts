/**
 * A discrete-event simulation of engine crashes, caused by a request or by something else, that compares the policies by which requests
 * are quarantined.
 *
 * 230 requests arrive per second. Each runs 0.3 to 1.8 s on a random one of 13 engines, which makes about 18 per engine. A crashed
 * engine drops all that it runs and is available again after 4 s. The caller of a dropped request retries once, and three callers in
 * ten retry up to three times. One request in ten is one of 20 that many callers send alike.
 */
import { Fingerprint } from '@finchpitch/core'
import { CrashHistory, type QuarantineLimits } from '@finchpitch/decisions'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

export interface CrashPattern {
  /** Milliseconds between sends of the request that crashes its engine; it is never sent if absent. */
  fatalIntervalMs?: number
  /** Milliseconds between crashes of another cause; there are none if absent. */
  crashIntervalMs?: number
  /** Engines that crash at the same time in each crash of another cause; 1 if absent. */
  simultaneousCrashes?: number
}

export interface CrashCounts {
  /** Requests that were never served, without the one that crashes engines. */
  lost: number
  /** Of those, requests that were lost because they were quarantined. */
  refused: number
  /** Crashes of engines, of any cause. */
  crashes: number
}

const engineCount = 13
const durationMs = 60_000
const arrivalMs = 1000 / 230
const restartMs = 4000
const fatalRunMs = 100
const retryDelayMs = 50
const persistentShare = 0.3
const popularShare = 0.1
const popularCount = 20

const fingerprintOf = (name: string): Fingerprint => Fingerprint.parse(name.padEnd(16, '_'))

/** `fatal`: it crashes the engine that runs it. */
interface Request { fingerprint: Fingerprint, retriesLeft: number, fatal: boolean }
interface Attempt { ask: Request, sentAt: number }

export class CrashSimulation {
  readonly counts: CrashCounts = { lost: 0, refused: 0, crashes: 0 }
  readonly #history: CrashHistory
  readonly #random
  readonly #engines: Array<{ attempts: Set<Attempt>, availableAt: number, incarnation: number }>
  #events: Array<{ at: number, run: () => void }> = []
  #now = 0

  constructor (limits: QuarantineLimits, private readonly pattern: CrashPattern, seed: number) {
    this.#history = new CrashHistory(limits)
    this.#random = xoroshiro128plus(seed)
    this.#engines = Array.from({ length: engineCount }, () => ({ attempts: new Set<Attempt>(), availableAt: 0, incarnation: 0 }))
  }

  run (): CrashCounts {
    const { fatalIntervalMs, crashIntervalMs, simultaneousCrashes = 1 } = this.pattern
    for (let at = 0, index = 0; at < durationMs; at += arrivalMs, index++) this.#schedule(at, () => this.#arrive(index))
    if (fatalIntervalMs !== undefined) for (let at = 5000; at < durationMs; at += fatalIntervalMs) this.#schedule(at, () => this.#send({ fingerprint: fingerprintOf('fatal'), retriesLeft: 1, fatal: true }))
    if (crashIntervalMs !== undefined) for (let at = 5000; at < durationMs; at += crashIntervalMs) this.#schedule(at, () => { for (let each = 0; each < simultaneousCrashes; each++) this.#crash(this.#pick(this.#available)) })
    this.#events.sort((a, b) => b.at - a.at)
    for (let event = this.#events.pop(); event !== undefined; event = this.#events.pop()) {
      this.#now = event.at
      event.run()
    }
    return this.counts
  }

  /** Keeps the events in reverse order of time, the next one last. Those scheduled before the start are sorted when it begins. */
  #schedule (at: number, run: () => void): void {
    if (this.#now === 0) {
      this.#events.push({ at, run })
      return
    }
    let index = this.#events.length
    while (index > 0 && (this.#events[index - 1]?.at ?? Infinity) <= at) index -= 1
    this.#events.splice(index, 0, { at, run })
  }

  #uniform (): number {
    return uniformFloat64(this.#random)
  }

  #arrive (index: number): void {
    const popular = this.#uniform() < popularShare
    const retriesLeft = this.#uniform() < persistentShare ? 3 : 1
    this.#send({ fingerprint: fingerprintOf(popular ? `popular${Math.floor(this.#uniform() * popularCount)}` : `r${index}`), retriesLeft, fatal: false })
  }

  /** The indexes of the engines that are available. */
  get #available (): number[] {
    return this.#engines.flatMap((engine, index) => engine.availableAt <= this.#now ? [index] : [])
  }

  #pick (indexes: number[]): number {
    return indexes[Math.floor(this.#uniform() * indexes.length)] ?? 0
  }

  #send (request: Request): void {
    if (this.#history.quarantine(request.fingerprint, this.#now) !== undefined) {
      if (!request.fatal) this.counts.refused += 1
      return this.#lose(request)
    }
    if (this.#history.probeDue(request.fingerprint, this.#now)) this.#history.recordProbe({ fingerprint: request.fingerprint, at: this.#now }, this.#now)
    const index = this.#pick(this.#available)
    const engine = this.#engines[index]
    const attempt = { ask: request, sentAt: this.#now }
    engine?.attempts.add(attempt)
    const ms = request.fatal ? fatalRunMs : 300 + this.#uniform() * 1500
    this.#schedule(this.#now + ms, () => {
      if (engine?.attempts.has(attempt) !== true) return
      if (request.fatal) return this.#crash(index)
      engine.attempts.delete(attempt)
      this.#history.sound({ fingerprint: request.fingerprint, endedAt: this.#now })
    })
  }

  #lose (request: Request): void {
    if (!request.fatal) this.counts.lost += 1
  }

  #crash (index: number): void {
    const engine = this.#engines[index]
    if (engine === undefined) return
    this.counts.crashes += 1
    engine.incarnation += 1
    engine.availableAt = this.#now + restartMs
    for (const { ask: request, sentAt } of engine.attempts) {
      this.#history.recordCrash({ fingerprint: request.fingerprint, server: `${index} ${engine.incarnation}`, sentAt, endedAt: this.#now }, this.#now)
      if (request.retriesLeft === 0) this.#lose(request)
      else this.#schedule(this.#now + retryDelayMs, () => this.#send({ ...request, retriesLeft: request.retriesLeft - 1 }))
    }
    engine.attempts.clear()
  }
}
