/**
 * Where log lines go: a bounded queue before a file descriptor, so that a reader who is slow never blocks a request.
 *
 * Lines are written together, a few times a second. What the queue has no room for is dropped and counted, and the
 * count is written as a line of its own once there is room again.
 */
import { write } from 'node:fs'
import { pause } from './abort.js'

export interface LineSink {
  /** One line, without its end. */
  write: (line: string) => void
}

/** Some seconds of a busy process's lines. */
const queueBytes = 512 * 1024
/** At a process's end, what is queued gets this long; a reader that is gone must not keep the process. */
const endMs = 150
const endStepMs = 10
/** Long enough to gather many lines into one call, short enough to read along. */
const flushMs = 100

export class BoundedLines implements LineSink {
  #lines: string[] = []
  #bytes = 0
  #dropped = 0
  #writing = false
  #timer: NodeJS.Timeout | undefined

  constructor (private readonly descriptor: number, private readonly limit = queueBytes) {}

  write (line: string): void {
    if (this.#bytes + line.length > this.limit) {
      this.#dropped += 1
      return
    }
    this.#lines.push(line)
    this.#bytes += line.length + 1
    this.#timer ??= setTimeout(() => this.flush(), flushMs)
  }

  /** Hands over what is queued; one write at a time. */
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
    this.#write(text, 0)
  }

  /** Writes what is queued before the process ends, as far as its reader takes it in time. */
  async end (): Promise<void> {
    this.flush()
    for (let waited = 0; waited < endMs && (this.#writing || this.#lines.length > 0); waited += endStepMs) await pause(endStepMs)
  }

  #write (text: Buffer, from: number): void {
    write(this.descriptor, text, from, text.length - from, null, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.#write(text, from), flushMs)
        return
      }
      if (error === null && from + written < text.length) return this.#write(text, from + written)
      // A descriptor that is closed can't be told anything; the lines are lost with it.
      this.#writing = false
      this.#bytes = this.#lines.reduce((sum, line) => sum + line.length + 1, 0)
      if (this.#lines.length > 0) this.#timer ??= setTimeout(() => this.flush(), flushMs)
    })
  }
}
