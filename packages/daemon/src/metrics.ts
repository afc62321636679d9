/**
 * Metrics of one process. Labels are closed sets; no team, adapter or request is one.
 */
import type { RequestEnd } from '@finchpitch/callers'
import type { WorkClass } from '@finchpitch/core'
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'

const secondsBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]

/** Each sample wakes the process, so an idle one is left to sleep. */
const eventLoopPrecisionMs = 200

export class Metrics {
  readonly registry = new Registry()
  readonly #ended = new Counter({
    name: 'finchpitch_requests_ended_total',
    help: 'Requests ended, by class, outcome and failure code.',
    labelNames: ['class', 'outcome', 'code'],
    registers: [this.registry]
  })

  readonly #duration = new Histogram({
    name: 'finchpitch_request_seconds',
    help: 'From a request\'s arrival to its last byte, by class and outcome.',
    labelNames: ['class', 'outcome'],
    buckets: secondsBuckets,
    registers: [this.registry]
  })

  constructor () {
    collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: eventLoopPrecisionMs })
  }

  /** A figure that is read when metrics are. */
  gauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }

  ended (workClass: WorkClass, { outcome, code, durationMs }: RequestEnd): void {
    this.#ended.inc({ class: workClass, outcome, code })
    this.#duration.observe({ class: workClass, outcome }, durationMs / 1000)
  }

  print (): Promise<string> {
    return this.registry.metrics()
  }
}
