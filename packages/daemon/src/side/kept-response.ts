/**
 * A response kept for retries. It is read from the backend server once and to its end, even if no caller waits any more, and any
 * number of callers can stream it meanwhile or later.
 *
 * Beyond the size limit it is no longer kept: only the first reader, the owner, gets it whole, and the backend server is read no
 * faster than the owner reads.
 */
import { ResponseError, outcomeUnknown, type HttpResponse, type ResponseHead, type Failure } from '@finchpitch/core'

export class KeptResponse {
  readonly head: ResponseHead
  #chunks: Uint8Array[] = []
  #bytes = 0
  #firstIndex = 0
  #finished = false
  #dropped = false
  #failure: Failure | undefined
  #ownerIndex = 0
  #ownerReads = false
  readonly #waiters = new Set<() => void>()

  constructor (response: HttpResponse, private readonly limit: number, private readonly charge: (bytes: number) => void) {
    this.head = { status: response.status, headers: response.headers }
    void this.#readAll(response.body)
  }

  get isFinished (): boolean {
    return this.#finished
  }

  /** Streams the body from its start; `undefined` if the start is no longer kept. `owner` marks the first reader. */
  read (owner: boolean): AsyncGenerator<Uint8Array> | undefined {
    if (this.#dropped || this.#firstIndex > 0) return undefined
    return this.#stream(owner)
  }

  /** Discards the chunks and returns how many bytes that frees. */
  discard (): number {
    this.#dropped = true
    this.#chunks = []
    const freed = this.#bytes
    this.#bytes = 0
    return freed
  }

  async #readAll (body: AsyncIterable<Uint8Array>): Promise<void> {
    try {
      for await (const chunk of body) {
        this.#chunks.push(chunk)
        this.#bytes += chunk.length
        this.charge(chunk.length)
        this.#notify()
        while (this.#bytes > this.limit) await this.#dropRead()
      }
    } catch (error) {
      this.#failure = error instanceof ResponseError ? error.failure : outcomeUnknown('answer_cut', { detail: (error as Error).message })
    }
    this.#finished = true
    this.#notify()
  }

  /** Drops the chunks that the owner has read, after waiting for it to read some. Without an owner, drops all chunks. */
  async #dropRead (): Promise<void> {
    while (this.#ownerReads && this.#ownerIndex <= this.#firstIndex) await this.#nextChange()
    const count = this.#ownerReads ? this.#ownerIndex - this.#firstIndex : this.#chunks.length
    const freed = this.#chunks.splice(0, count).reduce((sum, chunk) => sum + chunk.length, 0)
    this.#firstIndex += count
    this.#bytes -= freed
    this.charge(-freed)
  }

  async * #stream (owner: boolean): AsyncGenerator<Uint8Array> {
    if (owner) this.#ownerReads = true
    try {
      for (let index = 0; ;) {
        if (index < this.#firstIndex || this.#dropped) throw new ResponseError(outcomeUnknown('answer_expired'))
        const chunk = this.#chunks[index - this.#firstIndex]
        if (chunk !== undefined) {
          index += 1
          yield chunk
          if (owner) this.#ownerIndex = index
          if (owner) this.#notify()
        } else if (this.#failure !== undefined) {
          throw new ResponseError(this.#failure)
        } else if (this.#finished) {
          return
        } else {
          await this.#nextChange()
        }
      }
    } finally {
      if (owner) this.#ownerReads = false
      this.#notify()
    }
  }

  #nextChange (): Promise<void> {
    return new Promise(resolve => this.#waiters.add(resolve))
  }

  #notify (): void {
    const waiters = [...this.#waiters]
    this.#waiters.clear()
    for (const wake of waiters) wake()
  }
}
