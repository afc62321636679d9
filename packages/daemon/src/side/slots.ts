/**
 * Slots: which adapter versions the engine holds, who uses them, and what is loaded next.
 *
 * A slot counts only if this incarnation loaded it in the engine's current boot. Pins are taken before a request
 * is sent and given back after its last byte; a pinned slot is never unloaded. A load that fails makes its own
 * adapter version wait and no other.
 */
import { backoff, notRun, pause, type Failure, type Log, type Random, type WorkClass } from '@finchpitch/core'
import { MovingAverage, Popularity, selectVictim } from '@finchpitch/decisions'
import type { Engine } from '@finchpitch/backend'
import { err, ok, type Result } from 'neverthrow'

export interface SlotsOptions {
  engine: Engine
  fence: number
  slots: number
  log: Log
  random: Random
  /** What the engine held before this incarnation, by labels; they take room until they are cleared. */
  leftovers: readonly string[]
}

export interface Demand {
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

interface Waiter extends Demand {
  settle: (result: Result<Pin, Failure>) => void
}

interface Backoff {
  failures: number
  until: number
}

const firstLoadMs = 500
const clearMs = 500
/** How far behind an engine's report may be. */
const reportLagMs = 3000
const classWorth: Record<WorkClass, number> = { desk: 8, caller: 4, batch: 1 }

export class Slots {
  readonly #slots = new Map<string, Slot>()
  readonly #waiting = new Map<string, Waiter[]>()
  readonly #popularity = new Map<string, Popularity>()
  readonly #failed = new Map<string, Backoff>()
  readonly #loadMs = new MovingAverage(firstLoadMs)
  readonly #leftovers: Set<string>
  #loading: string | undefined
  /** Something changed while a load was being decided on or made. */
  #changed = false

  constructor (private readonly options: SlotsOptions) {
    this.#leftovers = new Set(options.leftovers)
  }

  get labels (): string[] {
    return [...this.#slots.keys()]
  }

  holds (label: string): boolean {
    return this.#slots.has(label)
  }

  /** Waits until the adapter version is loaded, and keeps it there until the pin is released. */
  pin (demand: Demand, signal: AbortSignal): Promise<Result<Pin, Failure>> {
    this.#count(demand.label)
    const slot = this.#slots.get(demand.label)
    if (slot !== undefined) return Promise.resolve(ok(this.#pinned(demand.label, slot)))
    const failed = this.#failed.get(demand.label)
    const backoffMs = (failed?.until ?? 0) - Date.now()
    if (backoffMs > 0) return Promise.resolve(err(notRun('load_failed', { retryAfterMs: backoffMs })))
    return this.#wait(demand, signal)
  }

  /**
   * Puts out what an earlier incarnation left in the engine, one by one as it falls idle, until `signal` aborts.
   *
   * Only where the engine checks fences: a first order with this incarnation's fence keeps the earlier one from
   * starting anything more, so a label that is idle a report's lag later stays idle.
   */
  async clearLeftovers (mayClear: () => boolean, signal: AbortSignal): Promise<void> {
    const { engine, fence, log } = this.options
    let fencedAt: number | undefined
    while (this.#leftovers.size > 0 && !signal.aborted) {
      if (fencedAt === undefined && mayClear() && (await engine.cancel({ id: 'none', fence })).isOk()) fencedAt = Date.now()
      await pause(clearMs, signal)
      if (fencedAt === undefined || Date.now() - fencedAt < reportLagMs) continue
      const report = await engine.report()
      if (report.isErr()) continue
      for (const label of [...this.#leftovers].filter(each => !report.value.using.includes(each))) {
        const unloaded = await engine.unload({ label, fence })
        if (unloaded.isErr() && unloaded.error.code !== 'not_loaded') continue
        this.#leftovers.delete(label)
        log.info('slot.leftover_cleared', { label })
        void this.#pump()
      }
    }
  }

  /** The engine has restarted as `boot` and holds nothing. */
  restarted (boot: string): void {
    this.#leftovers.clear()
    for (const [label, slot] of this.#slots) {
      if (slot.boot !== boot) this.#slots.delete(label)
    }
    this.options.log.warn('engine.restarted', { boot })
    void this.#pump()
  }

  #count (label: string): void {
    const popularity = this.#popularity.get(label) ?? new Popularity()
    popularity.add(Date.now())
    this.#popularity.set(label, popularity)
  }

  #wait (demand: Demand, signal: AbortSignal): Promise<Result<Pin, Failure>> {
    return new Promise(resolve => {
      const leave = (failure: Failure): void => {
        const left = (this.#waiting.get(demand.label) ?? []).filter(each => each !== waiter)
        if (left.length > 0) this.#waiting.set(demand.label, left)
        else this.#waiting.delete(demand.label)
        waiter.settle(err(failure))
      }
      const onAbort = (): void => leave(notRun('cancelled'))
      const timer = setTimeout(() => leave(notRun('overloaded', { detail: 'No slot fell free in time.', retryAfterMs: this.#loadMs.value })), Math.max(0, demand.deadline - Date.now()))
      const settle = (result: Result<Pin, Failure>): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', onAbort)
        resolve(result)
      }
      const waiter: Waiter = { ...demand, settle }
      signal.addEventListener('abort', onAbort)
      this.#waiting.set(demand.label, [...this.#waiting.get(demand.label) ?? [], waiter])
      void this.#pump()
    })
  }

  #pinned (label: string, slot: Slot): Pin {
    slot.pins += 1
    let released = false
    const release = (): void => {
      if (released) return
      released = true
      slot.pins -= 1
      void this.#pump()
    }
    return { label, boot: slot.boot, release }
  }

  /** Loads what the waiting callers lose most by, one at a time, while there is room for it. */
  async #pump (): Promise<void> {
    this.#changed = true
    if (this.#loading !== undefined) return
    this.#changed = false
    const next = this.#costliest()
    if (next === undefined) return
    const { label } = next
    this.#loading = label
    const made = await this.#makeRoom()
    if (made) await this.#load(next)
    this.#loading = undefined
    if (made || this.#changed) void this.#pump()
  }

  #costliest (): Waiter | undefined {
    const cost = (waiters: Waiter[]): number => waiters.reduce((sum, waiter) => sum + classWorth[waiter.class], 0)
    const demands = [...this.#waiting.values()].filter(waiters => waiters.length > 0)
    return demands.sort((a, b) => cost(b) - cost(a))[0]?.[0]
  }

  /** False while every slot is in use; a released pin tries again. */
  async #makeRoom (): Promise<boolean> {
    if (this.#slots.size + this.#leftovers.size < this.options.slots) return true
    const now = Date.now()
    const residents = [...this.#slots].map(([label, { pins, loadMs }]) =>
      ({ label, pins, loadMs, popularity: this.#popularity.get(label)?.at(now) ?? 0 }))
    const label = selectVictim(residents)
    if (label === undefined) return false
    // Gone from the table before the order is sent: no request can be given the slot while it empties.
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
    const waiters = this.#waiting.get(label) ?? []
    this.#waiting.delete(label)
    if (loaded.isErr()) return this.#loadFailed(label, loaded.error.detail, waiters)
    this.#failed.delete(label)
    const loadMs = Date.now() - startedAt
    this.#loadMs.add(loadMs)
    const slot: Slot = { boot: loaded.value, pins: 0, loadMs }
    this.#slots.set(label, slot)
    for (const waiter of waiters) waiter.settle(ok(this.#pinned(label, slot)))
    this.options.log.debug('slot.loaded', { label, loadMs })
  }

  #loadFailed (label: string, detail: string, waiters: Waiter[]): void {
    const failures = (this.#failed.get(label)?.failures ?? 0) + 1
    const waitMs = backoff(failures, this.options.random)
    this.#failed.set(label, { failures, until: Date.now() + waitMs })
    this.options.log.warn('slot.load_failed', { label, failures, detail })
    for (const waiter of waiters) waiter.settle(err(notRun('load_failed', { detail, retryAfterMs: waitMs })))
  }
}

/** Asks the engine for its boot until `signal` aborts, so a restart is noticed while nothing runs. */
export const watchBoot = async (engine: Engine, everyMs: number, signal: AbortSignal, seen: (boot: string) => void): Promise<void> => {
  while (!signal.aborted) {
    const report = await engine.report()
    if (report.isOk()) seen(report.value.boot)
    await pause(everyMs, signal)
  }
}
