/**
 * Manages the adapter slots of an engine: which adapter versions are loaded, which are in use, and which to load or evict next.
 *
 * An adapter version counts as loaded only if this incarnation loaded it since the engine's last restart. A request pins its slot
 * before it is sent and releases it after the last byte of the response; a pinned slot is never evicted. After a failed load, only
 * the adapter version concerned is in backoff.
 */
import { backoff, notRun, pause, type Failure, type Log, type Random, type WorkClass } from '@finchpitch/core'
import { MovingAverage, Popularity, selectVictim } from '@finchpitch/decisions'
import type { Engine } from '@finchpitch/backend'
import { err, ok, type Result } from 'neverthrow'

export interface AdapterSlotsOptions {
  engine: Engine
  fence: number
  slots: number
  log: Log
  random: Random
  /** Labels of the adapters loaded by earlier incarnations; they occupy slots until they are cleared. */
  leftovers: readonly string[]
}

export interface PinRequest {
  label: string
  source: string
  class: WorkClass
  deadline: number
}

export interface Pin {
  label: string
  boot: string
  release: () => void
}

interface Slot {
  boot: string
  pins: number
  loadMs: number
}

interface Waiter extends PinRequest {
  settle: (result: Result<Pin, Failure>) => void
}

interface Backoff {
  failures: number
  until: number
}

const initialLoadMs = 500
const clearIntervalMs = 500
/** Upper bound for the staleness of an engine's report. */
const reportLagMs = 3000
/** Cost of a waiting request by class, for choosing the next load. */
const classWeights: Record<WorkClass, number> = { desk: 8, caller: 4, batch: 1 }

export class AdapterSlots {
  readonly #slots = new Map<string, Slot>()
  readonly #waiters = new Map<string, Waiter[]>()
  readonly #popularity = new Map<string, Popularity>()
  readonly #backoffs = new Map<string, Backoff>()
  readonly #averageLoadMs = new MovingAverage(initialLoadMs)
  readonly #leftovers: Set<string>
  #loadingLabel: string | undefined
  /** Set if something changed while a slot was being freed or loaded, so that the next load has to be chosen again. */
  #changed = false

  constructor (private readonly options: AdapterSlotsOptions) {
    this.#leftovers = new Set(options.leftovers)
  }

  get labels (): string[] {
    return [...this.#slots.keys()]
  }

  isLoaded (label: string): boolean {
    return this.#slots.has(label)
  }

  /** Waits until the adapter version is loaded, and protects it from eviction until the pin is released. */
  pin (request: PinRequest, signal: AbortSignal): Promise<Result<Pin, Failure>> {
    if (signal.aborted) return Promise.resolve(err(notRun('cancelled')))
    this.#recordUse(request.label)
    const slot = this.#slots.get(request.label)
    if (slot !== undefined) return Promise.resolve(ok(this.#createPin(request.label, slot)))
    const loadBackoff = this.#backoffs.get(request.label)
    const backoffMs = (loadBackoff?.until ?? 0) - Date.now()
    if (backoffMs > 0) return Promise.resolve(err(notRun('load_failed', { retryAfterMs: backoffMs })))
    return this.#enqueue(request, signal)
  }

  /**
   * Unloads the adapters left by earlier incarnations, each once it is idle, until `signal` aborts.
   *
   * This is safe only with an engine that checks fencing tokens: after a first order with the token of this incarnation, it rejects
   * those of earlier ones. A label that is idle once the reports have caught up with that order therefore stays idle.
   */
  async clearLeftovers (mayClear: () => boolean, signal: AbortSignal): Promise<void> {
    const { engine, fence, log } = this.options
    let fencedAt: number | undefined
    while (this.#leftovers.size > 0 && !signal.aborted) {
      if (fencedAt === undefined && mayClear() && (await engine.cancel({ id: 'none', fence })).isOk()) fencedAt = Date.now()
      await pause(clearIntervalMs, signal)
      if (fencedAt === undefined || Date.now() - fencedAt < reportLagMs) continue
      const report = await engine.report()
      if (report.isErr()) continue
      for (const label of [...this.#leftovers].filter(each => !report.value.using.includes(each))) {
        const unloaded = await engine.unload({ label, fence })
        if (unloaded.isErr() && unloaded.error.code !== 'not_loaded') continue
        this.#leftovers.delete(label)
        log.info('slot.leftover_cleared', { label })
        void this.#loadNext()
      }
    }
  }

  /** The engine has restarted, with the boot id `boot` and no adapters loaded. */
  handleRestart (boot: string): void {
    this.#leftovers.clear()
    for (const [label, slot] of this.#slots) {
      if (slot.boot !== boot) this.#slots.delete(label)
    }
    this.options.log.warn('engine.restarted', { boot })
    void this.#loadNext()
  }

  #recordUse (label: string): void {
    const popularity = this.#popularity.get(label) ?? new Popularity()
    popularity.add(Date.now())
    this.#popularity.set(label, popularity)
  }

  #enqueue (request: PinRequest, signal: AbortSignal): Promise<Result<Pin, Failure>> {
    return new Promise(resolve => {
      const abandon = (failure: Failure): void => {
        const others = (this.#waiters.get(request.label) ?? []).filter(each => each !== waiter)
        if (others.length > 0) this.#waiters.set(request.label, others)
        else this.#waiters.delete(request.label)
        waiter.settle(err(failure))
      }
      const onAbort = (): void => abandon(notRun('cancelled'))
      const timer = setTimeout(() => abandon(notRun('overloaded', { detail: 'No slot fell free in time.', retryAfterMs: this.#averageLoadMs.value })), Math.max(0, request.deadline - Date.now()))
      const settle = (result: Result<Pin, Failure>): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', onAbort)
        resolve(result)
      }
      const waiter: Waiter = { ...request, settle }
      signal.addEventListener('abort', onAbort)
      this.#waiters.set(request.label, [...this.#waiters.get(request.label) ?? [], waiter])
      void this.#loadNext()
    })
  }

  #createPin (label: string, slot: Slot): Pin {
    slot.pins += 1
    let released = false
    const release = (): void => {
      if (released) return
      released = true
      slot.pins -= 1
      void this.#loadNext()
    }
    return { label, boot: slot.boot, release }
  }

  /** Loads the adapter with the highest total weight of waiting requests, one load at a time, as long as a slot can be freed. */
  async #loadNext (): Promise<void> {
    this.#changed = true
    if (this.#loadingLabel !== undefined) return
    this.#changed = false
    const next = this.#nextToLoad()
    if (next === undefined) return
    const { label } = next
    this.#loadingLabel = label
    const hasRoom = await this.#freeSlot()
    if (hasRoom) await this.#load(next)
    this.#loadingLabel = undefined
    if (hasRoom || this.#changed) void this.#loadNext()
  }

  #nextToLoad (): Waiter | undefined {
    const weight = (waiters: Waiter[]): number => waiters.reduce((sum, waiter) => sum + classWeights[waiter.class], 0)
    const groups = [...this.#waiters.values()].filter(waiters => waiters.length > 0)
    return groups.sort((a, b) => weight(b) - weight(a))[0]?.[0]
  }

  /** Evicts an adapter unless a slot is free. False while every slot is pinned; the next release of a pin tries again. */
  async #freeSlot (): Promise<boolean> {
    if (this.#slots.size + this.#leftovers.size < this.options.slots) return true
    const now = Date.now()
    const candidates = [...this.#slots].map(([label, { pins, loadMs }]) =>
      ({ label, pins, loadMs, popularity: this.#popularity.get(label)?.at(now) ?? 0 }))
    const label = selectVictim(candidates)
    if (label === undefined) return false
    // Removed before the unload order is sent, so that no request can pin the slot while it is being emptied.
    this.#slots.delete(label)
    const unloaded = await this.options.engine.unload({ label, fence: this.options.fence })
    if (unloaded.isErr() && unloaded.error.code !== 'not_loaded') {
      this.options.log.warn('slot.unload_failed', { label, fault: unloaded.error.code })
    }
    return true
  }

  async #load ({ label, source }: Waiter): Promise<void> {
    const startedAt = Date.now()
    const loaded = await this.options.engine.load({ label, source, fence: this.options.fence })
    const waiters = this.#waiters.get(label) ?? []
    this.#waiters.delete(label)
    if (loaded.isErr()) return this.#loadFailed(label, loaded.error.detail, waiters)
    this.#backoffs.delete(label)
    const loadMs = Date.now() - startedAt
    this.#averageLoadMs.add(loadMs)
    const slot: Slot = { boot: loaded.value, pins: 0, loadMs }
    this.#slots.set(label, slot)
    for (const waiter of waiters) waiter.settle(ok(this.#createPin(label, slot)))
    this.options.log.debug('slot.loaded', { label, loadMs })
  }

  #loadFailed (label: string, detail: string, waiters: Waiter[]): void {
    const failures = (this.#backoffs.get(label)?.failures ?? 0) + 1
    const waitMs = backoff(failures, this.options.random)
    this.#backoffs.set(label, { failures, until: Date.now() + waitMs })
    this.options.log.warn('slot.load_failed', { label, failures, detail })
    for (const waiter of waiters) waiter.settle(err(notRun('load_failed', { detail, retryAfterMs: waitMs })))
  }
}

/** Polls the engine's boot id until `signal` aborts, so that a restart is detected even while no request runs. */
export const pollBootId = async (engine: Engine, intervalMs: number, signal: AbortSignal, onBoot: (boot: string) => void): Promise<void> => {
  while (!signal.aborted) {
    const report = await engine.report()
    if (report.isOk()) onBoot(report.value.boot)
    await pause(intervalMs, signal)
  }
}
