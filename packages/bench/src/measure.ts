/**
 * Durations of repeated tasks, and the CPU time and memory of a process as the kernel reports them.
 */
import { readFile } from 'node:fs/promises'
import { build, type Histogram } from 'hdr-histogram-js'

const microsecondsPerMs = 1000

export class LatencyHistogram {
  readonly #histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 })

  record (ms: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(ms * microsecondsPerMs)))
  }

  /** The percentile in milliseconds. */
  percentile (percent: number): number {
    return this.#histogram.getValueAtPercentile(percent) / microsecondsPerMs
  }

  get count (): number {
    return this.#histogram.totalCount
  }
}

/** Runs `task` `count` times with `concurrency` runs at a time, and records the duration of each. */
export const measureRepeated = async (count: number, concurrency: number, task: (index: number) => Promise<void>): Promise<LatencyHistogram> => {
  const histogram = new LatencyHistogram()
  let next = 0
  const worker = async (): Promise<void> => {
    while (next < count) {
      const index = next++
      const startedAt = performance.now()
      await task(index)
      histogram.record(performance.now() - startedAt)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, worker))
  return histogram
}

export interface ProcessUsage {
  cpuSeconds: number
  residentBytes: number
}

const clockTicksPerSecond = 100
const pageBytes = 4096

/** Reads a process's CPU time and memory from /proc, which adds no work to the process itself. */
export const readProcessUsage = async (pid: number | undefined): Promise<ProcessUsage> => {
  const stat = await readFile(`/proc/${pid ?? 'self'}/stat`, 'utf8')
  // The second field, the command name in parentheses, may contain spaces: split only what follows it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ').map(Number)
  const [user, system, resident] = [fields[11] ?? NaN, fields[12] ?? NaN, fields[21] ?? NaN]
  return { cpuSeconds: (user + system) / clockTicksPerSecond, residentBytes: resident * pageBytes }
}
