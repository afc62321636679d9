/**
 * Metrics of a side process. Label values are closed sets: no label holds an adapter, a team or a request, so the number of
 * time series stays bounded.
 */
import { Counter, Histogram } from '../prometheus.js'
import { MetricsRegistry } from '../metrics-registry.js'

export class SideCounters extends MetricsRegistry {
  readonly orders = new Counter({
    name: 'finchpitch_engine_orders_total',
    help: 'Orders sent to the engine, by operation and outcome.',
    labelNames: ['operation', 'outcome'],
    registers: [this.registry]
  })

  readonly loads = new Histogram({
    name: 'finchpitch_adapter_load_seconds',
    help: 'Time from the load order until the engine reports the adapter or model as loaded.',
    buckets: [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5],
    registers: [this.registry]
  })

  readonly declined = new Counter({
    name: 'finchpitch_demands_declined_total',
    help: 'Adapters requested by entries that could not be loaded, by reason.',
    labelNames: ['reason'],
    registers: [this.registry]
  })
}
