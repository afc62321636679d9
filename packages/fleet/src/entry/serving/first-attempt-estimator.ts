/**
 * Estimates how long ago a caller made its first attempt, from the remaining time that its request states.
 *
 * Most callers of a route start with the same time-out, so a request that states less is a retry. The latency objective
 * runs from the caller's first attempt, which no request states. The estimate separates requests that are already late
 * from those that can still meet the objective (`request-rank.ts` has the measured gain).
 */

/** A remaining time this close to the maximum is a first attempt; the difference is network latency. */
const firstAttemptToleranceMs = 150
/** Number of samples after which older ones are halved. */
const decayAfter = 100
/** With a smaller fraction of first attempts, callers of the route use different time-outs, and nothing can be estimated. */
const minFirstAttemptShare = 0.4

/** Decayed statistics of a route. */
interface RouteSamples {
  /** The longest remaining time stated. */
  maxMs: number
  /** Samples close to the maximum. */
  nearMax: number
  total: number
}

export class FirstAttemptEstimator {
  readonly #routes = new Map<string, RouteSamples>()

  /** Estimated time since the first attempt of a caller that has `remainingMs` left; 0 for a first attempt, or where it can't be estimated. */
  agoMs (route: string, remainingMs: number): number {
    const samples = this.#addSample(route, remainingMs)
    const ago = samples.maxMs - remainingMs
    return ago < firstAttemptToleranceMs || samples.nearMax < samples.total * minFirstAttemptShare ? 0 : ago
  }

  #addSample (route: string, remainingMs: number): RouteSamples {
    const samples = this.#routes.get(route) ?? { maxMs: 0, nearMax: 0, total: 0 }
    this.#routes.set(route, samples)
    if (remainingMs > samples.maxMs + firstAttemptToleranceMs) samples.nearMax = samples.total = 0
    samples.maxMs = Math.max(samples.maxMs, remainingMs)
    samples.total += 1
    if (remainingMs > samples.maxMs - firstAttemptToleranceMs) samples.nearMax += 1
    if (samples.total >= decayAfter) {
      samples.total /= 2
      samples.nearMax /= 2
    }
    return samples
  }
}
