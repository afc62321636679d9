/**
 * Handles one request from arrival to end at an entry process.
 *
 * Before each attempt the request is matched against the current routing table. It waits for a free slot or an adapter
 * while that can still help its caller, and is then sent. Whether a failed attempt may be retried depends on whether the
 * request may have run: a request that was refused or never sent may go to another server; otherwise only a repeatable
 * one may, within the retry budget. A repeatable request whose adapter no other engine can serve goes to the same engine again
 * while that accepts connections, or waits until another engine has loaded the adapter. When the entry gives up, it responds at
 * once: 503 with `Retry-After` if the request has certainly not run, else 502 or 504.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Log } from '@finchpitch/core'
import { bodyWaitMs } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { BackendServer } from '../../server.js'
import type { FleetService, Route } from '../../table.js'
import { attempt, isSuccess, type AttemptResult } from './attempt.js'
import type { SelectionRequest, Balancer } from '../servers/balancer.js'
import { Cancellation, unlessCancelled } from './cancellation.js'
import type { ConnectTimeout } from '../servers/connect-timeout.js'
import type { CrashTracker } from '../servers/crash-tracker.js'
import type { ServerPresences } from '../servers/server-presence.js'
import type { EntryCounters } from '../counters.js'
import { CallerReturn, type CallerReturnOptions } from './caller-return.js'
import { CallerResponse, bodylessStatuses } from './caller-response.js'
import { EventFramer } from './event-stream.js'
import type { Admission, Denial } from './admission.js'
import { IncomingRequest, type BodyError } from './incoming-request.js'
import { buildOutgoingRequest, type OutgoingContext } from './outgoing-request.js'
import type { KeptBytes } from './kept-bytes.js'
import { helpsRepeat } from '../servers/choice.js'
import { ServerSelector, hasReadyTime, noServerFrom, type NoServer, type SendChoice } from '../servers/server-selector.js'
import { LocalReplies } from './local-replies.js'
import type { PlannedStop, StartingRequest } from './planned-stop.js'
import { RequestCrashes, type CrashScope } from './request-crashes.js'
import { RequestRecord } from './request-record.js'
import { overloadedStatus } from '../servers/server-feedback.js'
import type { ServerFeedbackHandler } from '../servers/server-feedback-handler.js'
import { RequestTimes } from './request-times.js'
import { RequestAdmission, type RequestAdmissionOptions } from './request-admission.js'
import type { ReadTurns } from './read-turns.js'
import { StreamContinuation } from './stream-continuation.js'
import type { StreamOrigins } from '../peers/stream-origins.js'
import type { TableWait } from './table-wait.js'
import type { Quotas } from '../quotas/quotas.js'
import type { RetryPermit } from '../waiting/retry-account.js'
import type { RetryBudget, RetryDecision } from '../waiting/retry-budget.js'
import type { ServerFaults } from '../servers/server-faults.js'
import type { ServerLimits } from '../servers/server-limits.js'
import type { PlainServices } from '../servers/plain-services.js'
import type { RequestQueue } from '../waiting/request-queue.js'

/** Maximum number of attempts that reach a server, whatever their result. */
const maxSentAttempts = 4
/** Maximum number of attempts, including those that could not be sent: a whole failure domain of servers may be unreachable. */
const maxTotalAttempts = 12
/** A server that sends nothing for this many objectives is considered unresponsive. */
const unresponsiveObjectives = 1.5
/** A server finishes a stream at its deadline; the entry cancels it this much later. */
const streamGraceMs = 200
/** With less time left, an attempt can't finish before the deadline. */
const minRemainingMs = 5

export interface ServiceRequestOptions extends RequestAdmissionOptions, CallerReturnOptions {
  facts: Facts
  balancer: Balancer
  queue: RequestQueue
  budget: RetryBudget
  faults: ServerFaults
  serverLimits: ServerLimits
  plainServices: PlainServices
  quotas: Quotas
  feedbackHandler: ServerFeedbackHandler
  crashes: CrashTracker
  presences: ServerPresences
  connectTimeout: ConnectTimeout
  counters: EntryCounters
  keptBytes: KeptBytes
  log: Log
  tableWait: TableWait
  turns: ReadTurns
  streamOrigins: StreamOrigins
  /** `Retry-After` while the routing table can't be proven fresh. */
  staleTableRetryMs: () => number
  stop: PlannedStop
  /** Whether to close the caller's connection after its current response. */
  closeAfterResponse: (socket: Socket) => boolean
}

/** What follows an attempt. */
type Verdict = { type: 'retry' } | { type: 'done', outcome: string }

const retry: Verdict = { type: 'retry' }
const done = (outcome: string): Verdict => ({ type: 'done', outcome })

/** An attempt that has ended. */
interface FinishedAttempt {
  server: BackendServer
  selection: SelectionRequest
  admitted: Admission
  /** When the request was written to its server, on the monotonic clock. */
  sentAt: number
  /** Of the server, as listed when the request was written. */
  softwareVersion: string
  /** Time from then to the head of the response; `undefined` if there was none. */
  responseMs: number | undefined
}

const firstServerErrorStatus = 500

/** Whether a stream of the route may go on at another server. */
const isResumable = ({ kind, resumable }: Route): boolean => kind === 'stream' && resumable

/** With two decimals, as retries are earned in fractions. */
const loggedBasis = ({ firstAttempts, ratioCredit, tokens, entries }: Omit<RetryDecision, 'permit'>): Record<string, number> =>
  ({ firstAttempts, ratioCredit: hundredths(ratioCredit), tokens: hundredths(tokens), entries })

const hundredths = (value: number): number => Math.round(value * 100) / 100

/** Parses a header in seconds; 0 where it is missing or invalid. */
const secondsOf = (header: string | undefined): number => {
  const seconds = Number(header ?? 0)
  return Number.isFinite(seconds) ? seconds : 0
}

export class ServiceRequest {
  readonly #incoming: IncomingRequest
  readonly #admission: RequestAdmission
  readonly #times: RequestTimes
  readonly #record: RequestRecord
  readonly #callerResponse: CallerResponse
  readonly #callerReturn: CallerReturn
  readonly #localReplies: LocalReplies
  readonly #crashes: RequestCrashes
  readonly #selector: ServerSelector
  readonly #cancellation = new Cancellation()
  readonly #continuation: StreamContinuation
  /** Ids of servers that this request is not sent to again. */
  readonly #excluded = new Set<string>()
  /** Random number that selects a service by weight; the same for all attempts. */
  readonly #targetDraw = Math.random()
  /** Attempts that reached a server; only these count against the retry budget. */
  #sentAttempts = 0
  /** Attempts that ran or may have run. */
  #possibleRuns = 0
  #mayHaveRun = false
  /** The failure that an engine answered. It is delivered if no later attempt gets a response. */
  #failure: Extract<AttemptResult, { type: 'answer' }> | undefined
  /** Bytes of buffered responses that are counted as kept. */
  #bufferedBytes = 0
  #framer: EventFramer | undefined
  #deadlinePassed = false
  /** It was ended because the process is stopping. */
  #endedByStop = false
  /** The last attempt has been written to its server and has not ended. */
  #isSent = false

  constructor (private readonly options: ServiceRequestOptions, request: IncomingMessage, response: ServerResponse, arrivedAt: number) {
    this.#incoming = new IncomingRequest(request, options.names)
    this.#times = new RequestTimes(arrivedAt)
    this.#times.statedMs = this.#incoming.remainingMs
    this.#record = new RequestRecord(this.#incoming, this.#times)
    this.#callerReturn = new CallerReturn(options, this.#times)
    this.#callerResponse = new CallerResponse(response, () => options.closeAfterResponse(request.socket), () => this.#watchCaller(response))
    this.#admission = new RequestAdmission(options, this.#incoming)
    this.#continuation = new StreamContinuation(options.streamOrigins, this.#incoming)
    this.#crashes = new RequestCrashes(options.crashes, this.#incoming)
    this.#selector = new ServerSelector(options, { incoming: this.#incoming, times: this.#times, record: this.#record, crashes: this.#crashes, cancellation: this.#cancellation, latestStart: route => options.stop.latestStart(this.#startingRequest(route)) })
    this.#localReplies = new LocalReplies({ names: options.names, staleTableRetryMs: options.staleTableRetryMs, incoming: this.#incoming, callerResponse: this.#callerResponse, record: this.#record })
    // Chunks of a body take memory until they are collected, also of one that is dropped.
    if (this.#incoming.hasBody) request.once('resume', () => request.on('data', (chunk: Buffer) => options.keptBytes.memory.notePassed(chunk.length)))
    response.on('close', () => { if (!response.writableFinished) this.#handleCallerLeft() })
  }

  async serve (): Promise<void> {
    const { facts, balancer, log, counters, stop } = this.options
    let outcome: string
    stop.enter(this)
    try {
      outcome = await this.#handle()
    } finally {
      stop.leave(this)
      this.#releaseKept()
    }
    this.#callerReturn.end(outcome, this.#localReplies.toldMs)
    this.#selector.permit.release()
    this.#admission.release()
    const engineReport = balancer.states.get(this.#record.server?.id ?? '')?.engineReport
    this.#record.write(outcome, log, counters, { table: facts.routes?.table.version, tableAgeMs: facts.freshness.ageMs, engineReport })
  }

  /**
   * Ends the request if the planned stop of the process leaves too little time: one that has been sent when no time is left, any other
   * once its run could not end in time.
   */
  endForStop (): void {
    const { stop } = this.options
    const { route } = this.#record
    if (this.#cancellation.cancelled) return
    if (stop.leftMs > 0 && (this.#isSent || route === undefined || this.#times.deadline === Infinity || !this.#lacksTime(route))) return
    this.#record.stop ??= { leftMs: stop.leftMs, neededMs: undefined }
    this.#endedByStop = true
    this.#cancellation.cancel()
  }

  async #handle (): Promise<string> {
    const { facts, stop, tableWait, turns } = this.options
    const { remainingMs } = this.#incoming
    await turns.next('new')
    if (this.#hasCallerLeft()) return this.#endCancelled(false)
    if (stop.isTooLate(this.#times.arrivedAt)) return this.#localReplies.refuse('stopping')
    await unlessCancelled(tableWait.untilLoaded(remainingMs), this.#cancellation)
    if (this.#cancellation.cancelled) return this.#endCancelled(false)
    const routes = facts.routes
    if (routes === undefined) {
      this.#localReplies.raiseRetryAfter(tableWait.retryMs)
      return this.#localReplies.refuse('no_table')
    }
    const admission = await this.#admit()
    if (admission.type === 'denied') return this.#localReplies.deny(admission)
    const { route } = admission
    if (this.#incoming.hasInvalidModel) return this.#localReplies.end('bad_model')
    // No response could be recognized as its own. A refusal of it would echo no id, and a late copy of that belongs to no request either.
    if (this.#incoming.id === '') return this.#localReplies.end('no_id')
    const service = this.#serviceOf(route)?.name
    this.#callerReturn.recognize(admission, service)
    const readyInMs = await this.#admission.reserve(admission, this.#times.firstTriedMs, service)
    if (readyInMs !== undefined) return this.#localReplies.overQuota(readyInMs)
    this.#times.deadline = this.#times.arrivedAt + Math.min(remainingMs, route.timeoutMs)
    if (this.#lacksTime(route)) return this.#endForStop(false)
    const body = await this.#incoming.body({ limit: routes.table.limits.bodyBytes, keptBytes: this.options.keptBytes, waitMs: () => bodyWaitMs(this.#times.leftMs), cancellation: this.#cancellation })
    if (body.isErr()) return this.#endUnread(body.error)
    this.#framer = isResumable(route) ? new EventFramer() : undefined
    const timer = setTimeout(() => this.#onDeadline(), Math.max(0, this.#times.leftMs))
    try {
      this.#crashes.body = body.value
      return await this.#attemptUntilDone()
    } finally {
      clearTimeout(timer)
    }
  }

  /** The body could not be read. */
  #endUnread (error: BodyError): string {
    if (error === 'cancelled') return this.#endCancelled(false)
    if (error === 'no_room') return this.#localReplies.refuse('too_many_bytes_kept')
    return error === 'too_large' ? this.#localReplies.end(error) : error
  }

  /** Bytes that a caller has not read yet are counted where its response is watched. */
  #releaseKept (): void {
    const { keptBytes } = this.options
    this.#incoming.releaseBody(keptBytes)
    keptBytes.releaseResponse(this.#bufferedBytes)
  }

  /** Aborts the response if the caller stops reading. A reset also frees what the operating system keeps of it. */
  #watchCaller (response: ServerResponse): void {
    const { keptBytes, log } = this.options
    const { id, message: { socket } } = this.#incoming
    keptBytes.monitor.watch(response, socket, 'caller', ({ bytes, ms }) => {
      log.warn('caller.stalled', { request: id, bytes, ms })
      socket.resetAndDestroy()
    })
  }

  async #attemptUntilDone (): Promise<string> {
    for (;;) {
      const { facts: { routes, servers }, balancer } = this.options
      if (routes === undefined) return this.#giveUp('no_table')
      const admission = await this.#admit()
      if (admission.type === 'denied') return this.#mayHaveRun ? this.#fail(502, admission.reason) : this.#localReplies.deny(admission)
      if (this.#lacksTime(admission.route)) return this.#endForStop(false)
      const readyInMs = await this.#admission.reserve(admission, this.#times.firstTriedMs, this.#serviceOf(admission.route)?.name)
      if (readyInMs !== undefined) return this.#mayHaveRun ? this.#fail(502, 'over_quota') : this.#localReplies.overQuota(readyInMs)
      // Such a request would crash any server, with all requests that run there.
      const scope = this.#crashScope(admission)
      const quarantine = this.#crashes.quarantine(scope)
      if (quarantine !== undefined) return this.#mayHaveRun ? this.#fail(502, 'quarantined') : this.#localReplies.quarantined(quarantine)
      const service = this.#serviceOf(admission.route)
      if (service === undefined) return this.#giveUp('no_service')
      if (isResumable(admission.route) && await unlessCancelled(this.#continuation.resolve(service.name, this.#times.leftMs), this.#cancellation) !== true) {
        return this.#cancellation.cancelled ? this.#endCancelled(false) : this.#giveUp('software_version_not_known')
      }
      const selection = this.#selectionFor(service, admission)
      if (!balancer.hasSoftware(selection)) return this.#giveUp('no_server_of_software_version')
      const next = await this.#selector.choose(selection, admission)
      if (next.type === 'cancelled') return this.#endCancelled(false)
      if (next.type === 'no_server') return this.#lacksTime(admission.route) ? this.#endForStop(false) : this.#giveUpWaiting(next)
      const server = next.type === 'chosen' ? servers.get(next.choice.id) : undefined
      // The table may have changed during the wait, so the request has to be admitted again.
      if (next.type === 'readmit' || server === undefined || this.options.facts.routes !== routes) continue
      // Without a probe grant, all entries would send the request the moment its quarantine expires.
      if (!await this.#crashes.mayRun(scope)) return this.#mayHaveRun ? this.#fail(502, 'quarantined') : this.#localReplies.awaitProbe()
      const verdict = await this.#attempt(server, selection, admission, next.choice)
      if (verdict.type === 'done') return verdict.outcome
    }
  }

  async #admit (): Promise<Admission | Denial> {
    const admission = await this.#admission.admit()
    this.#record.route = admission.route ?? this.#record.route
    if (admission.type === 'admitted') this.#record.team = admission.team?.name
    return admission
  }

  #serviceOf (route: Route): FleetService | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
    let left = this.#targetDraw * total
    const target = route.targets.find(each => (left -= each.weight) < 0) ?? route.targets.at(-1)
    return target === undefined ? undefined : this.options.facts.routes?.service(target.service)
  }

  #crashScope ({ team, route }: Admission): CrashScope {
    return { team: team?.name, service: this.#serviceOf(route)?.name ?? '' }
  }

  #selectionFor (service: FleetService, { route, priority, team }: Admission): SelectionRequest {
    const { model, promptTokens, outputTokens } = this.#incoming
    const key = service.engine === undefined ? undefined : model
    return { service, key, promptTokens, outputTokens, timeToObjectiveMs: this.#times.timeToObjectiveMs(route), priority, excluded: this.#excluded, team: team?.name, softwareVersion: this.#continuation.softwareVersion }
  }

  /** Whether the caller has closed its connection, also if the response does not know yet. */
  #hasCallerLeft (): boolean {
    const { socket } = this.#incoming.message
    if (socket.readableEnded || socket.destroyed) this.#handleCallerLeft()
    return this.#cancellation.cancelled
  }

  #handleCallerLeft (): void {
    this.#record.leftAtMs ??= this.#times.ms
    this.#cancellation.cancel()
  }

  #onDeadline (): void {
    this.#deadlinePassed = true
    if (!this.#callerResponse.started) this.#cancellation.cancel()
    else setTimeout(() => this.#cancellation.cancel(), streamGraceMs)
  }

  async #attempt (server: BackendServer, selection: SelectionRequest, admitted: Admission, choice: SendChoice): Promise<Verdict> {
    const sentBefore = this.#sentAttempts
    if (sentBefore === 0) return await this.#send(server, selection, admitted, choice)
    const { name: service } = selection.service
    const permit = await this.#withdrawRetry(service)
    if (permit === undefined) return done(this.#giveUp('no_retry_left'))
    const verdict = await this.#send(server, selection, admitted, choice)
    if (this.#sentAttempts === sentBefore) this.options.budget.release(service, permit)
    return verdict
  }

  async #send (server: BackendServer, selection: SelectionRequest, admitted: Admission, choice: SendChoice): Promise<Verdict> {
    const { balancer, budget, names, counters, connectTimeout, facts, turns } = this.options
    const table = facts.routes
    const { route } = admitted
    if (this.#isTooLate) return this.#endTooLate()
    if (this.#lacksTime(route)) return done(this.#endForStop(false))
    if (this.#record.tries === 0) budget.deposit(selection.service.name)
    const state = balancer.state(server)
    this.#recordAttempt(server, selection, choice)
    const { key, promptTokens: tokens, priority } = selection
    const pending = state.begin({ key, tokens, priority, patienceMs: route.objectiveMs * unresponsiveObjectives })
    await turns.next('under_way')
    if (this.#hasCallerLeft() || this.#isTooLate) {
      state.end(key, pending)
      return this.#cancellation.cancelled ? done(this.#endCancelled(false)) : this.#endTooLate()
    }
    const remainingMs = Math.floor(this.#times.leftMs)
    let sentAt = pending.sentAt
    let responseMs: number | undefined
    let softwareVersion = balancer.softwareVersion(server)
    const ended = await attempt({
      agent: state.agent,
      address: server.address,
      outgoing: buildOutgoingRequest(this.#incoming.message, this.#crashes.body, names, this.#outgoingContext(server, selection, admitted, remainingMs)),
      requestId: this.#incoming.id,
      serverId: server.id,
      names,
      turns,
      connectMs: Math.min(connectTimeout.ms, remainingMs),
      // If the table has changed, the request has to be admitted again.
      maySend: () => {
        sentAt = nowMs()
        if (this.#hasCallerLeft() || facts.routes !== table || !balancer.isAvailable(server) || !this.#mayContinueAt(server)) return false
        if (this.#lacksTime(route)) return false
        if (!this.#spend(server, admitted)) return false
        facts.recordUse(server.id)
        softwareVersion = balancer.softwareVersion(facts.servers.get(server.id) ?? server)
        if (isResumable(route)) this.#continuation.recordStart(selection.service.name, softwareVersion)
        this.#isSent = true
        return true
      },
      onConnected: ms => connectTimeout.recordConnect(ms),
      stream: route.kind === 'stream',
      resumes: this.#incoming.lastEventId !== undefined,
      eventFramer: this.#framer,
      callerResponse: this.#callerResponse,
      cancellation: this.#cancellation,
      keptBytes: this.options.keptBytes,
      onResponse: () => {
        responseMs = nowMs() - sentAt
        state.recordFirstByte(pending)
        balancer.recordFirstByte(pending)
        this.#record.firstByteMs ??= this.#times.ms
      },
      onServerFeedback: feedback => this.options.feedbackHandler.handle(feedback, { server, state, request: this.#incoming.id, sentAt })
    })
    const result = await this.#confirmEnd(ended, server, selection.service)
    this.#isSent = false
    this.#recordRun(result, route, nowMs() - sentAt, responseMs)
    if (result.type === 'streamed' && this.#sentAttempts === 0) state.recordRun(pending, this.#incoming.outputTokens)
    state.end(key, pending)
    if (result.type === 'answer') this.#bufferedBytes += result.body.length
    if (key === undefined && result.type === 'answer') this.options.queue.slotTimes.record(route.name, nowMs() - sentAt)
    if (result.type !== 'not_sent' && result.type !== 'withheld') this.#sentAttempts += 1
    counters.attempts.inc({ end: result.type })
    this.options.queue.scheduleCapacityScan()
    return this.#handleResult(result, { server, selection, admitted, sentAt, responseMs, softwareVersion })
  }

  /**
   * A response without a length or chunks also ends where its server does, so it is complete only if the server is known to be there
   * afterwards. One that is draining or no longer listed is no exception: it may be ended with whatever it runs.
   */
  async #confirmEnd (result: AttemptResult, server: BackendServer, { healthPath }: FleetService): Promise<AttemptResult> {
    if ((result.type !== 'answer' && result.type !== 'streamed') || result.end.framed) return result
    const { presences, facts, counters, log } = this.options
    const check = await unlessCancelled(presences.check(server, healthPath), this.#cancellation)
    const presence = check?.presence ?? 'unknown'
    counters.unframedResponses.inc({ presence })
    const bytes = result.type === 'streamed' ? result.bytes : result.body.length
    const listed = facts.servers.get(server.id)
    const { peerGone, contentType } = result.end
    log.info('response.ended_with_connection', { request: this.#incoming.id, server: server.id, bytes, peerGone, contentType, presence, toldBy: check?.detail, listed: listed !== undefined, leaving: listed?.leaving })
    if (presence === 'present') return result
    if (result.type === 'answer') this.options.keptBytes.releaseResponse(result.body.length)
    if (check === undefined) return { type: 'cancelled', sent: true }
    const detail = `a response without a length, whose server is ${presence === 'gone' ? 'gone' : 'not known to be there'}: ${check.detail}`
    return { type: result.type === 'streamed' ? 'interrupted' : 'broken', detail }
  }

  #recordRun ({ type }: AttemptResult, { name }: Route, ms: number, firstByteMs = ms): void {
    // One that the deadline ended would have taken at least as long.
    const timedOut = type === 'cancelled' && this.#deadlinePassed
    if (type === 'answer' || type === 'streamed' || timedOut) this.options.stop.recordRun(name, { firstByteMs, ms, outputTokens: this.#incoming.outputTokens })
  }

  #startingRequest (route: Route): StartingRequest {
    return { route: route.name, outputTokens: this.#incoming.outputTokens, untilDeadlineMs: this.#times.leftMs }
  }

  /** Whether a run that begins now may not end before the process stops. */
  #lacksTime (route: Route): boolean {
    const { stop } = this.options
    const { leftMs } = stop
    if (leftMs === Infinity) return false
    const neededMs = stop.neededMs(this.#startingRequest(route))
    if (neededMs <= leftMs) return false
    this.#record.stop = { leftMs, neededMs }
    return true
  }

  /** The process stops before the request is served. `sent`: it may have run. */
  #endForStop (sent: boolean): string {
    if (this.#callerResponse.started) {
      this.#record.reason = 'stopping'
      this.#callerResponse.abort()
      return 'interrupted'
    }
    return sent || this.#mayHaveRun ? this.#fail(504, 'stopping') : this.#localReplies.refuse('stopping')
  }

  get #isTooLate (): boolean {
    return this.#times.leftMs < minRemainingMs
  }

  #endTooLate (): Verdict {
    return done(this.#mayHaveRun ? this.#fail(504, 'timed_out') : this.#localReplies.refuse('too_late'))
  }

  /** Whether the server still has the software version that the stream is bound to. */
  #mayContinueAt (server: BackendServer): boolean {
    const { softwareVersion } = this.#continuation
    return softwareVersion === undefined || this.options.balancer.runsSoftware(this.options.facts.servers.get(server.id) ?? server, softwareVersion)
  }

  /** Spends one retry from the budget; `undefined` if there is none left. */
  async #withdrawRetry (service: string): Promise<RetryPermit | undefined> {
    const { budget, counters, log } = this.options
    const { permit, ...basis } = await budget.withdraw(service)
    const granted = permit !== undefined
    counters.retries.inc({ service, result: granted ? 'granted' : 'denied' })
    log.info('request.retry', { request: this.#incoming.id, service, granted, ...loggedBasis(basis) })
    return permit
  }

  /** Spends quota, advertised limit and probe grant just before the request is written. Returns whether it may be sent. */
  #spend (server: BackendServer, admitted: Admission): boolean {
    const { serverLimits } = this.options
    const permit = serverLimits.acquire(server)
    if (permit === undefined) return false
    // Quarantine is rechecked here: attempts that were still connecting when a second server crashed would each crash one more.
    if (this.#crashes.spend(this.#crashScope(admitted)) && this.#admission.spend(admitted)) {
      this.#selector.permit.spend()
      this.#record.writtenAtMs = this.#times.ms
      return true
    }
    serverLimits.release(permit)
    return false
  }

  /** Records how long a plain server took to respond; engines report their load themselves. */
  #recordResponseTime ({ server, selection, responseMs }: FinishedAttempt): void {
    if (selection.key !== undefined || responseMs === undefined) return
    this.options.balancer.state(server).pace.record(responseMs, nowMs())
    this.options.plainServices.recordResponse(server, responseMs)
  }

  #recordAttempt (server: BackendServer, { key }: SelectionRequest, { reason, expectedMs }: SendChoice): void {
    const record = this.#record
    record.tries += 1
    record.server = server
    record.reason = reason
    record.sentAtMs = this.#times.ms
    record.expectedMs = key === undefined ? undefined : expectedMs
  }

  #outgoingContext (server: BackendServer, { key }: SelectionRequest, admitted: Admission, remainingMs: number): OutgoingContext {
    const { balancer, facts } = this.options
    const engine = key === undefined ? undefined : { rank: this.#selector.rank(admitted, this.#incoming.promptTokens), version: balancer.heldVersion(server, key) }
    const keyed = facts.routes?.requiresKey === true
    return { remainingMs, server: server.id, engine, team: admitted.team?.name, keyed, resumeAfter: this.#framer?.lastEventId }
  }

  /** Decides what follows an attempt. */
  #handleResult (result: AttemptResult, finished: FinishedAttempt): Verdict {
    const handle = ServiceRequest.#resultHandlers[result.type] as (self: ServiceRequest, result: AttemptResult, finished: FinishedAttempt) => Verdict
    return handle(this, result, finished)
  }

  /** Handlers by the result of the attempt. */
  static readonly #resultHandlers: { [Type in AttemptResult['type']]: (self: ServiceRequest, result: Extract<AttemptResult, { type: Type }>, finished: FinishedAttempt) => Verdict } = {
    streamed: (self, { bytes }, finished) => {
      const { server, admitted } = finished
      self.#recordResponseTime(finished)
      self.options.balancer.state(server).outlier.recordSuccess()
      self.#crashes.recordCompletion(self.#crashScope(admitted), { wroteAnswer: bytes > 0 })
      self.#callerResponse.finish()
      return done('streamed')
    },
    answer: (self, answer, finished) => {
      const { status } = answer
      const failed = status >= firstServerErrorStatus
      if (failed) self.options.faults.recordFailure(finished.server, self.#incoming.id, `status ${status}`)
      else {
        self.options.balancer.state(finished.server).outlier.recordSuccess()
        self.#recordResponseTime(finished)
      }
      self.#possibleRuns += 1
      self.#crashes.recordCompletion(self.#crashScope(finished.admitted), { wroteAnswer: isSuccess(status) && answer.body.length > 0 })
      if (failed && self.#mayRunAgain(finished)) {
        self.#mayHaveRun = true
        self.#failure = finished.selection.key === undefined ? undefined : answer
        return retry
      }
      return done(self.#deliver(answer))
    },
    not_sent: (self, { detail }, { server, selection }) => {
      self.options.faults.recordUnreachable(server, self.#incoming.id, detail)
      self.#excluded.add(server.id)
      return self.#retryElsewhere('not_sent', selection)
    },
    withheld: (self, _result, { selection }) => self.#retryElsewhere('withheld', selection),
    not_run: (self, { status, cause, retryAfter }, { server, selection }) => {
      const { key } = selection
      if (key === undefined && cause === 'full') self.options.plainServices.recordRefusal(server)
      if (self.options.faults.recordRefusal({ request: self.#incoming.id, server, status, cause, key, tries: self.#record.tries, retryAfter })) self.#excluded.add(server.id)
      // A backoff that a server asked for is passed on to callers only if all servers ask for one.
      if (status !== overloadedStatus) self.#localReplies.raiseRetryAfter(secondsOf(retryAfter) * 1000)
      return self.#retryElsewhere('refused', selection)
    },
    cancelled: (self, { sent }) => done(self.#endCancelled(sent)),
    broken: (self, { detail }, finished) => {
      self.#recordBroken(finished, detail)
      return self.#mayRunAgain(finished) ? retry : done(self.#fail(502, 'broken'))
    },
    interrupted: (self, { detail }, finished) => {
      self.#recordBroken(finished, detail)
      if (self.#framer?.lastEventId !== undefined) self.#continuation.bind(finished.softwareVersion)
      if (!self.#cancellation.cancelled && self.#mayRunAgain(finished)) return retry
      self.#callerResponse.abort()
      return done('interrupted')
    }
  }

  /** The attempt failed after the request was sent. */
  #recordBroken (finished: FinishedAttempt, detail: string): void {
    this.options.faults.recordFailure(finished.server, this.#incoming.id, detail)
    this.#crashes.brokeOff(finished, this.#crashScope(finished.admitted))
    this.#mayHaveRun = true
    this.#possibleRuns += 1
  }

  /** The request has not run, so it goes to another server while attempts are left. */
  #retryElsewhere (reason: string, selection: SelectionRequest): Verdict {
    if (this.#attemptsLeft) return retry
    const choice = this.options.balancer.choose(selection)
    return done(hasReadyTime(choice) ? this.#giveUpWaiting(noServerFrom(choice)) : this.#giveUp(reason))
  }

  get #attemptsLeft (): boolean {
    return this.#sentAttempts < maxSentAttempts && this.#record.tries < maxTotalAttempts
  }

  /** Whether the request may run again although it has run or may have run, and some server could take it. */
  #mayRunAgain (finished: FinishedAttempt): boolean {
    const { server, selection, admitted: { route } } = finished
    const repeatable = route.kind === 'repeatable' || isResumable(route)
    if (!repeatable || !this.#attemptsLeft || this.#possibleRuns >= route.maxAttempts) return false
    const bound = { ...selection, softwareVersion: this.#continuation.softwareVersion }
    return this.#anotherCanTake(server, bound) || this.#sameEngineOrLoadHelps({ ...finished, selection: bound })
  }

  /** Excludes the server from further attempts. Returns whether another one could take the request. */
  #anotherCanTake (server: BackendServer, selection: SelectionRequest): boolean {
    this.#excluded.add(server.id)
    return this.options.balancer.choose(selection).type === 'send'
  }

  /**
   * Whether the engine that failed could take the request again, or another one once it has loaded the adapter. No other engine can
   * take it now, so the failed one is no longer excluded: most failures hit single requests. If it has ended, it refuses the
   * connection and is excluded then, and the request waits for a load elsewhere.
   */
  #sameEngineOrLoadHelps ({ server, selection, admitted: { route } }: FinishedAttempt): boolean {
    const { balancer } = this.options
    if (selection.key === undefined) return false
    if (balancer.isAvailable(server)) this.#excluded.delete(server.id)
    return helpsRepeat(balancer.choose(selection), this.#times.waitUntil(route) - nowMs())
  }

  /** The caller disconnected, the deadline passed, or the process stops. */
  #endCancelled (sent: boolean): string {
    if (this.#endedByStop) return this.#endForStop(sent)
    if (!this.#deadlinePassed) return 'caller_left'
    if (this.#callerResponse.started) {
      this.#callerResponse.abort()
      return 'timed_out'
    }
    return sent || this.#mayHaveRun ? this.#fail(504, 'timed_out') : this.#localReplies.refuse('timed_out')
  }

  /** No server or adapter became available, or none can in time. */
  #giveUpWaiting ({ reason, notBeforeMs, expected }: NoServer): string {
    if (expected === true) this.#localReplies.expectCapacityIn(notBeforeMs)
    else this.#localReplies.raiseRetryAfter(notBeforeMs)
    return this.#giveUp(reason)
  }

  /** The request may have run. */
  #fail (status: 502 | 504, reason: string): string {
    if (this.#failure === undefined || this.#callerResponse.started) return this.#localReplies.fail(status, reason)
    this.#record.reason = reason
    return this.#deliver(this.#failure)
  }

  /** Delivers a buffered response. To a stream that is under way, it is the answer to an attempt to resume it. */
  #deliver ({ status, headers, body }: Extract<AttemptResult, { type: 'answer' }>): string {
    if (this.#callerResponse.started) {
      this.#callerResponse.abort()
      return 'interrupted'
    }
    this.#callerResponse.whole(status, headers, body, this.#incoming.message.method === 'HEAD' || bodylessStatuses.has(status))
    return `answered ${status}`
  }

  /** There is no server left to send it to. */
  #giveUp (reason: string): string {
    return this.#mayHaveRun ? this.#fail(502, reason) : this.#localReplies.refuse(reason)
  }
}
