/**
 * A discrete-event simulation of engines that crash under parts of prompts, or of something else, that compares the policies by which
 * parts are quarantined.
 *
 * 100 requests arrive per second at three entries, and run 0.3 to 2 s on a random one of 13 engines, which are available again 3.5 s
 * after a crash. All state the same first part, and one of 40 others, the most popular 30 times as often as the rarest. Requests with a bad
 * part crash their engine 80 ms after they were sent. An entry knows of crashes elsewhere 30 ms later, and of completed runs 400 ms later.
 */
import { Fingerprint, partFingerprintPrefix } from '@finchpitch/core'
import { CrashHistory, type CompletedRun, type Crash, type CrashVerdict, type Probe, type QuarantineLimits } from '@finchpitch/decisions'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

export interface PartPattern {
  /** The parts of each kind of bad request besides the first, of which the last is the bad one; they are sent in turn. */
  bad?: ReadonlyArray<readonly string[]>
  badIntervalMs?: number
  /** Milliseconds between crashes of another cause; there are none if absent. */
  crashIntervalMs?: number
  /** Engines that crash at the same time in each crash of another cause; 1 if absent. */
  simultaneousCrashes?: number
  /** Share of the sound requests that have the part `companion`. */
  companionShare?: number
  /** Number of teams that send bad requests; 1 if absent. */
  teams?: number
}

export interface PartCounts {
  badRuns: number
  /** Of those, the ones that were sent later than 3 s after the fifth crash under a bad part. */
  lateBadRuns: number
  sound: number
  /** Sound requests that were refused. */
  refused: number
  /** Of those, the ones that arrived later than 6 s after the fifth crash, or the last if there were fewer. */
  lateRefused: number
  companions: number
  /** Sound requests with the part `companion` that were refused. */
  companionsRefused: number
  /** Sound requests that were lost in crashes. */
  lost: number
}

/** What an entry knows. */
export interface PartPolicy {
  verdict: (work: readonly Fingerprint[], now: number) => CrashVerdict
  mayProbe: (fingerprint: Fingerprint, now: number) => boolean
  recordCrash: (crash: Crash, now: number) => void
  recordProbe: (probe: Probe, now: number) => boolean
  sound: (run: CompletedRun) => void
}

export const companion = 'companion'
const firstPart = 'first'
const durationMs = 40_000
const troubleAt = 5000
const entryCount = 3
const engineCount = 13
const arrivalMs = 10
const restartMs = 3500
const badRunMs = 80
const crashNewsMs = 30
const completionNewsMs = 400
const otherParts = 40
const defaultCompanionShare = 0.05
const contactMs = 3000
const maxCrashes = 5

const fingerprintOf = (name: string): Fingerprint => Fingerprint.parse(name.padEnd(16, '-').slice(0, 16))

/** Without explanation by stronger suspects: a history of its own for each fingerprint. */
export const separateHistories = (limits: QuarantineLimits): PartPolicy => {
  const histories = new Map<Fingerprint, CrashHistory>()
  const historyOf = (fingerprint: Fingerprint): CrashHistory => {
    const history = histories.get(fingerprint) ?? new CrashHistory(limits)
    histories.set(fingerprint, history)
    return history
  }
  return {
    verdict: (work, now) => {
      const verdicts = work.map(fingerprint => historyOf(fingerprint).verdict([fingerprint], now))
      return verdicts.find(({ type }) => type === 'quarantined') ?? verdicts.find(({ type }) => type === 'probe') ?? { type: 'run' }
    },
    mayProbe: (fingerprint, now) => historyOf(fingerprint).mayProbe(fingerprint, now),
    recordCrash: (crash, now) => historyOf(crash.fingerprint).recordCrash(crash, now),
    recordProbe: (probe, now) => historyOf(probe.fingerprint).recordProbe(probe, now),
    sound: completed => historyOf(completed.fingerprint).sound(completed)
  }
}

interface Request { work: readonly Fingerprint[], bad: boolean, arrivedAt: number }
interface Attempt { request: Request, entry: number, sentAt: number }

export class PartSimulation {
  readonly counts: PartCounts = { badRuns: 0, lateBadRuns: 0, sound: 0, refused: 0, lateRefused: 0, companions: 0, companionsRefused: 0, lost: 0 }
  readonly #entries: PartPolicy[]
  /** The side process that grants probes. */
  readonly #arbiter: PartPolicy
  readonly #random
  readonly #engines = Array.from({ length: engineCount }, () => ({ attempts: new Set<Attempt>(), availableAt: 0, incarnation: 0 }))
  readonly #badCrashTimes: number[] = []
  readonly #badSendTimes: number[] = []
  readonly #refusedTimes: number[] = []
  #events: Array<{ at: number, run: () => void }> = []
  #now = 0
  #count = 0

  constructor (policy: () => PartPolicy, private readonly pattern: PartPattern, seed: number, private readonly scoped = false) {
    this.#entries = Array.from({ length: entryCount }, policy)
    this.#arbiter = policy()
    this.#random = xoroshiro128plus(seed)
  }

  run (): PartCounts {
    const { bad, badIntervalMs = 160, crashIntervalMs, simultaneousCrashes = 1 } = this.pattern
    for (let at = 0; at < durationMs; at += arrivalMs) this.#schedule(at, () => this.#arriveSound())
    if (bad !== undefined) for (let at = troubleAt, index = 0; at < durationMs; at += badIntervalMs, index++) this.#schedule(at, () => this.#arriveBad(bad[index % bad.length] ?? [], index))
    if (crashIntervalMs !== undefined) for (let at = troubleAt; at < durationMs; at += crashIntervalMs) this.#schedule(at, () => { for (let each = 0; each < simultaneousCrashes; each++) this.#crash(this.#pickEngine(), false) })
    for (let event = this.#events.shift(); event !== undefined; event = this.#events.shift()) {
      this.#now = event.at
      event.run()
    }
    const fifthAt = this.#badCrashTimes[maxCrashes - 1] ?? this.#badCrashTimes.at(-1) ?? Infinity
    this.counts.lateBadRuns = this.#badSendTimes.filter(at => at > fifthAt + contactMs).length
    this.counts.lateRefused = this.#refusedTimes.filter(at => at > Math.min(fifthAt, durationMs / 2) + 2 * contactMs).length
    return this.counts
  }

  #schedule (at: number, run: () => void): void {
    let index = this.#events.length
    while (index > 0 && (this.#events[index - 1]?.at ?? 0) > at) index -= 1
    this.#events.splice(index, 0, { at, run })
  }

  #uniform (): number {
    return uniformFloat64(this.#random)
  }

  #part (name: string, team: number): Fingerprint {
    return fingerprintOf(`${partFingerprintPrefix}${name}${this.scoped ? team : ''}`)
  }

  #arriveSound (): void {
    this.counts.sound += 1
    const other = this.#uniform() < (this.pattern.companionShare ?? defaultCompanionShare) ? companion : `other${Math.floor(otherParts * this.#uniform() ** 2)}`
    const team = this.#count % (this.pattern.teams ?? 1)
    if (other === companion) this.counts.companions += 1
    const refusedBefore = this.counts.refused
    this.#send([this.#part(firstPart, team), this.#part(other, team)], false)
    if (other === companion) this.counts.companionsRefused += this.counts.refused - refusedBefore
  }

  #arriveBad (parts: readonly string[], index: number): void {
    const team = index % (this.pattern.teams ?? 1)
    this.#send([firstPart, ...parts].map(part => this.#part(part, team)), true)
  }

  #pickEngine (): number {
    const available = this.#engines.flatMap((engine, index) => engine.availableAt <= this.#now ? [index] : [])
    return available[Math.floor(this.#uniform() * available.length)] ?? 0
  }

  #send (parts: readonly Fingerprint[], bad: boolean): void {
    const entry = this.#count % entryCount
    this.#count += 1
    const request: Request = { work: [...parts, fingerprintOf(`r${this.#count}`)], bad, arrivedAt: this.#now }
    const verdict = this.#entries[entry]?.verdict(request.work, this.#now) ?? { type: 'run' }
    if (verdict.type === 'quarantined' || (verdict.type === 'probe' && !verdict.of.every(fingerprint => this.#grant(fingerprint)))) {
      if (!bad) this.#refusedTimes.push(this.#now)
      if (!bad) this.counts.refused += 1
      return
    }
    if (bad) this.counts.badRuns += 1
    if (bad) this.#badSendTimes.push(this.#now)
    this.#run({ request, entry, sentAt: this.#now })
  }

  #grant (fingerprint: Fingerprint): boolean {
    const probe = { fingerprint, at: this.#now }
    if (!this.#arbiter.mayProbe(fingerprint, this.#now) || !this.#arbiter.recordProbe(probe, this.#now)) return false
    this.#schedule(this.#now + crashNewsMs, () => { for (const entry of this.#entries) entry.recordProbe(probe, this.#now) })
    return true
  }

  #run (attempt: Attempt): void {
    const index = this.#pickEngine()
    const engine = this.#engines[index]
    engine?.attempts.add(attempt)
    const { request } = attempt
    this.#schedule(this.#now + (request.bad ? badRunMs : 300 + this.#uniform() * 1700), () => {
      if (engine?.attempts.has(attempt) !== true) return
      if (request.bad) return this.#crash(index, true)
      engine.attempts.delete(attempt)
      const completedAt = this.#now
      for (const fingerprint of request.work) this.#tell(attempt.entry, completionNewsMs, policy => policy.sound({ fingerprint, endedAt: completedAt }))
    })
  }

  /** Applies news at the entry where it arose now, and at all others later. */
  #tell (entry: number, delayMs: number, apply: (policy: PartPolicy) => void): void {
    const own = this.#entries[entry]
    if (own !== undefined) apply(own)
    this.#schedule(this.#now + delayMs, () => { for (const policy of [...this.#entries, this.#arbiter]) if (policy !== own) apply(policy) })
  }

  #crash (index: number, byPart: boolean): void {
    const engine = this.#engines[index]
    if (engine === undefined) return
    if (byPart) this.#badCrashTimes.push(this.#now)
    engine.incarnation += 1
    engine.availableAt = this.#now + restartMs
    const crashedAt = this.#now
    for (const { request, entry, sentAt } of [...engine.attempts].sort((a, b) => b.sentAt - a.sentAt)) {
      if (!request.bad) this.counts.lost += 1
      for (const fingerprint of request.work) this.#tell(entry, crashNewsMs, policy => policy.recordCrash({ fingerprint, server: `${index} ${engine.incarnation}`, sentAt, endedAt: crashedAt }, this.#now))
    }
    engine.attempts.clear()
  }
}
