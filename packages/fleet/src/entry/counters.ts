/**
 * What an entry counts. Labels are closed sets; no adapter, team or request is one.
 */
import { Counter, Histogram } from 'prom-client'
import { Registered } from '../registered.js'

const secondsBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 10]

export class EntryCounters extends Registered {
  readonly ended = new Counter({
    name: 'finchpitch_requests_ended_total',
    help: 'Requests ended, by kind of route and outcome.',
    labelNames: ['kind', 'outcome'],
    registers: [this.registry]
  })

  readonly duration = new Histogram({
    name: 'finchpitch_request_seconds',
    help: 'From a request\'s arrival to its last byte, by kind of route and outcome.',
    labelNames: ['kind', 'outcome'],
    buckets: secondsBuckets,
    registers: [this.registry]
  })

  readonly firstByte = new Histogram({
    name: 'finchpitch_first_byte_seconds',
    help: 'From a request\'s arrival to the first byte of its answer, by kind of route.',
    labelNames: ['kind'],
    buckets: secondsBuckets,
    registers: [this.registry]
  })

  readonly waited = new Histogram({
    name: 'finchpitch_wait_seconds',
    help: 'Time that requests waited at the entry, by what for.',
    labelNames: ['for'],
    buckets: secondsBuckets,
    registers: [this.registry]
  })

  readonly attempts = new Counter({
    name: 'finchpitch_attempts_total',
    help: 'Tries at backend servers, by how they ended.',
    labelNames: ['end'],
    registers: [this.registry]
  })

  readonly ejections = new Counter({
    name: 'finchpitch_ejections_total',
    help: 'Backend servers put out for a while after failures.',
    registers: [this.registry]
  })

  readonly serverEnds = new Counter({
    name: 'finchpitch_server_ends_total',
    help: 'Tries that broke off as their backend server ended, unexpectedly.',
    registers: [this.registry]
  })

  readonly quarantines = new Counter({
    name: 'finchpitch_quarantines_total',
    help: 'Requests found to end the backend servers that run them.',
    registers: [this.registry]
  })

  readonly heldBack = new Counter({
    name: 'finchpitch_requests_held_back_total',
    help: 'Times that a request was kept from a backend server by the limit that it names.',
    registers: [this.registry]
  })
}
