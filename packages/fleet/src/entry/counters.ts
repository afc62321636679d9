/**
 * Metrics of an entry process. Label values are fixed sets of low cardinality: never an adapter, a team or a request.
 */
import { Counter, Gauge, Histogram } from '../prometheus.js'
import { MetricsRegistry } from '../metrics-registry.js'
import type { KeptKind } from './serving/kept-bytes.js'

const keptKinds: readonly KeptKind[] = ['request_bodies', 'responses', 'unread']

const latencyBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 10]
/** Estimates may be too low or too high. */
const errorBuckets = [-2, -1, -0.5, -0.2, -0.1, -0.05, -0.02, 0, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2]

export class EntryCounters extends MetricsRegistry {
  readonly ended = new Counter({
    name: 'finchpitch_requests_ended_total',
    help: 'Requests ended, by kind of route and outcome.',
    labelNames: ['kind', 'outcome'],
    registers: [this.registry]
  })

  readonly duration = new Histogram({
    name: 'finchpitch_request_seconds',
    help: 'Time from the arrival of a request to the last byte of its response, by kind of route and outcome.',
    labelNames: ['kind', 'outcome'],
    buckets: latencyBuckets,
    registers: [this.registry]
  })

  readonly firstByte = new Histogram({
    name: 'finchpitch_first_byte_seconds',
    help: 'Time from the arrival of a request to the first byte of its response, by kind of route.',
    labelNames: ['kind'],
    buckets: latencyBuckets,
    registers: [this.registry]
  })

  readonly unframedResponses = new Counter({
    name: 'finchpitch_unframed_responses_total',
    help: 'Responses that ended with the connection of their server, by whether the server was there afterwards.',
    labelNames: ['presence'],
    registers: [this.registry]
  })

  readonly eventLoopDelay = new Histogram({
    name: 'finchpitch_event_loop_delay_seconds',
    help: 'By how much a periodic timer of the entry was late, as the event loop was busy.',
    buckets: latencyBuckets,
    registers: [this.registry]
  })

  readonly waited = new Histogram({
    name: 'finchpitch_wait_seconds',
    help: 'Time that requests waited in the queue of the entry, by what they waited for.',
    labelNames: ['for'],
    buckets: latencyBuckets,
    registers: [this.registry]
  })

  readonly waitEstimateError = new Histogram({
    name: 'finchpitch_wait_estimate_error_seconds',
    help: 'Expected wait, as estimated when a request was queued, minus its actual wait, by what it waited for.',
    labelNames: ['for'],
    buckets: errorBuckets,
    registers: [this.registry]
  })

  readonly rejected = new Counter({
    name: 'finchpitch_requests_rejected_early_total',
    help: 'Requests rejected before their time was up, as they were not expected to start in time, by what they would have waited for.',
    labelNames: ['for'],
    registers: [this.registry]
  })

  readonly attempts = new Counter({
    name: 'finchpitch_attempts_total',
    help: 'Attempts at backend servers, by how they ended.',
    labelNames: ['end'],
    registers: [this.registry]
  })

  readonly retries = new Counter({
    name: 'finchpitch_retries_total',
    help: 'Attempts after the first one that reached a server, by service and by whether the retry budget allowed them.',
    labelNames: ['service', 'result'],
    registers: [this.registry]
  })

  readonly ejections = new Counter({
    name: 'finchpitch_ejections_total',
    help: 'Backend servers ejected temporarily after failures.',
    registers: [this.registry]
  })

  readonly serverCrashes = new Counter({
    name: 'finchpitch_server_ends_total',
    help: 'Attempts that failed because their backend server crashed.',
    registers: [this.registry]
  })

  readonly quarantines = new Counter({
    name: 'finchpitch_quarantines_total',
    help: 'Requests quarantined because backend servers crashed while running them.',
    registers: [this.registry]
  })

  readonly rateLimited = new Counter({
    name: 'finchpitch_requests_held_back_total',
    help: 'Times that a request was not sent to a backend server because of the limit that the server advertises.',
    registers: [this.registry]
  })

  readonly quotaTokensBooked = new Counter({
    name: 'finchpitch_quota_tokens_booked_total',
    help: 'Quota tokens booked for rejected requests whose callers were told when to return.',
    registers: [this.registry]
  })

  readonly quotaReturning = new Counter({
    name: 'finchpitch_quota_returning_requests_total',
    help: 'Requests of callers that had been rejected before, in teams with a quota, by whether they got their tokens.',
    labelNames: ['result'],
    registers: [this.registry]
  })

  readonly returning = new Counter({
    name: 'finchpitch_returning_requests_total',
    help: 'Requests of callers that were rejected before, by service, by whether they waited as long as they were told, and by how they ended.',
    labelNames: ['service', 'told', 'outcome'],
    registers: [this.registry]
  })

  /** Registers the gauge of bytes kept, whose values are read at each scrape. */
  keptBytes (read: (kind: KeptKind) => number): void {
    const gauge: Gauge = new Gauge({
      name: 'finchpitch_bytes_kept',
      help: 'Bytes that the process keeps for callers and servers, by kind: request bodies, buffered responses, and responses that callers have not read yet.',
      labelNames: ['kind'],
      registers: [this.registry],
      collect: () => { for (const kind of keptKinds) gauge.set({ kind }, read(kind)) }
    })
  }
}
