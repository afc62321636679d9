/**
 * Selects the server that one request is sent to next, and has the request wait for a server, an adapter, the end of a backoff
 * or a rate limit.
 *
 * A request waits only while that can still help its caller. If it is known that nothing becomes available in time, the caller is
 * told at once when to retry.
 */
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { FleetService, Route } from '../table.js'
import type { SelectionRequest, Balancer } from './balancer.js'
import type { Cancellation } from './cancellation.js'
import type { Choice } from './choice.js'
import type { EntryCounters } from './counters.js'
import type { Admission } from './admission.js'
import { outageRetryAfterMs } from './local-replies.js'
import type { RequestCrashes } from './request-crashes.js'
import type { RequestRecord } from './request-record.js'
import type { RequestTimes } from './request-times.js'
import { queuedBehind, type RequestQueue } from './request-queue.js'

export type SendChoice = Extract<Choice, { type: 'send' }>

/** The request can't be sent to any server; callers should not retry before `notBeforeMs` have passed. */
export interface NoServer {
  type: 'nowhere'
  reason: string
  notBeforeMs: number
}

export type ServerSelection =
  | { type: 'chosen', choice: SendChoice }
  | NoServer
  /** Admission has to be checked again before it may be sent. */
  | { type: 'anew' }
  /** Its caller disconnected while it waited, or its deadline passed. */
  | { type: 'left' }

export const noServerFrom = (choice: Choice): NoServer =>
  ({ type: 'nowhere', reason: choice.reason, notBeforeMs: hasReadyTime(choice) ? Math.ceil(choice.readyInMs) : 0 })

/** Whether the choice says when a server becomes available. */
export const hasReadyTime = (choice: Choice): choice is Extract<Choice, { type: 'resting' | 'limited' }> => choice.type === 'resting' || choice.type === 'limited'

export interface ServerSelectorOptions {
  facts: Facts
  balancer: Balancer
  room: RequestQueue
  counters: EntryCounters
  times: RequestTimes
  record: RequestRecord
  crashes: RequestCrashes
  /** Cancelled when the caller disconnects or the deadline passes. */
  cancellation: Cancellation
}

export class ServerSelector {
  constructor (private readonly options: ServerSelectorOptions) {}

  async choose (asked: SelectionRequest, admitted: Admission): Promise<ServerSelection> {
    const { balancer, cancellation: left, record } = this.options
    // Other entries hand over unused allowance within some ms; sending the request to another engine may mean a load first.
    if (!left.cancelled) record.limitedBy = await balancer.awaitRateLimit(asked) ?? record.limitedBy
    if (left.cancelled) return { type: 'left' }
    const first = this.#delayBehindQueued(balancer.choose(asked), asked, admitted)
    if (first.type === 'send') return { type: 'chosen', choice: first }
    if (first.type === 'none' && this.#noServerExpected(asked.service)) return { type: 'nowhere', reason: 'nobody_left', notBeforeMs: outageRetryAfterMs }
    if (!this.#mayWaitFor(first, admitted.route)) return noServerFrom(first)
    return await this.#wait(first, asked, admitted)
  }

  /** Puts the request behind those that already wait for rate-limited servers and rank higher. */
  #delayBehindQueued (choice: Choice, { service, promptTokens }: SelectionRequest, admitted: Admission): Choice {
    const { balancer, room } = this.options
    if (choice.type === 'send' ? !balancer.isLimited(choice.id) : choice.type !== 'limited') return choice
    const ahead = room.limitedAhead(service.name, this.rank(admitted, promptTokens))
    const limited = ahead === 0 ? undefined : balancer.limitedChoice(service.name)
    return limited === undefined ? choice : queuedBehind(limited, ahead)
  }

  /** Its rank in the queues of this entry and of its engine; the lowest goes first. */
  rank ({ route, priority }: Admission, promptTokens: number): number {
    const { times, balancer } = this.options
    return times.rank({ priority, objectiveMs: route.objectiveMs }, balancer.prefillMs(promptTokens))
  }

  async #wait (first: Exclude<Choice, SendChoice>, asked: SelectionRequest, admitted: Admission): Promise<ServerSelection> {
    const { balancer, room, times, crashes, cancellation: left } = this.options
    const { route } = admitted
    const rank = (): number => this.rank(admitted, asked.promptTokens)
    const started = nowMs()
    const outcome = await room.wait({
      key: asked.key ?? asked.service.name,
      service: asked.service.name,
      rank,
      expiresAt: first.type === 'none' ? times.waitForServersUntil(route) : times.waitUntil(route),
      mayWaitFor: choice => this.#mayWaitFor(choice, route),
      choose: () => balancer.choose({ ...asked, inTimeMs: times.timeToObjectiveMs(route) }),
      isQuarantined: () => crashes.quarantine(admitted.team) !== undefined,
      requestLoad: (ask, waiting) => balancer.bring(ask, asked.key ?? '', waiting, rank())
    }, first, left)
    this.#recordWait(first, nowMs() - started)
    if (outcome.type === 'hopeless') return { type: 'anew' }
    return outcome.type === 'expired' ? noServerFrom(outcome.last) : outcome
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
