/**
 * Where one request goes next, and its wait for a server, an adapter or the end of a rest.
 *
 * It waits while that can still help its caller, and not where it is known that nothing will come in time: then it is told at once
 * when to come back.
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

/** It can't be sent anywhere; callers should come back no sooner than in `notBeforeMs`. */
export interface Nowhere {
  type: 'nowhere'
  reason: string
  notBeforeMs: number
}

export type Next =
  | { type: 'chosen', choice: Sending }
  | Nowhere
  /** It has to be asked anew whether it may be sent. */
  | { type: 'anew' }
  /** Its caller left while it waited, or its time is up. */
  | { type: 'left' }

export const nowhereOf = (choice: Choice): Nowhere =>
  ({ type: 'nowhere', reason: choice.reason, notBeforeMs: isTimed(choice) ? Math.ceil(choice.readyInMs) : 0 })

/** Whether it is known when what is waited for comes. */
export const isTimed = (choice: Choice): choice is Extract<Choice, { type: 'resting' | 'limited' }> => choice.type === 'resting' || choice.type === 'limited'

export interface NextServerOptions {
  facts: Facts
  balancer: Balancer
  room: WaitingRoom
  counters: EntryCounters
  times: RequestTimes
  record: RequestRecord
  crashes: RequestCrashes
  /** The caller left, or its time is up. */
  left: Cancellation
}

export class NextServer {
  constructor (private readonly options: NextServerOptions) {}

  async choose (asked: Asked, admitted: Admitted): Promise<Next> {
    const { balancer, left, record } = this.options
    // Others have what this entry lacks within some ms; elsewhere an adapter may have to be brought in first.
    if (!left.cancelled) record.limitedBy = await balancer.bringRequest(asked) ?? record.limitedBy
    if (left.cancelled) return { type: 'left' }
    const first = this.#behindWaiting(balancer.choose(asked), asked, admitted)
    if (first.type === 'send') return { type: 'chosen', choice: first }
    if (first.type === 'none' && this.#nobodyWillCome(asked.service)) return { type: 'nowhere', reason: 'nobody_left', notBeforeMs: outageRetryMs }
    if (!this.#mayWaitFor(first, admitted.route)) return nowhereOf(first)
    return await this.#wait(first, asked, admitted)
  }

  /** Requests that wait for servers which name limits go first where they rank higher: this one can only be sent after them. */
  #behindWaiting (choice: Choice, { service, promptTokens }: Asked, admitted: Admitted): Choice {
    const { balancer, room } = this.options
    if (choice.type === 'send' ? !balancer.isLimited(choice.id) : choice.type !== 'limited') return choice
    const ahead = room.limitedAhead(service.name, this.rank(admitted, promptTokens))
    const limited = ahead === 0 ? undefined : balancer.limitedChoice(service.name)
    return limited === undefined ? choice : behind(limited, ahead)
  }

  /** Its rank among all that wait, here and at its engine. */
  rank ({ route, priority }: Admitted, promptTokens: number): number {
    const { times, balancer } = this.options
    return times.rank({ priority, objectiveMs: route.objectiveMs }, balancer.readingMs(promptTokens))
  }

  async #wait (first: Exclude<Choice, Sending>, asked: Asked, admitted: Admitted): Promise<Next> {
    const { balancer, room, times, crashes, left } = this.options
    const { route } = admitted
    const rank = (): number => this.rank(admitted, asked.promptTokens)
    const started = nowMs()
    const end = await room.wait({
      key: asked.key ?? asked.service.name,
      service: asked.service.name,
      rank,
      until: first.type === 'none' ? times.waitForAnybodyUntil(route) : times.waitUntil(route),
      mayWaitFor: choice => this.#mayWaitFor(choice, route),
      choose: () => balancer.choose({ ...asked, inTimeMs: times.inTimeMs(route) }),
      hopeless: () => crashes.quarantine(admitted.team) !== undefined,
      bring: (ask, waiting) => balancer.bring(ask, asked.key ?? '', waiting, rank())
    }, first, left)
    this.#noteWait(first, nowMs() - started)
    if (end.type === 'hopeless') return { type: 'anew' }
    return end.type === 'expired' ? nowhereOf(end.last) : end
  }

  #noteWait (first: Choice, waitedMs: number): void {
    this.options.record.waitedMs += waitedMs
    this.options.counters.waited.observe({ for: first.type }, waitedMs / 1000)
  }

  #mayWaitFor (choice: Choice, route: Route): boolean {
    return !isTimed(choice) || nowMs() + choice.readyInMs <= this.options.times.waitForRestUntil(route)
  }

  /** The service has no server that takes new work, and the store, which would tell of others, does not answer. */
  #nobodyWillCome (service: FleetService): boolean {
    const { facts } = this.options
    return facts.sight === 'blind' && facts.openTo(service.name).length === 0
  }
}
