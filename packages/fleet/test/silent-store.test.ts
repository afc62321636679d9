/*
 * Four entries refused a route 2.2 s after it had been added: the store had been silent for twelve seconds, answered again, and
 * none of the four asked it anything for three seconds more. Each had asked all its watches anew 70 ms before the store's
 * return, since one of them had just failed; such a call is never answered, and one of the table was given up only after 4 s,
 * the longest that a watch may wait and a second.
 *
 * What settled it: the store counted four calls of each entry in the second before its return and none in the next two, and
 * all four entries told `store.regained` of the table 4.1 to 4.3 s after those calls.
 */
import { pause, quietLog } from '@finchpitch/core'
import { Facts, Outage, Turn, follow, gatherMs, type Fact, type FactPage, type FactSource, type StoreFailure } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'

/** A source gives up on an answer that has not come so long after the wait it asked for. */
const answerMs = 1000
const kinds = ['table', 'server', 'version'] as const
/** A change has to be in force so long after the store has acknowledged it. */
const applyMs = 2000
/**
 * So long after its connections went silent a process counts as in touch again. For a named version it is what is left of the
 * 5 s allowed, as the one before is used for 2 s after the new one was learned.
 */
const contactMs = 3000
const limits = { headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }

/** A store whose connections may go silent: calls made or waiting in that time are never answered. */
class SilentStore {
  #silent = new Set<Fact['kind']>()
  #revision = 1
  #changes: Fact[] = []
  readonly #wakers = new Set<() => void>()
  calls = 0

  silence (of: readonly Fact['kind'][]): void {
    this.#silent = new Set(of)
    this.#wakeAll()
  }

  change (kind: Fact['kind'], version: number): void {
    this.#revision += 1
    const value = kind === 'table' ? { version, routes: [], services: [], limits } : { model: 'm', adapter: 'a', version }
    this.#changes.push({ kind, key: kind === 'table' ? 'table' : 'm/a', revision: this.#revision, value } as Fact)
    this.#wakeAll()
  }

  source (kind: Fact['kind']): FactSource {
    return {
      kind,
      list: async () => await this.#answer(kind, 0, 0),
      changes: async (revision, waitMs, signal) => await this.#answer(kind, revision, waitMs, signal)
    }
  }

  async #answer (kind: Fact['kind'], revision: number, waitMs: number, signal?: AbortSignal): Promise<Result<FactPage, StoreFailure>> {
    this.calls += 1
    const askedAt = performance.now()
    let lost = this.#silent.has(kind)
    while (!lost && signal?.aborted !== true && this.#since(kind, revision).length === 0 && performance.now() - askedAt < waitMs) {
      await this.#changed(waitMs - (performance.now() - askedAt), signal)
      lost ||= this.#silent.has(kind)
    }
    if (lost) await pause(waitMs + answerMs - (performance.now() - askedAt), signal)
    if (lost || signal?.aborted === true) return err({ code: 'unreachable', detail: 'no answer' })
    return ok({ facts: this.#since(kind, revision), revision: this.#revision })
  }

  #since (kind: Fact['kind'], revision: number): Fact[] {
    return this.#changes.filter(change => change.kind === kind && change.revision > revision)
  }

  #wakeAll (): void {
    for (const wake of this.#wakers) wake()
  }

  async #changed (mostMs: number, signal?: AbortSignal): Promise<void> {
    const woken = new AbortController()
    const wake = (): void => woken.abort()
    this.#wakers.add(wake)
    await pause(mostMs, signal === undefined ? woken.signal : AbortSignal.any([signal, woken.signal]))
    this.#wakers.delete(wake)
  }
}

/** One process that watches the store, from its start. */
class Watching {
  readonly store = new SilentStore()
  readonly facts = new Facts(quietLog, () => 1000)
  readonly #stop = new AbortController()

  constructor () {
    const turn = new Turn()
    const outage = new Outage()
    this.store.change('table', 1)
    this.store.change('version', 1)
    for (const kind of kinds) {
      const restMs = (of: Fact['kind']): number => gatherMs(of, 4, 2000)
      void follow({ source: this.store.source(kind), facts: this.facts, log: quietLog, signal: this.#stop.signal, outage, turn, restMs })
    }
  }

  inForce (kind: 'table' | 'version'): number | undefined {
    return kind === 'table' ? this.facts.routes?.table.version : this.facts.version('m/a')?.version
  }

  stop (): void {
    this.#stop.abort()
  }
}

describe('watches of a store whose connections went silent', () => {
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  it('learn of a change in time after its return, however long it was silent', async () => {
    const late: number[] = []
    for (let silentMs = 1000; silentMs <= 16_000; silentMs += 250) {
      const watching = new Watching()
      await time.pass(2000)
      watching.store.silence(kinds)
      await time.pass(silentMs)
      watching.store.silence([])
      watching.store.change('table', 2)
      watching.store.change('version', 2)
      await time.pass(applyMs)
      if (watching.inForce('table') !== 2 || watching.inForce('version') !== 2) late.push(silentMs)
      watching.stop()
    }
    expect(late).to.deep.equal([])
  })

  for (const kind of ['table', 'version'] as const) {
    it(`learn of a change of a ${kind} in time where its watch alone hangs on a dead connection, whenever that died`, async () => {
      const late: number[] = []
      for (let liveMs = 0; liveMs <= 6000; liveMs += 250) {
        const watching = new Watching()
        await time.pass(2000 + liveMs)
        watching.store.silence([kind])
        // What is asked anew comes on a new connection.
        setTimeout(() => watching.store.silence([]), 0)
        await time.pass(contactMs - applyMs)
        watching.store.change(kind, 2)
        await time.pass(applyMs)
        if (watching.inForce(kind) !== 2) late.push(liveMs)
        watching.stop()
      }
      expect(late).to.deep.equal([])
    })
  }
})
