/**
 * Prometheus metrics of one process. Labels have a fixed set of values: teams, adapters and requests are never labels, as they
 * would make the number of time series unbounded.
 */
import type { RequestEnd } from '@finchpitch/callers'
import type { WorkClass } from '@finchpitch/core'
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'

const secondsBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]

/** Sampling interval of the event loop delay. Each sample wakes the process, so a short interval would keep an idle one busy. */
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
    help: 'Time from the arrival of a request to the last byte of its response, by class and outcome.',
    labelNames: ['class', 'outcome'],
    buckets: secondsBuckets,
    registers: [this.registry]
  })

  constructor () {
    collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: eventLoopPrecisionMs })
  }

  /** Registers a gauge whose value is read at each scrape. */
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
