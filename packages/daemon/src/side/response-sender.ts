/**
 * Sends one response over a channel, with credit-based flow control: no faster than the receiver reads it.
 */
import { ResponseError, outcomeUnknown, type HttpResponse, type Failure } from '@finchpitch/core'
import { SendWindow, type Channel, type LoadReport } from '@finchpitch/wire'
import type { Result } from 'neverthrow'

/** Larger parts of a body are split, to keep every frame far below the frame limit. */
const maxChunkBytes = 64 * 1024

export interface ResponseSenderOptions {
  id: number
  channel: Channel
  load: () => LoadReport
}

export class ResponseSender {
  readonly window = new SendWindow()
  readonly #abort = new AbortController()

  constructor (private readonly options: ResponseSenderOptions) {}

  get signal (): AbortSignal {
    return this.#abort.signal
  }

  /** Aborts a request that the receiver has abandoned, and sends nothing more. */
  cancel (): void {
    this.#abort.abort()
    this.window.close()
  }

  async send (response: Result<HttpResponse, Failure>, resident: boolean): Promise<void> {
    if (response.isErr()) return this.#sendFailure(response.error)
    const { id, channel } = this.options
    const { status, headers, body } = response.value
    channel.send({ type: 'head', id, status, headers, resident })
    try {
      await this.#sendBody(body)
    } catch (error) {
      this.#sendFailure(error instanceof ResponseError ? error.failure : outcomeUnknown('internal', { detail: (error as Error).message }))
    }
  }

  #sendFailure (failure: Failure): void {
    const { id, channel, load } = this.options
    channel.send({ type: 'failure', id, failure, load: load() })
  }

  async #sendBody (body: AsyncIterable<Uint8Array>): Promise<void> {
    const { id, channel, load } = this.options
    let chunks = 0
    let bytes = 0
    for await (const part of body) {
      for (let offset = 0; offset < part.length; offset += maxChunkBytes) {
        const data = part.subarray(offset, offset + maxChunkBytes)
        if (!await this.window.consume(data.length) || !channel.open) return
        channel.send({ type: 'chunk', id, sequence: chunks, data })
        chunks += 1
        bytes += data.length
      }
    }
    channel.send({ type: 'end', id, chunks, bytes, load: load() })
  }
}
