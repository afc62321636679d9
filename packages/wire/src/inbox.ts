/**
 * An inbox: the chunks of one answer on their way from the channel's task to the answer's reader.
 *
 * The sender may be ahead of the reader by one window of bytes; reading gives credit back. Chunks must come in
 * order and add up to what the end frame says, else the answer ends in a failure: never short, never crossed.
 */
import { AnswerFailure, unknown, type Failure } from '@finchpitch/core'
import type { FrameOf } from './frame.js'

/** Bytes of one answer that may be under way or unread. */
export const windowBytes = 256 * 1024

export class Inbox {
  readonly #chunks: Uint8Array[] = []
  #next = 0
  #bytes = 0
  #finished = false
  #failure: Failure | undefined
  #wake: (() => void) | undefined

  constructor (private readonly credit: (bytes: number) => void) {}

  chunk (frame: FrameOf<'chunk'>): void {
    if (this.#finished) return
    if (frame.sequence < this.#next) return
    if (frame.sequence > this.#next) return this.fail(unknown('answer_cut', { detail: `Chunk ${this.#next} is missing.` }))
    this.#next += 1
    this.#bytes += frame.data.length
    this.#chunks.push(frame.data)
    this.#wake?.()
  }

  end (frame: FrameOf<'end'>): void {
    if (this.#finished) return
    const whole = frame.chunks === this.#next && frame.bytes === this.#bytes
    if (!whole) return this.fail(unknown('answer_cut', { detail: `${this.#bytes} of ${frame.bytes} bytes came.` }))
    this.#finished = true
    this.#wake?.()
  }

  fail (failure: Failure): void {
    if (this.#finished) return
    this.#finished = true
    this.#failure = failure
    this.#wake?.()
  }

  async * read (): AsyncGenerator<Uint8Array> {
    while (true) {
      const chunk = this.#chunks.shift()
      if (chunk !== undefined) {
        this.credit(Math.max(1, chunk.length))
        yield chunk
      } else if (this.#failure !== undefined) {
        throw new AnswerFailure(this.#failure)
      } else if (this.#finished) {
        return
      } else {
        await new Promise<void>(resolve => { this.#wake = resolve })
      }
    }
  }
}

/** The sender's half of the window. */
export class Window {
  #left = windowBytes
  #wake: (() => void) | undefined
  #closed = false

  give (bytes: number): void {
    this.#left += bytes
    this.#wake?.()
  }

  /** Ends every wait; nothing more will be sent. */
  close (): void {
    this.#closed = true
    this.#wake?.()
  }

  /** Waits until something may be sent; false once closed. */
  async take (bytes: number): Promise<boolean> {
    while (this.#left <= 0 && !this.#closed) {
      await new Promise<void>(resolve => { this.#wake = resolve })
    }
    this.#left -= bytes
    return !this.#closed
  }
}
