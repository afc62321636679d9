/**
 * Samples of durations, and what a process has used by its own metrics.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { request } from 'undici'

const microseconds = 1000

export class Sample {
  readonly #histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 })

  add (ms: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(ms * microseconds)))
  }

  /** In milliseconds. */
  percentile (percent: number): number {
    return this.#histogram.getValueAtPercentile(percent) / microseconds
  }

  get count (): number {
    return this.#histogram.totalCount
  }
}

/** Runs `task` so many times, so many at once; the time of each goes into the sample. */
export const repeat = async (count: number, atOnce: number, task: (index: number) => Promise<void>): Promise<Sample> => {
  const sample = new Sample()
  let next = 0
  const worker = async (): Promise<void> => {
    while (next < count) {
      const index = next++
      const startedAt = performance.now()
      await task(index)
      sample.add(performance.now() - startedAt)
    }
  }
  await Promise.all(Array.from({ length: atOnce }, worker))
  return sample
}

export interface Usage {
  cpuSeconds: number
  residentBytes: number
}

/** Reads a process's own `/metrics`. */
export const usageOf = async (operators: string): Promise<Usage> => {
  const text = await (await request(`${operators}/metrics`)).body.text()
  const figure = (name: string): number => Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? NaN)
  return { cpuSeconds: figure('process_cpu_seconds_total'), residentBytes: figure('process_resident_memory_bytes') }
}
