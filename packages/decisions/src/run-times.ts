/**
 * An upper estimate of how long a run takes, from the latest runs of its route.
 *
 * A process that is about to stop sends a request only if its run is expected to end in time. Both errors cost: a request that is sent
 * and then cut may have run for nothing, and one that is refused might have been served. The first can't be taken back, so the longest
 * of the latest runs counts, not the usual one.
 */

export interface Run {
  /** Time to the first byte of the response. */
  firstByteMs: number
  /** Time to the end of the response. */
  ms: number
  /** Maximum number of output tokens, as stated; 0 if not stated. */
  outputTokens: number
}

const keptRuns = 64
/** Added to the estimate for what differs between runs that are otherwise alike. */
const margin = 0.1

export class RunTimes {
  readonly #runs: Run[] = []
  #next = 0

  record (run: Run): void {
    this.#runs[this.#next] = run
    this.#next = (this.#next + 1) % keptRuns
  }

  /** The longest that a run with this maximum of output tokens is expected to take; `undefined` before the first run. */
  upperMs (outputTokens: number): number | undefined {
    if (this.#runs.length === 0) return undefined
    const mostTokens = Math.max(...this.#runs.map(({ outputTokens }) => outputTokens))
    const longestMs = Math.max(...this.#runs.map(run => scaledMs(run, outputTokens, mostTokens)))
    // With few runs, the next one is often longer than all of them.
    return longestMs * (1 + margin + 1 / this.#runs.length)
  }
}

/**
 * The time of a run, scaled to another number of output tokens. Only a run with `mostTokens` is scaled up: part of the time after the first
 * byte doesn't grow with the output, so that a short run would suggest a time far too long.
 */
const scaledMs = ({ firstByteMs, ms, outputTokens }: Run, tokens: number, mostTokens: number): number => {
  const isScaled = tokens > 0 && outputTokens > 0 && (tokens < outputTokens || outputTokens === mostTokens)
  return firstByteMs + (ms - firstByteMs) * (isScaled ? tokens / outputTokens : 1)
}

/** The time that a request needs at most: its run, or what is left until its own deadline. `upperMs`: as far as the route's runs are known. */
export const neededMs = (upperMs: number | undefined, untilDeadlineMs: number): number => Math.min(upperMs ?? Infinity, untilDeadlineMs)
