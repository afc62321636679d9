/**
 * One request from its arrival to its end at an entry.
 *
 * It is matched against the table in force at the moment of each sending, waits for a place or an adapter while
 * that can still help its caller, and is sent. What may follow a failed try depends on whether it may have run:
 * refused or never sent, it may go elsewhere; otherwise only what is repeatable may, inside the retry budget.
 * Given up, it gets its last answer at once: 503 and when to come back if it has surely not run, else 502 or 504.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Log } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { BackendServer } from '../server.js'
import type { FleetService, Route } from '../table.js'
import { attempt, type AttemptEnd } from './attempt.js'
import type { Asked, Balancer } from './balancer.js'
import { Cancellation } from './cancellation.js'
import type { ConnectLimit } from './connect-limit.js'
import type { Crashes } from './crashes.js'
import type { EntryCounters } from './counters.js'
import { Delivery } from './delivery.js'
import { EventCutter } from './event-stream.js'
import type { FirstTries } from './first-tries.js'
import type { Admitted, Denial } from './gate.js'
import { Incoming } from './incoming.js'
import { outgoingOf, type Marks } from './outgoing.js'
import { NextServer, isTimed, nowhereOf, type Nowhere, type Sending } from './next-server.js'
import { OwnAnswers } from './own-answers.js'
import { RequestCrashes } from './request-crashes.js'
import { RequestRecord } from './request-record.js'
import { turnedAway } from './server-word.js'
import type { ServerWords } from './server-words.js'
import { RequestTimes } from './request-times.js'
import { RequestAdmission, type RequestAdmissionOptions } from './request-admission.js'
import type { RetryBudget } from './retry-budget.js'
import type { ServerFaults } from './server-faults.js'
import type { ServerLimits } from './server-limits.js'
import type { WaitingRoom } from './waiting-room.js'

/** Tries of one request that come as far as a server, whatever their end. */
const mostArrivals = 4
/** All its tries, those that could not be sent too: a whole failure domain of servers may be out of reach. */
const mostTries = 12
/** Silence beyond this many objectives is out of the ordinary. */
const silentObjectives = 1.5
/** A stream under way at its time limit is ended by its server; this much later by the entry. */
const streamSlackMs = 200
/** Below this, a try can't end in time. */
const leastRemainingMs = 5

export interface ServiceRequestOptions extends RequestAdmissionOptions {
  facts: Facts
  balancer: Balancer
  room: WaitingRoom
  budget: RetryBudget
  firstTries: FirstTries
  faults: ServerFaults
  serverLimits: ServerLimits
  words: ServerWords
  crashes: Crashes
  connects: ConnectLimit
  counters: EntryCounters
  log: Log
  /** Resolves once this entry has a routing table, or had the time that learning it takes after a start. */
  learned: () => Promise<void>
  /** When callers should come back while this entry has no routing table. */
  blindRetryMs: () => number
  /** When they should while it can't be known what the newest table says. */
  unconfirmedRetryMs: () => number
  /** The process is about to end: what has not begun may not end in time, and is refused at once. */
  closed: boolean
  /** Whether the connection should end with this answer. */
  lastAnswer: () => boolean
}

type Verdict = { type: 'again' } | { type: 'done', outcome: string }

const again: Verdict = { type: 'again' }
const done = (outcome: string): Verdict => ({ type: 'done', outcome })

/** A try that has ended. */
interface Tried {
  server: BackendServer
  asked: Asked
  admitted: Admitted
  /** When it was written to its server, on the steady clock. */
  sentAt: number
}

const firstFailure = 500
const bodyless: ReadonlySet<number> = new Set([204, 304])

/** A header's seconds; 0 where there is none that can be read. */
const secondsOf = (header: string | undefined): number => {
  const seconds = Number(header ?? 0)
  return Number.isFinite(seconds) ? seconds : 0
}

export class ServiceRequest {
  readonly #incoming: Incoming
  readonly #admission: RequestAdmission
  readonly #times = new RequestTimes()
  readonly #record: RequestRecord
  readonly #delivery: Delivery
  readonly #answers: OwnAnswers
  readonly #crashes: RequestCrashes
  readonly #next: NextServer
  readonly #left = new Cancellation()
  readonly #excluded = new Set<string>()
  /** A weighted draw of a service, the same for all tries. */
  readonly #draw = Math.random()
  /** Tries that came as far as a server; only those weigh on the retry budget. */
  #arrivals = 0
  #ran = 0
  #mayHaveRun = false
  #cutter: EventCutter | undefined
  #expired = false

  constructor (private readonly options: ServiceRequestOptions, request: IncomingMessage, response: ServerResponse) {
    this.#incoming = new Incoming(request, options.names)
    this.#record = new RequestRecord(this.#incoming, this.#times)
    this.#delivery = new Delivery(response, options.lastAnswer)
    this.#admission = new RequestAdmission(options, this.#incoming)
    this.#crashes = new RequestCrashes(options.crashes, this.#incoming)
    this.#next = new NextServer({ ...options, times: this.#times, record: this.#record, crashes: this.#crashes, left: this.#left })
    this.#answers = new OwnAnswers({ names: options.names, unconfirmedRetryMs: options.unconfirmedRetryMs, incoming: this.#incoming, delivery: this.#delivery, record: this.#record })
    response.on('close', () => { if (!response.writableFinished) this.#left.cancel() })
  }

  async serve (): Promise<void> {
    const outcome = await this.#serve()
    const { facts, balancer, log, counters } = this.options
    this.#admission.release()
    const holding = balancer.states.get(this.#record.server?.id ?? '')?.holding
    this.#record.tell(outcome, log, counters, { table: facts.routes?.table.version, tableAgeMs: facts.freshness.ageMs, holding })
  }

  async #serve (): Promise<string> {
    const { facts, closed, firstTries, blindRetryMs } = this.options
    const { remainingMs } = this.#incoming
    if (closed) return this.#answers.refuse('stopping')
    await this.options.learned()
    const routes = facts.routes
    if (routes === undefined) {
      this.#answers.notBefore(blindRetryMs())
      return this.#answers.refuse('no_table')
    }
    const admission = await this.#admit()
    if (admission.type === 'denied') return this.#answers.deny(admission)
    const { route } = admission
    if (this.#incoming.impossible) return this.#answers.end('bad_model')
    const readyInMs = await this.#admission.reserve(admission)
    if (readyInMs !== undefined) return this.#answers.overQuota(readyInMs)
    this.#times.deadline = this.#times.arrived + Math.min(remainingMs, route.timeoutMs)
    this.#times.firstTriedMs = firstTries.agoMs(route.name, remainingMs)
    const body = await this.#incoming.body(routes.table.limits.bodyBytes)
    if (body.isErr()) return body.error === 'too_large' ? this.#answers.end(body.error) : body.error
    this.#cutter = route.kind === 'stream' && route.resumable ? new EventCutter() : undefined
    const timer = setTimeout(() => this.#expire(), Math.max(0, this.#times.leftMs))
    try {
      this.#crashes.body = body.value
      return await this.#tryUntilDone()
    } finally {
      clearTimeout(timer)
    }
  }

  async #tryUntilDone (): Promise<string> {
    for (;;) {
      const { routes, servers } = this.options.facts
      if (routes === undefined) return this.#giveUp('no_table')
      const admission = await this.#admit()
      if (admission.type === 'denied') return this.#mayHaveRun ? this.#answers.fail(502, admission.reason) : this.#answers.deny(admission)
      const readyInMs = await this.#admission.reserve(admission)
      if (readyInMs !== undefined) return this.#mayHaveRun ? this.#answers.fail(502, 'over_quota') : this.#answers.overQuota(readyInMs)
      // Any server would end under it, with all that it runs. Of ten sends of such a request at four entries ten reached an engine
      // without this, two or three with it.
      const held = this.#crashes.quarantine(admission.team)
      if (held !== undefined) return this.#mayHaveRun ? this.#answers.fail(502, 'quarantined') : this.#answers.quarantined(held)
      const service = this.#serviceOf(admission.route)
      if (service === undefined) return this.#giveUp('no_service')
      const asked = this.#asked(service, admission)
      const next = await this.#next.choose(asked, admission)
      if (next.type === 'left') return this.#abandoned(false)
      if (next.type === 'nowhere') return this.#giveUpNowhere(next)
      const server = next.type === 'chosen' ? servers.get(next.choice.id) : undefined
      // While it waited, the table may have changed, and with it who may ask for what.
      if (next.type === 'anew' || server === undefined || this.options.facts.routes !== routes) continue
      // What ends its servers would be sent by all entries in the moment in which its quarantine lapses.
      if (!await this.#crashes.mayRun(admission.team)) return this.#mayHaveRun ? this.#answers.fail(502, 'quarantined') : this.#answers.probedElsewhere()
      const verdict = await this.#try(server, asked, admission, next.choice)
      if (verdict.type === 'done') return verdict.outcome
    }
  }

  async #admit (): Promise<Admitted | Denial> {
    const admission = await this.#admission.admit()
    this.#record.route = admission.route ?? this.#record.route
    if (admission.type === 'admitted') this.#record.team = admission.team?.name
    return admission
  }

  #serviceOf (route: Route): FleetService | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
    let left = this.#draw * total
    const target = route.targets.find(each => (left -= each.weight) < 0) ?? route.targets.at(-1)
    return target === undefined ? undefined : this.options.facts.routes?.service(target.service)
  }

  #asked (service: FleetService, { route, priority }: Admitted): Asked {
    const { model, promptTokens } = this.#incoming
    const key = service.engine === undefined ? undefined : model
    return { service, key, promptTokens, inTimeMs: this.#times.inTimeMs(route), priority, excluded: this.#excluded }
  }

  #expire (): void {
    this.#expired = true
    if (!this.#delivery.started) this.#left.cancel()
    else setTimeout(() => this.#left.cancel(), streamSlackMs)
  }

  async #try (server: BackendServer, asked: Asked, admitted: Admitted, choice: Sending): Promise<Verdict> {
    const { balancer, budget, names, counters, connects, facts } = this.options
    const table = facts.routes
    const { route } = admitted
    const remaining = Math.floor(this.#times.leftMs)
    if (remaining < leastRemainingMs) return done(this.#mayHaveRun ? this.#answers.fail(504, 'timed_out') : this.#answers.refuse('too_late'))
    if (this.#record.tries === 0) budget.first(asked.service.name)
    if (this.#arrivals > 0 && !budget.repeat(asked.service.name)) return done(this.#giveUp('no_retry_left'))
    const state = balancer.state(server)
    this.#noteTry(server, asked, choice)
    const { key, promptTokens: tokens, priority } = asked
    const pending = state.begin({ key, tokens, priority, patienceMs: route.objectiveMs * silentObjectives })
    let sentAt = pending.sentAt
    const end = await attempt({
      agent: state.agent,
      address: server.address,
      outgoing: outgoingOf(this.#incoming.message, this.#crashes.body, names, this.#marks(server, asked, admitted, remaining)),
      requestId: this.#incoming.id,
      serverId: server.id,
      names,
      connectMs: Math.min(connects.ms, remaining),
      // Under a table that changed, it is asked anew who may ask for what.
      permit: () => {
        sentAt = nowMs()
        return facts.routes === table && balancer.mayTake(server) && this.#spend(server, admitted)
      },
      cameUp: ms => connects.cameUp(ms),
      stream: route.kind === 'stream',
      cutter: this.#cutter,
      delivery: this.#delivery,
      cancellation: this.#left,
      heard: () => {
        state.heard(pending)
        balancer.heard(pending)
        this.#record.firstByteMs ??= this.#times.ms
      },
      said: word => this.options.words.take(word, { server, state, request: this.#incoming.id, sentAt })
    })
    state.end(key, pending)
    if (end.type !== 'not_sent' && end.type !== 'withheld') this.#arrivals += 1
    counters.attempts.inc({ end: end.type })
    this.options.room.pokeFull()
    return this.#judge(end, { server, asked, admitted, sentAt })
  }

  /** Spends what is counted of the request in the moment of sending; says whether it may be sent. */
  #spend (server: BackendServer, admitted: Admitted): boolean {
    const { serverLimits } = this.options
    const pass = serverLimits.pass(server)
    if (pass === undefined) return false
    // Tries that waited for a connection as the second server ended would each end one more.
    if (this.#crashes.spend(admitted.team) && this.#admission.spend(admitted)) return true
    serverLimits.giveBack(pass)
    return false
  }

  #noteTry (server: BackendServer, { key }: Asked, { reason, expectedMs }: Sending): void {
    const record = this.#record
    record.tries += 1
    record.server = server
    record.reason = reason
    record.sentAtMs = this.#times.ms
    record.expectedMs = key === undefined ? undefined : expectedMs
  }

  #marks (server: BackendServer, { key }: Asked, admitted: Admitted, remaining: number): Marks {
    const { balancer, facts } = this.options
    const engine = key === undefined ? undefined : { rank: this.#next.rank(admitted, this.#incoming.promptTokens), version: balancer.heldVersion(server, key) }
    const keyed = facts.routes?.keyed === true
    return { remaining, server: server.id, engine, team: admitted.team?.name, keyed, resumeAt: this.#cutter?.lastId }
  }

  /** What follows from a try's end. */
  #judge (end: AttemptEnd, at: Tried): Verdict {
    const judge = ServiceRequest.#judges[end.type] as (self: ServiceRequest, end: AttemptEnd, at: Tried) => Verdict
    return judge(this, end, at)
  }

  /** By how a try ended. */
  static readonly #judges: { [Type in AttemptEnd['type']]: (self: ServiceRequest, end: Extract<AttemptEnd, { type: Type }>, at: Tried) => Verdict } = {
    streamed: (self, _end, { server, admitted }) => {
      self.options.balancer.state(server).outlier.succeeded()
      self.#crashes.endedWell(admitted.team)
      self.#delivery.finish()
      return done('streamed')
    },
    answer: (self, { status, headers, body }, at) => {
      const failed = status >= firstFailure
      if (failed) self.options.faults.failed(at.server, self.#incoming.id, `status ${status}`)
      else self.options.balancer.state(at.server).outlier.succeeded()
      self.#ran += 1
      self.#crashes.endedWell(at.admitted.team)
      if (failed && self.#mayRunAgain(at)) {
        self.#mayHaveRun = true
        return again
      }
      self.#delivery.whole(status, headers, body, self.#incoming.message.method === 'HEAD' || bodyless.has(status))
      return done(`answered ${status}`)
    },
    not_sent: (self, { detail }, { server, asked }) => {
      self.options.faults.unreachable(server, self.#incoming.id, detail)
      self.#excluded.add(server.id)
      return self.#goOn('not_sent', asked)
    },
    withheld: (self, _end, { asked }) => self.#goOn('withheld', asked),
    not_run: (self, { status, cause, retryAfter }, { server, asked }) => {
      const { key } = asked
      if (self.options.faults.refused({ request: self.#incoming.id, server, status, cause, key, tries: self.#record.tries, retryAfter })) self.#excluded.add(server.id)
      // A rest that the server asked for is told to callers only where all servers rest.
      if (status !== turnedAway) self.#answers.notBefore(secondsOf(retryAfter) * 1000)
      return self.#goOn('refused', asked)
    },
    cancelled: (self, { sent }) => done(self.#abandoned(sent)),
    broken: (self, { detail }, at) => {
      self.#mayHaveRunAt(at, detail)
      return self.#mayRunAgain(at) ? again : done(self.#answers.fail(502, 'broken'))
    },
    interrupted: (self, { detail }, at) => {
      self.#mayHaveRunAt(at, detail)
      if (!self.#left.cancelled && self.#mayRunAgain(at)) return again
      self.#delivery.cut()
      return done('interrupted')
    }
  }

  /** The try broke off with its server at work. */
  #mayHaveRunAt ({ server, admitted, sentAt }: Tried, detail: string): void {
    this.options.faults.failed(server, this.#incoming.id, detail)
    this.#crashes.brokeOff(server, sentAt, admitted.team)
    this.#mayHaveRun = true
    this.#ran += 1
  }

  /** It has not run there, and goes elsewhere as long as there are tries left. */
  #goOn (reason: string, asked: Asked): Verdict {
    if (this.#triesLeft) return again
    const choice = this.options.balancer.choose(asked)
    return done(isTimed(choice) ? this.#giveUpNowhere(nowhereOf(choice)) : this.#giveUp(reason))
  }

  get #triesLeft (): boolean {
    return this.#arrivals < mostArrivals && this.#record.tries < mostTries
  }

  /** Whether it may run once more though it has run, or may have, and another server could take it. */
  #mayRunAgain ({ server, asked, admitted: { route } }: Tried): boolean {
    const repeatable = route.kind === 'repeatable' || (route.kind === 'stream' && route.resumable)
    return repeatable && this.#triesLeft && this.#ran < route.maxAttempts && this.#mayRepeat(server, asked)
  }

  /** Whether another server could take the request. */
  #mayRepeat (server: BackendServer, asked: Asked): boolean {
    this.#excluded.add(server.id)
    return this.options.balancer.choose(asked).type === 'send'
  }

  /** The caller left, or the time is up. */
  #abandoned (sent: boolean): string {
    if (!this.#expired) return 'caller_left'
    if (this.#delivery.started) {
      this.#delivery.cut()
      return 'timed_out'
    }
    return sent || this.#mayHaveRun ? this.#answers.fail(504, 'timed_out') : this.#answers.refuse('timed_out')
  }

  /** What it needs did not come, or can't come in time. */
  #giveUpNowhere ({ reason, notBeforeMs }: Nowhere): string {
    this.#answers.notBefore(notBeforeMs)
    return this.#giveUp(reason)
  }

  /** There is nowhere left to send it. */
  #giveUp (reason: string): string {
    return this.#mayHaveRun ? this.#answers.fail(502, reason) : this.#answers.refuse(reason)
  }
}
