/**
 * An entry's watch of the platform's store: starts and pauses it according to the entry's duty (`watch-duty.ts`), and reports the
 * entry's access to the store to its peers.
 */
import type { Log } from '@finchpitch/core'
import type { Appointment, StoreSight } from '@finchpitch/wire'
import { nowMs } from '../../clock.js'
import type { Fact } from '../../fact.js'
import type { Facts } from '../../facts.js'
import { watchFacts } from '../../fact-watch.js'
import { StoreHealth } from '../../store-health.js'
import type { FactSource } from '../../ports.js'
import { supervise } from '../../supervise.js'
import { revisionFields } from '../../store-revision.js'
import { DutySwitch } from '../../duty-switch.js'
import { TableProver } from './table-prover.js'
import { decideWatchDuty, type WatchDutyInput } from './watch-duty.js'

/** An entry that the store did not answer is not appointed again for this long: it would fail once more while others depend on it. */
const blindMs = 5000

export interface StoreWatchOptions {
  sources: FactSource[]
  facts: Facts
  log: Log
  /** How long to pause after a call. */
  pauseMs: (kind: Fact['kind']) => number
  /** Whether a recent proof that the routing table is current is needed and missing. */
  lacksProof: () => boolean
  /** The last appointment from each responsive local side process. */
  appointments: () => readonly Appointment[]
  /** Called when the duty to watch begins or ends. */
  onDutyChange: () => void
}

export class StoreWatch {
  readonly #duty = new DutySwitch()
  readonly #health = new StoreHealth()
  /** Until when this entry reports that the store does not answer it. */
  #blindUntil = -Infinity
  #prover: TableProver | undefined

  constructor (private readonly options: StoreWatchOptions) {}

  get watching (): boolean {
    return this.#duty.on
  }

  run (signal: AbortSignal): void {
    const { sources, facts, log, pauseMs } = this.options
    const table = sources.find(source => source.kind === 'table')
    if (table !== undefined) this.#prover = new TableProver(table, facts, signal)
    for (const source of sources) {
      const watch = async (): Promise<void> => await watchFacts({ source, facts, log, signal, outage: this.#health, duty: this.#duty, pauseMs })
      void supervise(`store watch of ${source.kind}`, watch, signal, log)
    }
  }

  /** If this entry watches the store, gets a proof from there that the routing table is current, unless it has a recent one. */
  async ensureProof (): Promise<void> {
    if (this.#duty.on) await this.#prover?.ensureProof()
  }

  /** Updates the duty and the reported store access. */
  check (): void {
    const { facts, appointments, lacksProof } = this.options
    this.#updateDuty({ appointments: appointments(), hasSynced: facts.hasSynced, confirmedMs: nowMs() - facts.serversConfirmedAt, lacksProof: lacksProof() })
    facts.setSight(this.#sight())
  }

  #updateDuty (input: WatchDutyInput): void {
    const { watch, reason } = decideWatchDuty(input)
    if (watch === this.#duty.on) return
    this.options.log.info('store.duty_changed', { watch, reason, confirmedMs: Math.round(input.confirmedMs), ...revisionFields(this.options.facts.revision) })
    this.#duty.setActive(watch)
    // What this entry learned while others watched is sent to the side processes before the new sight is, since they take
    // all facts of an entry that reports `reading` as complete.
    this.options.onDutyChange()
  }

  #sight (): StoreSight {
    const now = nowMs()
    const { failing, answered } = this.#health
    // During an outage the appointed entries keep calling the store. The others keep reporting `blind`, or each would retry every 5 s.
    const outage = now < this.#blindUntil && this.options.appointments().some(each => each.outage)
    if (failing || outage) this.#blindUntil = now + blindMs
    if (this.#duty.on && answered && !failing) return this.options.facts.hasSynced ? 'reading' : 'resting'
    return now < this.#blindUntil ? 'blind' : 'resting'
  }
}
