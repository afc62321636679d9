/**
 * Credit-based flow control for the chunks of one response: the receive buffer between the channel's task and the reader of
 * the response, and the sender's window.
 *
 * The sender may be ahead of the reader by one window of bytes; each read returns credit. Chunks must arrive in order and add up
 * to the counts in the end frame. Otherwise the response fails, so that a caller never takes a truncated or mixed-up response
 * for a complete one.
 */
import { ResponseError, outcomeUnknown, type Failure } from '@finchpitch/core'
import type { FrameOf } from './frame.js'

/** Maximum bytes of one response that are in transit or unread. */
export const windowBytes = 256 * 1024

export class ReceiveBuffer {
  readonly #chunks: Uint8Array[] = []
  #nextSequence = 0
  #bytes = 0
  #finished = false
  #failure: Failure | undefined
  #wake: (() => void) | undefined

  constructor (private readonly returnCredit: (bytes: number) => void) {}

  addChunk (frame: FrameOf<'chunk'>): void {
    if (this.#finished) return
    if (frame.sequence < this.#nextSequence) return
    if (frame.sequence > this.#nextSequence) return this.fail(outcomeUnknown('answer_cut', { detail: `Chunk ${this.#nextSequence} is missing.` }))
    this.#nextSequence += 1
    this.#bytes += frame.data.length
    this.#chunks.push(frame.data)
    this.#wake?.()
  }

  end (frame: FrameOf<'end'>): void {
    if (this.#finished) return
    const isComplete = frame.chunks === this.#nextSequence && frame.bytes === this.#bytes
    if (!isComplete) return this.fail(outcomeUnknown('answer_cut', { detail: `${this.#bytes} of ${frame.bytes} bytes came.` }))
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
        this.returnCredit(Math.max(1, chunk.length))
        yield chunk
      } else if (this.#failure !== undefined) {
        throw new ResponseError(this.#failure)
      } else if (this.#finished) {
        return
      } else {
        await new Promise<void>(resolve => { this.#wake = resolve })
      }
    }
  }
}

/** The window on the sender's side. */
export class SendWindow {
  #available = windowBytes
  #wake: (() => void) | undefined
  #closed = false

  addCredit (bytes: number): void {
    this.#available += bytes
    this.#wake?.()
  }

  /** Releases a waiting sender; nothing more will be sent. */
  close (): void {
    this.#closed = true
    this.#wake?.()
  }

  /** Waits for credit, then deducts `bytes`, which may exceed it. Returns false once the window is closed. */
  async consume (bytes: number): Promise<boolean> {
    while (this.#available <= 0 && !this.#closed) {
      await new Promise<void>(resolve => { this.#wake = resolve })
    }
    this.#available -= bytes
    return !this.#closed
  }
}
