/**
 * An exchange: one answer on its way back over a channel, no faster than its reader gives credit.
 */
import { AnswerFailure, unknown, type Answer, type Failure } from '@finchpitch/core'
import { Window, type Channel, type Load } from '@finchpitch/wire'
import type { Result } from 'neverthrow'

/** Larger pieces are split, so that no frame comes near the frame limit. */
const chunkBytes = 64 * 1024

export interface ExchangeOptions {
  id: number
  channel: Channel
  load: () => Load
}

export class Exchange {
  readonly window = new Window()
  readonly #abort = new AbortController()

  constructor (private readonly options: ExchangeOptions) {}

  get signal (): AbortSignal {
    return this.#abort.signal
  }

  /** The reader is gone: nothing more is sent. */
  cancel (): void {
    this.#abort.abort()
    this.window.close()
  }

  async send (answer: Result<Answer, Failure>, resident: boolean): Promise<void> {
    if (answer.isErr()) return this.#fail(answer.error)
    const { id, channel } = this.options
    const { status, headers, body } = answer.value
    channel.send({ type: 'head', id, status, headers, resident })
    try {
      await this.#sendBody(body)
    } catch (error) {
      this.#fail(error instanceof AnswerFailure ? error.failure : unknown('internal', { detail: (error as Error).message }))
    }
  }

  #fail (failure: Failure): void {
    const { id, channel, load } = this.options
    channel.send({ type: 'failure', id, failure, load: load() })
  }

  async #sendBody (body: AsyncIterable<Uint8Array>): Promise<void> {
    const { id, channel, load } = this.options
    let chunks = 0
    let bytes = 0
    for await (const piece of body) {
      for (let at = 0; at < piece.length; at += chunkBytes) {
        const data = piece.subarray(at, at + chunkBytes)
        if (!await this.window.take(data.length) || !channel.open) return
        channel.send({ type: 'chunk', id, sequence: chunks, data })
        chunks += 1
        bytes += data.length
      }
    }
    channel.send({ type: 'end', id, chunks, bytes, load: load() })
  }
}
