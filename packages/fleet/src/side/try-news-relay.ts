/**
 * Passing on to entries what other entries met: servers that ended under requests, requests that are sound, and limits that
 * servers name.
 *
 * It keeps what it was told, for entries that start or come later.
 */
import type { RequestFingerprint } from '@finchpitch/core'
import { CrashLedger, LimitLedger, crashLimits } from '@finchpitch/decisions'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import { framesOf, gatherMsOf, greetWith, greetWithLimits, isEmpty, joined, takeCrashes, takeLimits, type TryNews } from '../try-news.js'
import { SoonTimer } from '../soon-timer.js'

/** All entries that had requests at a server tell of its end within some ms; they are passed on together. */
const crashesMs = 20

export class TryNewsRelay {
  readonly #ledger = new CrashLedger(crashLimits)
  readonly #limits = new LimitLedger()
  readonly #startedAt = nowMs()
  #news: Array<{ news: TryNews, from: Channel }> = []
  readonly #gather = new SoonTimer(() => this.#passOn())

  /** `entries`: channels to the entries that are told the news of this process. */
  constructor (private readonly entries: () => Channel[]) {}

  take (from: Channel, frame: FrameOf<'crashes'>): void {
    if (frame.ask !== undefined) return this.#answerAsk(from, frame.ask, frame.stamp)
    from.send({ type: 'crashes_noted', stamp: frame.stamp })
    this.#answer(from, frame)
    const limits = takeLimits(frame).filter(word => this.#limits.note(word))
    this.#limits.expire(nowMs())
    const news = { ...takeCrashes(this.#ledger, frame), limits }
    if (isEmpty(news)) return
    this.#news.push({ news, from })
    this.#gather.within(gatherMsOf(news, crashesMs))
  }

  /**
   * An entry would run a request whose quarantine has lapsed. One may, and tells the others; what its run shows comes as news. A
   * process that has just started can't know whether its former life let another one do so.
   */
  #answerAsk (entry: Channel, fingerprint: RequestFingerprint, stamp: number): void {
    const now = nowMs()
    const granted = now - this.#startedAt >= crashLimits.probeMs && this.#ledger.quarantine(fingerprint, now) === undefined && this.#ledger.probed({ fingerprint, at: now }, now)
    entry.send({ type: 'crashes_noted', stamp, granted })
  }

  /**
   * What else is known of these requests. An entry that started while no side process near knew of them would otherwise
   * count from one again, and let two more servers end.
   */
  #answer (entry: Channel, { crashes }: FrameOf<'crashes'>): void {
    const reported = new Set(crashes.map(([fingerprint, server]) => `${fingerprint} ${server}`))
    const known = [...new Set(crashes.map(([fingerprint]) => fingerprint))].flatMap(fingerprint => this.#ledger.crashesOf(fingerprint, nowMs()))
    const more = known.filter(({ fingerprint, server }) => !reported.has(`${fingerprint} ${server}`))
    for (const frame of framesOf({ crashes: more, sound: [], limits: [], probes: [] })) entry.send(frame)
  }

  /** All that is known, to an entry that has come. */
  greet (entry: Channel): void {
    greetWith(this.#ledger, entry)
    greetWithLimits(this.#limits, entry)
  }

  close (): void {
    this.#gather.stop()
  }

  #passOn (): void {
    const told = this.#news
    this.#news = []
    for (const entry of this.entries()) {
      const others = told.filter(({ from }) => from !== entry).map(({ news }) => news)
      for (const frame of framesOf(joined(others))) entry.send(frame)
    }
  }
}
