/**
 * Recognizes callers that return after a rejection, by the remaining time that their requests state.
 *
 * Load: callers of a route start with different time-outs. On two routes, a third of the first attempts stated 175 to 333 ms less
 * than the others; taken for returning callers, they ranked as late. A caller therefore counts as returning only if requests of its
 * service were rejected within the time that it may have waited, and if callers don't state such a time while none is rejected.
 */

/** A first attempt states up to this much less than its caller's time-out; the difference is network latency. */
const latencyMs = 150
/** Precision of the stated times. */
const binMs = 50
/** Bins that hold the time-outs of callers whose first attempts state the time of the first one. */
const binsWithinLatency = latencyMs / binMs + 1
/** Number of samples after which older ones are halved. */
const decayAfter = 200
/** Fewer samples may miss a time-out that callers use. */
const minSamples = 8
/** A time-out that fewer callers use is not known as one. */
const minUsualShare = 0.05
/** If fewer requests state known time-outs, callers use too many different ones to tell which of them return. */
const minKnownShare = 0.8
/** Where requests were always rejected, those near the longest time are first attempts, if they are at least this share. */
const minFirstAttemptShare = 0.4

/** The longest time that a caller has waited that now states this, as it waits at most a third of its time. */
export const longestWaitMs = (remainingMs: number): number => remainingMs / 2

interface Bin {
  maxMs: number
  count: number
}

/** The remaining times that requests of one route state. */
export class StatedTimes {
  readonly #bins = new Map<number, Bin>()
  #total = 0
  /** Share of the requests that state known time-outs; `undefined` if it has to be computed. */
  #knownShare: number | undefined
  /** Samples while requests were rejected: the longest time, those near it and all. */
  #others = { maxMs: 0, nearMax: 0, total: 0 }

  /** Adds the stated time of a request that arrived while none was rejected, which is a first attempt. */
  add (remainingMs: number): void {
    const index = Math.floor(remainingMs / binMs)
    const bin = this.#bins.get(index) ?? { maxMs: 0, count: 0 }
    this.#bins.set(index, bin)
    bin.maxMs = Math.max(bin.maxMs, remainingMs)
    bin.count += 1
    this.#total += 1
    if (this.#total >= decayAfter) this.#halve()
    this.#knownShare = undefined
  }

  /** Adds the stated time of a request that may be of a returning caller. */
  addUncertain (remainingMs: number): void {
    const others = this.#others
    if (remainingMs > others.maxMs + latencyMs) others.nearMax = others.total = 0
    others.maxMs = Math.max(others.maxMs, remainingMs)
    others.total += 1
    if (remainingMs > others.maxMs - latencyMs) others.nearMax += 1
    if (others.total < decayAfter) return
    others.total /= 2
    others.nearMax /= 2
  }

  /** The times since the first attempt that a returning caller may have, the likeliest first; none for a first attempt, or where it can't be known. */
  possibleAgoMs (remainingMs: number): number[] {
    if (this.#total < minSamples) return this.#belowMaximum(remainingMs)
    if (this.#isUsual(Math.floor(remainingMs / binMs)) || this.#usualShare < minKnownShare) return []
    return [...this.#bins]
      .filter(([index, { maxMs }]) => maxMs >= remainingMs + latencyMs && this.#isUsual(index))
      .sort(([, a], [, b]) => b.count - a.count)
      .map(([, { maxMs }]) => maxMs - remainingMs)
  }

  #belowMaximum (remainingMs: number): number[] {
    const { maxMs, nearMax, total } = this.#others
    const agoMs = maxMs - remainingMs
    return agoMs < latencyMs || nearMax < total * minFirstAttemptShare ? [] : [agoMs]
  }

  /** Whether first attempts state times of this bin. */
  #isUsual (index: number): boolean {
    let count = 0
    for (let each = index; each < index + binsWithinLatency; each++) count += this.#bins.get(each)?.count ?? 0
    return count >= this.#total * minUsualShare
  }

  get #usualShare (): number {
    if (this.#knownShare !== undefined) return this.#knownShare
    let known = 0
    for (const [index, { count }] of this.#bins) if (this.#isUsual(index)) known += count
    this.#knownShare = known / this.#total
    return this.#knownShare
  }

  #halve (): void {
    this.#total = 0
    for (const [index, bin] of this.#bins) {
      bin.count /= 2
      if (bin.count < 0.5) this.#bins.delete(index)
      else this.#total += bin.count
    }
  }
}

/** A request that was rejected, or that failed. */
export interface RejectedAttempt {
  /** Time since its caller's first attempt. */
  spentMs: number
  /** Time after which its caller returns if it waits as told, but at most a third of its time. */
  returnInMs: number
}

/** The rejections within `periodMs` from `startsAt`. */
interface RejectionPeriod {
  startsAt: number
  lastAt: number
  /** The earliest time since its first attempt at which such a caller returns. */
  earliestAgoMs: number
  longestSpentMs: number
}

const periodMs = 100
/** No caller that waits a third of its time has more time than this. */
const retentionMs = 5000

/** The requests of one service that were rejected lately. */
export class RecentRejections {
  readonly #periods: RejectionPeriod[] = []

  record ({ spentMs, returnInMs }: RejectedAttempt, now: number): void {
    while (now - (this.#periods[0]?.lastAt ?? now) > retentionMs) this.#periods.shift()
    const last = this.#periods.at(-1)
    if (last === undefined || now - last.startsAt >= periodMs) {
      this.#periods.push({ startsAt: now, lastAt: now, earliestAgoMs: spentMs + returnInMs, longestSpentMs: spentMs })
      return
    }
    last.lastAt = now
    last.earliestAgoMs = Math.min(last.earliestAgoMs, spentMs + returnInMs)
    last.longestSpentMs = Math.max(last.longestSpentMs, spentMs)
  }

  /** Whether a request was rejected within the time that a caller may have waited which states this. */
  isRecent (remainingMs: number, now: number): boolean {
    const last = this.#periods.at(-1)
    return last !== undefined && now - last.lastAt <= longestWaitMs(remainingMs) + latencyMs
  }

  /** Whether a caller that first tried `agoMs` ago may have been rejected like one of these. */
  explains (agoMs: number, remainingMs: number, now: number): boolean {
    const since = now - longestWaitMs(remainingMs) - latencyMs
    return this.#periods.some(({ startsAt, lastAt, earliestAgoMs, longestSpentMs }) =>
      lastAt >= since && agoMs >= earliestAgoMs && agoMs <= longestSpentMs + (now - startsAt) + latencyMs)
  }
}
