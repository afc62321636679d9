/**
 * Gathers the chunks of a body into one buffer.
 *
 * With a known size, each chunk is copied as it arrives. It can then be collected while it is young, and the body is never held twice.
 */
import { GatheredBytes } from '@finchpitch/core'

export interface GatheredBody {
  add: (chunk: Buffer) => void
  /** What has been gathered. */
  readonly bytes: Buffer
}

const emptyBuffer = Buffer.alloc(0)

class SizedBody implements GatheredBody {
  #buffer: Buffer = emptyBuffer
  #count = 0

  constructor (private readonly size: number) {}

  add (chunk: Buffer): void {
    if (chunk.length === this.size) this.#buffer = chunk
    else {
      if (this.#count === 0) this.#buffer = Buffer.allocUnsafeSlow(this.size)
      chunk.copy(this.#buffer, this.#count)
    }
    this.#count += chunk.length
  }

  get bytes (): Buffer {
    return this.#buffer.subarray(0, this.#count)
  }
}

/** `size`: the stated size; 0 if it is not known. */
export const gatherBody = (size: number): GatheredBody => size > 0 ? new SizedBody(size) : new GatheredBytes()
