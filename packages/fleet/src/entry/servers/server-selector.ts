/**
 * Selects the server that one request is sent to next, and has the request wait for a server, an adapter, the end of a backoff
 * or the limit that a server advertises.
 *
 * A request waits only while that can still help its caller. If it is known that nothing becomes available in time, the caller is
 * answered at once, with the time after which to retry.
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
import { queuedBehind, type RequestQueue } from '../waiting/request-queue.js'

export type SendChoice = Extract<Choice, { type: 'send' }>

/** The request can't be sent to any server; callers should not retry before `notBeforeMs` have passed. */
export interface NoServer {
  type: 'no_server'
  reason: string
  notBeforeMs: number
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

export interface ServerSelectorOptions {
  facts: Facts
  balancer: Balancer
  queue: RequestQueue
  counters: EntryCounters
  times: RequestTimes
  record: RequestRecord
  crashes: RequestCrashes
  /** Cancelled when the caller disconnects or the deadline passes. */
  cancellation: Cancellation
}

export class ServerSelector {
  constructor (private readonly options: ServerSelectorOptions) {}

  async choose (selection: SelectionRequest, admitted: Admission): Promise<ServerSelection> {
    const { balancer, cancellation, record } = this.options
    // Other entries pass on their unused part of the limit within some ms; another engine may have to load the adapter first.
    if (!cancellation.cancelled) record.limitedBy = await balancer.awaitRateLimit(selection) ?? record.limitedBy
    if (cancellation.cancelled) return { type: 'cancelled' }
    const first = this.#delayBehindQueued(balancer.choose(selection), selection, admitted)
    if (first.type === 'send') return { type: 'chosen', choice: first }
    if (first.type === 'none' && this.#noServerExpected(selection.service)) return { type: 'no_server', reason: 'nobody_left', notBeforeMs: outageRetryAfterMs }
    if (!this.#mayWaitFor(first, admitted.route)) return noServerFrom(first)
    return await this.#wait(first, selection, admitted)
  }

  /** Puts the request behind those that already wait for rate-limited servers and rank before it. */
  #delayBehindQueued (choice: Choice, { service, promptTokens }: SelectionRequest, admitted: Admission): Choice {
    const { balancer, queue } = this.options
    if (choice.type === 'send' ? !balancer.isLimited(choice.id) : choice.type !== 'limited') return choice
    const ahead = queue.limitedAhead(service.name, this.rank(admitted, promptTokens))
    const limited = ahead === 0 ? undefined : balancer.limitedChoice(service.name)
    return limited === undefined ? choice : queuedBehind(limited, ahead)
  }

  /** Its rank in the queues of this entry and of its engine; the lowest goes first. */
  rank ({ route, priority }: Admission, promptTokens: number): number {
    const { times, balancer } = this.options
    return times.rank({ priority, objectiveMs: route.objectiveMs }, balancer.prefillMs(promptTokens))
  }

  async #wait (first: Exclude<Choice, SendChoice>, selection: SelectionRequest, admitted: Admission): Promise<ServerSelection> {
    const { balancer, queue, times, crashes, cancellation } = this.options
    const { route } = admitted
    const rank = (): number => this.rank(admitted, selection.promptTokens)
    const started = nowMs()
    const outcome = await queue.wait({
      key: selection.key ?? selection.service.name,
      service: selection.service.name,
      rank,
      expiresAt: first.type === 'none' && this.#serversRead ? times.waitForServersUntil(route) : times.waitUntil(route),
      mayWaitFor: choice => this.#mayWaitFor(choice, route),
      choose: () => balancer.choose({ ...selection, timeToObjectiveMs: times.timeToObjectiveMs(route) }),
      isQuarantined: () => crashes.quarantine(admitted.team) !== undefined,
      requestLoad: (ask, waiting) => balancer.requestLoad(ask, selection.key ?? '', waiting, rank())
    }, first, cancellation)
    this.#recordWait(first, nowMs() - started)
    if (outcome.type !== 'chosen' && selection.key !== undefined && queue.waiting(selection.key) === 0) balancer.withdrawDemand(selection.key)
    if (outcome.type === 'quarantined') return { type: 'readmit' }
    return outcome.type === 'expired' ? noServerFrom(outcome.last) : outcome
  }

  /**
   * Whether the list of servers has been read since this process started. The routing table is read by another call, 0.1 s and more
   * before it where the machine is overloaded, and requests that waited only as long as for a service without servers were refused.
   */
  get #serversRead (): boolean {
    return this.options.facts.complete.server > 0
  }

  #recordWait (first: Choice, waitedMs: number): void {
    this.options.record.waitedMs += waitedMs
    this.options.counters.waited.observe({ for: first.type }, waitedMs / 1000)
  }

  #mayWaitFor (choice: Choice, route: Route): boolean {
    return !hasReadyTime(choice) || nowMs() + choice.readyInMs <= this.options.times.waitForBackoffUntil(route)
  }

  /** No server of the service accepts new requests, and the store, from which this entry would learn of others, does not answer. */
  #noServerExpected (service: FleetService): boolean {
    const { facts } = this.options
    return facts.sight === 'blind' && facts.eligibleServers(service.name).length === 0
  }
}
