/**
 * What both programs need to serve their figures: a registry of their own, and gauges read when asked for.
 */
import { Gauge, Registry } from 'prom-client'

export class Registered {
  readonly registry = new Registry()

  /** A figure that is read only when the metrics address is asked. */
  gauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }
}
