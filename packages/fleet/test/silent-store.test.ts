/*
 * Guards against watches that hang on a dead connection after the store has recovered from an outage.
 *
 * In the failure, four entries rejected a route 2.2 s after it had been added. The store had been silent for 12 s, then answered
 * again, but none of the four called it for 3 s more. When one watch of an entry fails, the entry renews all of its watches. Each
 * of the four had done so 70 ms before the store's return. Such calls are never answered, and that for the table timed out
 * only after 4 s: the longest wait of a watch plus 1 s. The store counted four calls of each entry in the second before its
 * return and none in the next two, and all four logged `store.regained` for the table 4.1 to 4.3 s after those calls.
 */
import { pause, silentLog } from '@finchpitch/core'
import { Facts, StoreHealth, DutySwitch, watchFacts, watchPauseMs, type Fact, type FactPage, type FactSource, type StoreFailure } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'

/** Time beyond the requested wait after which a source gives up on an answer. */
const answerTimeoutMs = 1000
const kinds = ['table', 'server', 'version'] as const
/** Time after the store's acknowledgement within which a change has to be in force. */
const applyMs = 2000
/**
 * Recovery time after connections went silent, in which late changes don't count. For a named version, it is what remains of the
 * 5 s allowed, as the previous version is used for 2 s after the new one was learned.
 */
const recoveryMs = 3000
const limits = { headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }

/** A store whose connections can go silent: calls made or pending in that time are never answered. */
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
    let unanswered = this.#silent.has(kind)
    while (!unanswered && signal?.aborted !== true && this.#since(kind, revision).length === 0 && performance.now() - askedAt < waitMs) {
      await this.#changed(waitMs - (performance.now() - askedAt), signal)
      unanswered ||= this.#silent.has(kind)
    }
    if (unanswered) await pause(waitMs + answerTimeoutMs - (performance.now() - askedAt), signal)
    if (unanswered || signal?.aborted === true) return err({ code: 'unreachable', detail: 'no answer' })
    return ok({ facts: this.#since(kind, revision), revision: this.#revision })
  }

  #since (kind: Fact['kind'], revision: number): Fact[] {
    return this.#changes.filter(change => change.kind === kind && change.revision > revision)
  }

  #wakeAll (): void {
    for (const wake of this.#wakers) wake()
  }

  async #changed (maxMs: number, signal?: AbortSignal): Promise<void> {
    const waker = new AbortController()
    const wake = (): void => waker.abort()
    this.#wakers.add(wake)
    await pause(maxMs, signal === undefined ? waker.signal : AbortSignal.any([signal, waker.signal]))
    this.#wakers.delete(wake)
  }
}

/** A process that watches the store from its start. */
class WatchingProcess {
  readonly store = new SilentStore()
  readonly facts = new Facts(silentLog, () => 1000)
  readonly #stop = new AbortController()

  constructor () {
    const duty = new DutySwitch()
    const storeHealth = new StoreHealth()
    this.store.change('table', 1)
    this.store.change('version', 1)
    for (const kind of kinds) {
      const pauseMs = (of: Fact['kind']): number => watchPauseMs(of, 4, 2000)
      void watchFacts({ source: this.store.source(kind), facts: this.facts, log: silentLog, signal: this.#stop.signal, outage: storeHealth, duty, pauseMs })
    }
  }

  currentVersion (kind: 'table' | 'version'): number | undefined {
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

  it('receive a change in time after the store answers again, however long it was silent', async () => {
    const missed: number[] = []
    for (let silentMs = 1000; silentMs <= 16_000; silentMs += 250) {
      const watcher = new WatchingProcess()
      await time.advance(2000)
      watcher.store.silence(kinds)
      await time.advance(silentMs)
      watcher.store.silence([])
      watcher.store.change('table', 2)
      watcher.store.change('version', 2)
      await time.advance(applyMs)
      if (watcher.currentVersion('table') !== 2 || watcher.currentVersion('version') !== 2) missed.push(silentMs)
      watcher.stop()
    }
    expect(missed).to.deep.equal([])
  })

  for (const kind of ['table', 'version'] as const) {
    it(`receive a change of a ${kind} in time if only its watch hangs on a dead connection, whenever that died`, async () => {
      const missed: number[] = []
      for (let liveMs = 0; liveMs <= 6000; liveMs += 250) {
        const watcher = new WatchingProcess()
        await time.advance(2000 + liveMs)
        watcher.store.silence([kind])
        // Calls made from now on use a new connection, which is answered.
        setTimeout(() => watcher.store.silence([]), 0)
        await time.advance(recoveryMs - applyMs)
        watcher.store.change(kind, 2)
        await time.advance(applyMs)
        if (watcher.currentVersion(kind) !== 2) missed.push(liveMs)
        watcher.stop()
      }
      expect(missed).to.deep.equal([])
    })
  }
})
