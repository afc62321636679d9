/**
 * An entry's watching of the platform's store: it begins and rests as its duty says, and tells how it sees the store.
 */
import type { Log } from '@finchpitch/core'
import type { Appointment, StoreSight } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import type { Fact } from '../fact.js'
import type { Facts } from '../facts.js'
import { watchFacts } from '../fact-watch.js'
import { StoreHealth } from '../store-health.js'
import type { FactSource } from '../ports.js'
import { revisionFields } from '../store-revision.js'
import { DutySwitch } from '../duty-switch.js'
import { TableProver } from './table-prover.js'
import { dutyOf, type DutyView } from './watch-duty.js'

/** An entry that the store did not answer isn't named again for this long: it would fail once more, and others would wait for it. */
const blindMs = 5000

export interface StoreWatchOptions {
  sources: FactSource[]
  facts: Facts
  log: Log
  restMs: (kind: Fact['kind']) => number
  /** No proof of late that the table is the newest, where one is needed. */
  unproven: () => boolean
  /** What side processes near that answer last said. */
  appointments: () => readonly Appointment[]
  /** The duty began or ended. */
  changed: () => void
}

export class StoreWatch {
  readonly #turn = new DutySwitch()
  readonly #outage = new StoreHealth()
  #blindUntil = -Infinity
  #prover: TableProver | undefined

  constructor (private readonly options: StoreWatchOptions) {}

  get watching (): boolean {
    return this.#turn.on
  }

  run (signal: AbortSignal): void {
    const { sources, facts, log, restMs } = this.options
    const table = sources.find(source => source.kind === 'table')
    if (table !== undefined) this.#prover = new TableProver(table, facts, signal)
    for (const source of sources) void watchFacts({ source, facts, log, signal, outage: this.#outage, duty: this.#turn, pauseMs: restMs })
  }

  /** Gets a proof that the table is the newest from the store, unless there is a young one or the store is left to others. */
  async prove (): Promise<void> {
    if (this.#turn.on) await this.#prover?.prove()
  }

  /** Looks at the duty anew. */
  check (): void {
    const { facts, appointments, unproven } = this.options
    this.#setDuty({ appointments: appointments(), read: facts.hasSynced, confirmedMs: nowMs() - facts.serversConfirmedAt, unproven: unproven() })
    facts.setSight(this.#sight())
  }

  #setDuty (view: DutyView): void {
    const { watch, reason } = dutyOf(view)
    if (watch === this.#turn.on) return
    this.options.log.info('store.duty_changed', { watch, reason, confirmedMs: Math.round(view.confirmedMs), ...revisionFields(this.options.facts.revision) })
    this.#turn.setActive(watch)
    // What was learned while others watched goes to the side processes before they are told of the new sight, since they
    // take the word of one that reads for complete.
    this.options.changed()
  }

  #sight (): StoreSight {
    const now = nowMs()
    const { failing, answered } = this.#outage
    // Where the store answers nobody, those named go on asking; the others would each ask again every 5 s.
    const outage = now < this.#blindUntil && this.options.appointments().some(each => each.outage)
    if (failing || outage) this.#blindUntil = now + blindMs
    if (this.#turn.on && answered && !failing) return this.options.facts.hasSynced ? 'reading' : 'resting'
    return now < this.#blindUntil ? 'blind' : 'resting'
  }
}
