/**
 * Selects the server that one request is sent to next, and has the request wait for a server, an adapter, the end of a backoff,
 * the limit that a server advertises or the capacity of a busy plain service.
 *
 * A request waits only while that can still help its caller. If nothing is expected to become available in time, the caller is
 * answered at once, with the time after which to retry. A request that finds free capacity for which no other waits does not
 * enter the queue.
 */
import { nowMs } from '../../clock.js'
import type { Facts } from '../../facts.js'
import type { FleetService, Route } from '../../table.js'
import type { SelectionRequest, Balancer } from './balancer.js'
import type { Cancellation } from '../serving/cancellation.js'
import type { Choice } from './choice.js'
import type { EntryCounters } from '../counters.js'
import type { Admission } from '../serving/admission.js'
import { outageRetryAfterMs } from '../serving/local-replies.js'
import type { RequestCrashes } from '../serving/request-crashes.js'
import type { RequestRecord } from '../serving/request-record.js'
import type { RequestTimes } from '../serving/request-times.js'
import type { QueuedRequest, WaitOutcome } from '../waiting/queue-entry.js'
import type { RequestQueue } from '../waiting/request-queue.js'
import { queuedBehind } from '../waiting/service-scan.js'
import type { IncomingRequest } from '../serving/incoming-request.js'
import type { PlainServices } from './plain-services.js'
import { ServicePermit } from './service-permit.js'

export type SendChoice = Extract<Choice, { type: 'send' }>

/** The request can't be sent to any server; callers should not retry before `notBeforeMs` have passed. */
export interface NoServer {
  type: 'no_server'
  reason: string
  notBeforeMs: number
  /** `notBeforeMs` is when capacity is expected for this request, and not a lower bound. */
  expected?: boolean
}

export type ServerSelection =
  | { type: 'chosen', choice: SendChoice }
  | NoServer
  /** Admission has to be checked again before it may be sent. */
  | { type: 'readmit' }
  /** Its caller disconnected while it waited, or its deadline passed. */
  | { type: 'cancelled' }

export const noServerFrom = (choice: Choice): NoServer =>
  ({ type: 'no_server', reason: choice.reason, notBeforeMs: hasReadyTime(choice) ? Math.ceil(choice.readyInMs) : 0 })

/** Whether the choice says when a server becomes available. */
export const hasReadyTime = (choice: Choice): choice is Extract<Choice, { type: 'resting' | 'limited' }> => choice.type === 'resting' || choice.type === 'limited'

/** Requests with the same key get the same choice. A busy plain service may have capacity for one team and none for another. */
const keyOf = ({ key, service, team }: SelectionRequest): string => key ?? `${service.name} ${team ?? ''}`

/** Callers that are told to return wait for at most this part of their remaining time. */
const maxReturnShare = 1 / 3

export interface ServerSelectorOptions {
  facts: Facts
  balancer: Balancer
  queue: RequestQueue
  plainServices: PlainServices
  counters: EntryCounters
}

/** The state of the request that a server is selected for. */
export interface SelectedRequest {
  incoming: IncomingRequest
  times: RequestTimes
  record: RequestRecord
  crashes: RequestCrashes
  /** Cancelled when the caller disconnects or the deadline passes. */
  cancellation: Cancellation
  /** Until when a request of the route may be sent, on the monotonic clock, if the process is stopping. */
  latestStart: (route: Route) => number
}

export class ServerSelector {
  /** Held from the choice of a server of a busy plain service until the request is written. */
  readonly permit: ServicePermit

  constructor (private readonly options: ServerSelectorOptions, private readonly request: SelectedRequest) {
    this.permit = new ServicePermit(options.plainServices)
  }

  async choose (selection: SelectionRequest, admitted: Admission): Promise<ServerSelection> {
    const { balancer, queue, plainServices } = this.options
    const { cancellation, record } = this.request
    this.permit.release()
    if (selection.key === undefined) plainServices.recordDemand(selection.service.name, selection.team)
    // Other entries pass on their unused part of the limit within some ms; another engine may have to load the adapter first.
    if (!cancellation.cancelled) record.limitedBy = await balancer.awaitRateLimit(selection) ?? record.limitedBy
    if (cancellation.cancelled) return { type: 'cancelled' }
    const choice = this.#takePermit(balancer.choose(selection), selection)
    if (choice.type === 'send' && !queue.hasWaiting(selection.service.name, keyOf(selection))) return this.#chosen(choice, selection, admitted)
    if (choice.type === 'none' && this.#noServerExpected(selection.service)) return { type: 'no_server', reason: 'nobody_left', notBeforeMs: outageRetryAfterMs }
    const request = this.#queuedRequest(choice, selection, admitted)
    const first = this.#placeBehindQueued(choice, request, selection)
    return first === undefined ? this.#chosen(choice as SendChoice, selection, admitted) : await this.#wait(first, request, selection, admitted)
  }

  /** Takes the token of a busy plain service, so that no other request is told to use it. */
  #takePermit (choice: Choice, { service, key, team }: SelectionRequest): Choice {
    if (key !== undefined) return choice
    const { balancer, plainServices } = this.options
    if (choice.type === 'limited') plainServices.recordShortage(service.name, team)
    return choice.type !== 'send' || this.permit.take(service.name, team) ? choice : balancer.limitedChoice(service.name, team) ?? choice
  }

  #chosen (choice: SendChoice, selection: SelectionRequest, admitted: Admission): ServerSelection {
    this.options.queue.recordWork(selection.service.name, admitted.team?.name, this.#workOf(selection, admitted))
    return { type: 'chosen', choice }
  }

  /**
   * Puts the request behind those that go before it and wait for rate-limited servers, or for the same capacity. Returns what it
   * waits for; `undefined` if it may be sent now.
   */
  #placeBehindQueued (choice: Choice, request: QueuedRequest, { team }: SelectionRequest): Choice | undefined {
    const { balancer, queue } = this.options
    if (choice.type !== 'send' && choice.type !== 'limited') return choice
    const ahead = queue.hasWaiting(request.service, request.key) ? queue.aheadOf(request) : { limited: 0, sameKey: 0 }
    if (choice.type === 'limited') return queuedBehind(choice, ahead.limited)
    const limited = ahead.limited > 0 && balancer.isLimited(choice.id) ? balancer.limitedChoice(request.service, team) : undefined
    if (limited !== undefined) return queuedBehind(limited, ahead.limited)
    return ahead.sameKey > 0 ? choice : undefined
  }

  /** Its rank in the queues of this entry and of its engine; the lowest goes first. */
  rank ({ route, priority }: Admission, promptTokens: number): number {
    return this.request.times.rank({ priority, objectiveMs: route.objectiveMs }, this.options.balancer.prefillMs(promptTokens))
  }

  #queuedRequest (first: Choice, selection: SelectionRequest, admitted: Admission): QueuedRequest {
    const { balancer } = this.options
    const { times, crashes, latestStart } = this.request
    const { route, team } = admitted
    const rank = (): number => this.rank(admitted, selection.promptTokens)
    const expiresAt = this.#expiryOf(first, selection.service, route)
    return {
      key: keyOf(selection),
      service: selection.service.name,
      team: team?.name,
      work: this.#workOf(selection, admitted),
      returning: times.firstTriedMs > 0,
      firstTriedMs: times.firstTriedMs,
      maxReturnMs: () => times.leftMs * maxReturnShare,
      hasOwnChoice: selection.excluded.size > 0 || selection.softwareVersion !== undefined,
      rank,
      lateAt: times.lateAt(route, balancer.prefillMs(selection.promptTokens)),
      get expiresAt () { return Math.min(expiresAt, latestStart(route)) },
      mayWaitFor: choice => this.#mayWaitFor(choice, selection.service, route),
      choose: () => this.#takePermit(balancer.choose({ ...selection, timeToObjectiveMs: times.timeToObjectiveMs(route) }), selection),
      isQuarantined: () => crashes.quarantine({ team: team?.name, service: selection.service.name }) !== undefined,
      requestLoad: (ask, waiting) => balancer.requestLoad(ask, selection.key ?? '', waiting, rank())
    }
  }

  /** The work that the request causes: tokens of a generation, milliseconds in a slot of a plain service. */
  #workOf ({ service }: SelectionRequest, { route }: Admission): number {
    return service.engine === undefined ? this.options.queue.slotTimes.of(route.name) : this.request.incoming.workTokens
  }

  async #wait (first: Choice, request: QueuedRequest, selection: SelectionRequest, admitted: Admission): Promise<ServerSelection> {
    const { queue, plainServices } = this.options
    const leaveQueue = selection.key === undefined ? plainServices.enterQueue(selection.service.name, selection.team) : undefined
    const started = nowMs()
    const outcome = await queue.wait(request, first, this.request.cancellation)
    leaveQueue?.()
    this.#recordWait(first, outcome, nowMs() - started)
    if (outcome.type !== 'chosen' && selection.key !== undefined && queue.waiting(selection.key) === 0) this.options.balancer.withdrawDemand(selection.key)
    if (outcome.type === 'quarantined') return { type: 'readmit' }
    if (outcome.type === 'chosen') return this.#chosen(outcome.choice, selection, admitted)
    if (outcome.type === 'cancelled') return { type: 'cancelled' }
    const { last, returnTime } = outcome
    return { type: 'no_server', reason: last.reason, notBeforeMs: returnTime.ms, expected: returnTime.measured }
  }

  /**
   * Whether the list of servers has been read since this process started. The routing table is read by another call, 0.1 s and more
   * before it where the machine is overloaded, and requests that waited only as long as for a service without servers were refused.
   */
  get #serversRead (): boolean {
    return this.options.facts.complete.server > 0
  }

  #recordWait ({ type }: Choice, outcome: WaitOutcome, waitedMs: number): void {
    const { counters } = this.options
    const { record } = this.request
    const waitedFor = type === 'send' ? 'full' : type
    record.expectedWaitMs ??= outcome.expectedMs
    if (outcome.type === 'expired' && outcome.rejection !== undefined) {
      record.rejection = outcome.rejection
      counters.rejected.inc({ for: outcome.last.type })
      if (outcome.onArrival) return
    }
    record.waitedMs += waitedMs
    counters.waited.observe({ for: waitedFor }, waitedMs / 1000)
    if (outcome.type === 'chosen' && outcome.expectedMs !== undefined) counters.waitEstimateError.observe({ for: waitedFor }, (outcome.expectedMs - waitedMs) / 1000)
  }

  /** When it stops waiting. */
  #expiryOf ({ type }: Choice, service: FleetService, route: Route): number {
    const { plainServices } = this.options
    const { times } = this.request
    if (type === 'none' && this.#serversRead) return times.waitForServersUntil(route)
    const waitsForBusyService = (type === 'limited' || type === 'send') && plainServices.isEnforced(service.name)
    return waitsForBusyService ? times.startUntil(route) : times.waitUntil(route)
  }

  #mayWaitFor (choice: Choice, service: FleetService, route: Route): boolean {
    if (!hasReadyTime(choice)) return true
    const { plainServices } = this.options
    const { times } = this.request
    const busy = choice.type === 'limited' && plainServices.isEnforced(service.name)
    return nowMs() + choice.readyInMs <= (busy ? times.startUntil(route) : times.waitForBackoffUntil(route))
  }

  /** No server of the service accepts new requests, and the store, from which this entry would learn of others, does not answer. */
  #noServerExpected (service: FleetService): boolean {
    const { facts } = this.options
    return facts.sight === 'blind' && facts.eligibleServers(service.name).length === 0
  }
}
