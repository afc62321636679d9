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

  /** Registers a gauge with a value for each service, which are read at each scrape. */
  serviceGauge (name: string, help: string, read: () => Iterable<[service: string, value: number]>): void {
    const gauge: Gauge<'service'> = new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers: [this.registry],
      collect: () => {
        gauge.reset()
        for (const [service, value] of read()) gauge.set({ service }, value)
      }
    })
  }
}
