/**
 * What a side process counts. Labels are closed sets; no adapter, team or request is one.
 */
import { Counter, Registry } from 'prom-client'

export class Counters {
  readonly registry = new Registry()
  readonly orders = new Counter({
    name: 'finchpitch_engine_orders_total',
    help: 'Orders given to the engine, by operation and outcome.',
    labelNames: ['operation', 'outcome'],
    registers: [this.registry]
  })

  readonly declined = new Counter({
    name: 'finchpitch_demands_declined_total',
    help: 'Adapters that entries asked for and that could not be brought in, by reason.',
    labelNames: ['reason'],
    registers: [this.registry]
  })
}
