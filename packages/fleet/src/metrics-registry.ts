/**
 * The base of the metrics of entries and side processes: a Prometheus registry per process, with gauges that are read at scrape time.
 */
import { Gauge, Registry } from './prometheus.js'

export class MetricsRegistry {
  readonly registry = new Registry()

  /** Registers a gauge whose value is read at each scrape. */
  gauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }
}
