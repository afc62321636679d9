/**
 * What a side process counts. Labels are closed sets; no adapter, team or request is one.
 */
import { Counter, Histogram } from 'prom-client'
import { Registered } from '../registered.js'

export class SideCounters extends Registered {
  readonly orders = new Counter({
    name: 'finchpitch_engine_orders_total',
    help: 'Orders given to the engine, by operation and outcome.',
    labelNames: ['operation', 'outcome'],
    registers: [this.registry]
  })

  readonly loads = new Histogram({
    name: 'finchpitch_adapter_load_seconds',
    help: 'From the order to an adapter being held.',
    buckets: [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5],
    registers: [this.registry]
  })

  readonly declined = new Counter({
    name: 'finchpitch_demands_declined_total',
    help: 'Adapters that entries asked for and that could not be brought in, by reason.',
    labelNames: ['reason'],
    registers: [this.registry]
  })
}
