/**
 * Buffered output of log lines to a file descriptor, with a bounded buffer, so that a slow reader of the log never blocks
 * a request, and a reader that has stopped reading doesn't keep the process from exiting.
 *
 * Lines are written in batches, up to ten times a second. Lines that don't fit into the buffer are dropped and counted,
 * and the count is logged with the next batch.
 */
import { pause } from './abort.js'
import { OutputDescriptor } from './output-descriptor.js'

export interface LineSink {
  /** Writes one line, given without its line break. */
  write: (line: string) => void
}

/** Holds the lines of a busy process for a few seconds. */
const maxBufferedBytes = 512 * 1024
/** How long a stopping process waits for its buffered lines to be written. A reader that has gone must not keep it from stopping. */
const drainTimeoutMs = 150
const drainPollMs = 10
/** Long enough to batch many lines into one write, short enough to follow the log live. */
const flushIntervalMs = 100

export class BufferedLineSink implements LineSink {
  #lines: string[] = []
  #bytes = 0
  #dropped = 0
  #writing = false
  #timer: NodeJS.Timeout | undefined
  readonly #output: OutputDescriptor

  constructor (descriptor: number, private readonly limit = maxBufferedBytes) {
    this.#output = new OutputDescriptor(descriptor)
  }

  write (line: string): void {
    if (this.#bytes + line.length > this.limit) {
      this.#dropped += 1
      return
    }
    this.#lines.push(line)
    this.#bytes += line.length + 1
    this.#timer ??= setTimeout(() => this.flush(), flushIntervalMs)
  }

  /** Writes the buffered lines, unless a write is in progress. */
  flush (): void {
    this.#timer = undefined
    if (this.#writing || this.#lines.length === 0) return
    if (this.#dropped > 0) {
      this.#lines.push(JSON.stringify({ level: 'warn', event: 'log.dropped', lines: this.#dropped }))
      this.#dropped = 0
    }
    const text = Buffer.from(`${this.#lines.join('\n')}\n`)
    this.#lines = []
    this.#writing = true
    this.#output.write(text, () => this.#onWritten())
  }

  /** Writes the buffered lines before the process stops, as far as the reader takes them within the time-out. */
  async end (): Promise<void> {
    this.flush()
    for (let waitedMs = 0; waitedMs < drainTimeoutMs && (this.#writing || this.#lines.length > 0); waitedMs += drainPollMs) await pause(drainPollMs)
  }

  /** Everything has been written, or the descriptor failed, as when it is closed; these lines are then lost. */
  #onWritten (): void {
    this.#writing = false
    this.#bytes = this.#lines.reduce((sum, line) => sum + line.length + 1, 0)
    if (this.#lines.length > 0) this.#timer ??= setTimeout(() => this.flush(), flushIntervalMs)
  }
}
