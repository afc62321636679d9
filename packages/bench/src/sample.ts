/**
 * Samples of durations, and what a process has used by the kernel's count.
 */
import { readFile } from 'node:fs/promises'
import { build, type Histogram } from 'hdr-histogram-js'

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

const clockTicksPerSecond = 100
const pageBytes = 4096

/** Reads what the kernel has counted for a process, which costs the process nothing. */
export const usageOf = async (pid: number | undefined): Promise<Usage> => {
  const stat = await readFile(`/proc/${pid ?? 'self'}/stat`, 'utf8')
  // The name, in parentheses, may hold spaces; fields are counted from after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ').map(Number)
  const [user, system, resident] = [fields[11] ?? NaN, fields[12] ?? NaN, fields[21] ?? NaN]
  return { cpuSeconds: (user + system) / clockTicksPerSecond, residentBytes: resident * pageBytes }
}
