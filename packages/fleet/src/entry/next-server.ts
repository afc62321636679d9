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
import type { Asked, Balancer } from './balancer.js'
import type { Cancellation } from './cancellation.js'
import type { Choice } from './choice.js'
import type { EntryCounters } from './counters.js'
import type { Admitted } from './gate.js'
import { outageRetryMs } from './own-answers.js'
import type { RequestCrashes } from './request-crashes.js'
import type { RequestRecord } from './request-record.js'
import type { RequestTimes } from './request-times.js'
import { behind, type WaitingRoom } from './waiting-room.js'

export type Sending = Extract<Choice, { type: 'send' }>

/** The request can't be sent to any server; callers should not retry before `notBeforeMs` have passed. */
export interface Nowhere {
  type: 'nowhere'
  reason: string
  notBeforeMs: number
}

export type Next =
  | { type: 'chosen', choice: Sending }
  | Nowhere
  /** Admission has to be checked again before it may be sent. */
  | { type: 'anew' }
  /** Its caller disconnected while it waited, or its deadline passed. */
  | { type: 'left' }

export const nowhereOf = (choice: Choice): Nowhere =>
  ({ type: 'nowhere', reason: choice.reason, notBeforeMs: isTimed(choice) ? Math.ceil(choice.readyInMs) : 0 })

/** Whether the choice says when a server becomes available. */
export const isTimed = (choice: Choice): choice is Extract<Choice, { type: 'resting' | 'limited' }> => choice.type === 'resting' || choice.type === 'limited'

export interface NextServerOptions {
  facts: Facts
  balancer: Balancer
  room: WaitingRoom
  counters: EntryCounters
  times: RequestTimes
  record: RequestRecord
  crashes: RequestCrashes
  /** Cancelled when the caller disconnects or the deadline passes. */
  left: Cancellation
}

export class NextServer {
  constructor (private readonly options: NextServerOptions) {}

  async choose (asked: Asked, admitted: Admitted): Promise<Next> {
    const { balancer, left, record } = this.options
    // Other entries hand over unused allowance within some ms; sending the request to another engine may mean a load first.
    if (!left.cancelled) record.limitedBy = await balancer.bringRequest(asked) ?? record.limitedBy
    if (left.cancelled) return { type: 'left' }
    const first = this.#delayBehindQueued(balancer.choose(asked), asked, admitted)
    if (first.type === 'send') return { type: 'chosen', choice: first }
    if (first.type === 'none' && this.#noServerExpected(asked.service)) return { type: 'nowhere', reason: 'nobody_left', notBeforeMs: outageRetryMs }
    if (!this.#mayWaitFor(first, admitted.route)) return nowhereOf(first)
    return await this.#wait(first, asked, admitted)
  }

  /** Puts the request behind those that already wait for rate-limited servers and rank higher. */
  #delayBehindQueued (choice: Choice, { service, promptTokens }: Asked, admitted: Admitted): Choice {
    const { balancer, room } = this.options
    if (choice.type === 'send' ? !balancer.isLimited(choice.id) : choice.type !== 'limited') return choice
    const ahead = room.limitedAhead(service.name, this.rank(admitted, promptTokens))
    const limited = ahead === 0 ? undefined : balancer.limitedChoice(service.name)
    return limited === undefined ? choice : behind(limited, ahead)
  }

  /** Its rank in the queues of this entry and of its engine; the lowest goes first. */
  rank ({ route, priority }: Admitted, promptTokens: number): number {
    const { times, balancer } = this.options
    return times.rank({ priority, objectiveMs: route.objectiveMs }, balancer.readingMs(promptTokens))
  }

  async #wait (first: Exclude<Choice, Sending>, asked: Asked, admitted: Admitted): Promise<Next> {
    const { balancer, room, times, crashes, left } = this.options
    const { route } = admitted
    const rank = (): number => this.rank(admitted, asked.promptTokens)
    const started = nowMs()
    const outcome = await room.wait({
      key: asked.key ?? asked.service.name,
      service: asked.service.name,
      rank,
      until: first.type === 'none' ? times.waitForAnybodyUntil(route) : times.waitUntil(route),
      mayWaitFor: choice => this.#mayWaitFor(choice, route),
      choose: () => balancer.choose({ ...asked, inTimeMs: times.inTimeMs(route) }),
      hopeless: () => crashes.quarantine(admitted.team) !== undefined,
      bring: (ask, waiting) => balancer.bring(ask, asked.key ?? '', waiting, rank())
    }, first, left)
    this.#recordWait(first, nowMs() - started)
    if (outcome.type === 'hopeless') return { type: 'anew' }
    return outcome.type === 'expired' ? nowhereOf(outcome.last) : outcome
  }

  #recordWait (first: Choice, waitedMs: number): void {
    this.options.record.waitedMs += waitedMs
    this.options.counters.waited.observe({ for: first.type }, waitedMs / 1000)
  }

  #mayWaitFor (choice: Choice, route: Route): boolean {
    return !isTimed(choice) || nowMs() + choice.readyInMs <= this.options.times.waitForRestUntil(route)
  }

  /** No server of the service accepts new requests, and the store, from which this entry would learn of others, does not answer. */
  #noServerExpected (service: FleetService): boolean {
    const { facts } = this.options
    return facts.sight === 'blind' && facts.openTo(service.name).length === 0
  }
}
