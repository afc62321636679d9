/**
 * Telling the other entries what tries met: servers that ended under requests, and limits that servers name.
 *
 * One side process of each failure domain is told, the same by all entries, and tells the entries that follow it. So an end
 * costs an entry one frame a domain, and each entry one frame for what all others met together. A side process that does not
 * answer is passed by and the next one is told.
 */
import type { Log } from '@finchpitch/core'
import type { Channel } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { reportFrames, batchDelayMs, hasNoReports, mergeReports, noReports, type AttemptReports } from '../attempt-reports.js'
import { CoalescingTimer } from '../coalescing-timer.js'
import { MeetingPlace } from './meeting-place.js'

/** A server that ends takes a batch of requests along; they are told together. */
const crashesMs = 5
/** Side processes answer within some ms, across domains too; one that is not joined yet within 0.3 s. */
const answerMs = 400
const checkMs = 100
/** One that did not answer isn't told for this long. */
const passedByMs = 5000
/** By then every side process of a small domain was tried. */
const mostTries = 5

/** Where a side process is, and whether it can be told now. */
export interface SidePlace {
  host: string
  domain: string
  /** Not shown to be stuck or gone. */
  lively: boolean
}

export interface TryNewsExchangeOptions {
  places: () => SidePlace[]
  /** The channel to a side process; opens one where there is none yet. */
  channelTo: (host: string) => Channel | undefined
  log: Log
}

/** What one side process of a domain has to have. */
interface Due {
  news: AttemptReports
  domain: string
  /** The one that is told now. */
  host: string | undefined
  /** Of the last frame that it was sent. */
  stamp: number | undefined
  triedAt: number
  tries: number
}

export class TryNewsExchange {
  readonly #due = new Set<Due>()
  readonly #meeting = new MeetingPlace({ matter: 'crashes', passedByMs, now: nowMs })
  #gathered: AttemptReports = noReports
  readonly #gather = new CoalescingTimer(() => this.#tellGathered())
  /** Runs while something is due. */
  #check: NodeJS.Timeout | undefined

  constructor (private readonly options: TryNewsExchangeOptions) {}

  tell (news: AttemptReports): void {
    if (hasNoReports(news)) return
    this.#gathered = mergeReports([this.#gathered, news])
    this.#gather.runWithin(batchDelayMs(news, crashesMs))
  }

  /** The side process at `host` has the frame with that stamp. */
  noted (host: string, stamp: number): void {
    for (const due of this.#due) if (due.host === host && due.stamp === stamp) this.#due.delete(due)
    this.#rest()
  }

  close (): void {
    this.#gather.stop()
    clearInterval(this.#check)
  }

  #tellGathered (): void {
    const news = this.#gathered
    this.#gathered = noReports
    const domains = new Set(this.options.places().map(place => place.domain))
    for (const domain of domains) this.#begin(news, domain)
  }

  #begin (news: AttemptReports, domain: string): void {
    const due: Due = { news, domain, host: undefined, stamp: undefined, triedAt: -Infinity, tries: 0 }
    this.#due.add(due)
    this.#tryNext(due)
    this.#check ??= setInterval(() => this.#checkAll(), checkMs)
  }

  #checkAll (): void {
    for (const due of this.#due) {
      if (due.stamp === undefined) this.#send(due)
      if (nowMs() - due.triedAt < answerMs) continue
      if (due.host !== undefined) this.#meeting.passBy(due.host)
      this.#tryNext(due)
    }
    this.#rest()
  }

  #rest (): void {
    if (this.#due.size > 0) return
    clearInterval(this.#check)
    this.#check = undefined
  }

  #tryNext (due: Due): void {
    if (due.tries >= mostTries) {
      this.#due.delete(due)
      this.options.log.warn('crashes.not_passed_on', { domain: due.domain, crashes: due.news.crashes.length, sound: due.news.sound.length, limits: due.news.limits.length, tries: due.tries })
      return
    }
    due.host = this.#choose(due.domain)
    due.tries += 1
    due.triedAt = nowMs()
    due.stamp = undefined
    this.#send(due)
  }

  #choose (domain: string): string | undefined {
    const there = this.options.places().filter(place => place.domain === domain && place.lively)
    return this.#meeting.choose(there.map(({ host }) => host))
  }

  #send (due: Due): void {
    const channel = due.host === undefined ? undefined : this.options.channelTo(due.host)
    if (channel === undefined) return
    for (const frame of reportFrames(due.news)) if (channel.send(frame)) due.stamp = frame.stamp
  }
}
