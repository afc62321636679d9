/**
 * The pace of an engine: the prefill time per prompt token and the run time per output token, from sums that all entries report.
 *
 * Load pattern: engines of one service differ in pace by a factor of two, and each is slower for parts of a second. One entry sees
 * only a few requests per second at an engine, all entries together see enough.
 */
import { DecayingSum } from './decaying-sum.js'

/** Slow phases of engines last for some 0.6 s, and demand changes within seconds. */
const halfLifeMs = 2000
/** With fewer prompt or output tokens counted, chance decides: about three usual requests. */
const minPromptTokens = 2000
const minOutputTokens = 200
/** Smaller changes don't change which engine is chosen. */
const significantChange = 0.1
/** Smaller changes are left out of the log: under load, the measured pace of an unchanged engine varies by a tenth several times a second. */
const loggedChange = 0.25
/** Engines that differ less count as equal, since measures of equal engines differ by about as much. */
const significantSpread = 1.15
/** Bounds of an engine's weight, so that no measure leaves an engine without adapters. */
const weightBounds = { least: 0.25, most: 4 }

/** What was observed: prefilled prompt tokens and the time for that, output tokens and the time from the first to the last. */
export type PaceSums = readonly [promptTokens: number, prefillMs: number, outputTokens: number, runMs: number]

export interface Pace {
  /** Prefill time in ms per 1000 prompt tokens. */
  prefillMs: number
  /** Run time in ms per output token that requests state as their maximum. */
  tokenMs: number
}

export class PaceEstimate {
  readonly #sums = [0, 1, 2, 3].map(() => new DecayingSum(halfLifeMs))

  add (sums: PaceSums, now: number): void {
    for (const [at, amount] of sums.entries()) this.#sums[at]?.add(amount, now)
  }

  /** `undefined` until enough was observed lately. */
  at (now: number): Pace | undefined {
    const [promptTokens = 0, prefillMs = 0, outputTokens = 0, runMs = 0] = this.#sums.map(sum => sum.at(now))
    if (promptTokens < minPromptTokens || outputTokens < minOutputTokens) return undefined
    return { prefillMs: prefillMs / promptTokens * 1000, tokenMs: runMs / outputTokens }
  }
}

const differs = (before: number, now: number, share: number): boolean => Math.abs(now - before) > share * before

const hasChanged = (before: Pace | undefined, now: Pace, share: number): boolean => before === undefined ||
  differs(before.prefillMs, now.prefillMs, share) || differs(before.tokenMs, now.tokenMs, share)

/** Whether the pace has changed by so much that it is worth publishing. */
export const isPaceChangeSignificant = (published: Pace | undefined, now: Pace): boolean => hasChanged(published, now, significantChange)

/** Whether the pace has changed by so much that it is worth a log line. */
export const isPaceChangeLogged = (logged: Pace | undefined, now: Pace): boolean => hasChanged(logged, now, loggedChange)

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

const spreadOf = (values: readonly number[]): number => Math.max(...values) / Math.max(Number.MIN_VALUE, Math.min(...values))

/** Paces of the engines of one service that differ so much that choices should depend on them. */
export interface PaceComparison {
  /** Assumed for an engine whose pace is not known. */
  mean: Pace
  /** The weight of an engine by its pace relative to the mean: one at half the mean pace has a weight of a half. */
  weightOf: (pace: Pace) => number
}

/** `undefined` while all engines are about equally quick. */
export const comparePaces = (paces: readonly Pace[]): PaceComparison | undefined => {
  if (paces.length < 2) return undefined
  const prefills = paces.map(({ prefillMs }) => prefillMs)
  const tokens = paces.map(({ tokenMs }) => tokenMs)
  if (Math.max(spreadOf(prefills), spreadOf(tokens)) <= significantSpread) return undefined
  const average = { prefillMs: mean(prefills), tokenMs: mean(tokens) }
  const weightOf = ({ prefillMs, tokenMs }: Pace): number => {
    const slowness = (prefillMs / average.prefillMs + tokenMs / average.tokenMs) / 2
    return Math.min(weightBounds.most, Math.max(weightBounds.least, 1 / slowness))
  }
  return { mean: average, weightOf }
}
