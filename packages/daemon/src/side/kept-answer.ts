/**
 * A kept answer: read once from the backend server, whether or not a caller still waits, and by any number of
 * callers as it comes. Past the size limit only the first reader follows, and at its own pace.
 */
import { AnswerFailure, unknown, type Answer, type AnswerHead, type Failure } from '@finchpitch/core'

export class KeptAnswer {
  readonly head: AnswerHead
  #chunks: Uint8Array[] = []
  #bytes = 0
  #first = 0
  #finished = false
  #dropped = false
  #failure: Failure | undefined
  #ownerAt = 0
  #ownerReads = false
  readonly #waiting = new Set<() => void>()

  constructor (answer: Answer, private readonly limit: number, private readonly charge: (bytes: number) => void) {
    this.head = { status: answer.status, headers: answer.headers }
    void this.#fill(answer.body)
  }

  get finished (): boolean {
    return this.#finished
  }

  /** The body from its start; `undefined` where that is no longer kept. */
  read (owner: boolean): AsyncGenerator<Uint8Array> | undefined {
    if (this.#dropped || this.#first > 0) return undefined
    return this.#read(owner)
  }

  /** Lets the chunks go; gives how many bytes that frees. */
  drop (): number {
    this.#dropped = true
    this.#chunks = []
    const freed = this.#bytes
    this.#bytes = 0
    return freed
  }

  async #fill (body: AsyncIterable<Uint8Array>): Promise<void> {
    try {
      for await (const chunk of body) {
        this.#chunks.push(chunk)
        this.#bytes += chunk.length
        this.charge(chunk.length)
        this.#notify()
        while (this.#bytes > this.limit) await this.#letGo()
      }
    } catch (error) {
      this.#failure = error instanceof AnswerFailure ? error.failure : unknown('answer_cut', { detail: (error as Error).message })
    }
    this.#finished = true
    this.#notify()
  }

  /** Drops what the first reader has taken, waiting for it; with no such reader the rest is read and dropped. */
  async #letGo (): Promise<void> {
    while (this.#ownerReads && this.#ownerAt <= this.#first) await this.#changed()
    const taken = this.#ownerReads ? this.#ownerAt - this.#first : this.#chunks.length
    const freed = this.#chunks.splice(0, taken).reduce((sum, chunk) => sum + chunk.length, 0)
    this.#first += taken
    this.#bytes -= freed
    this.charge(-freed)
  }

  async * #read (owner: boolean): AsyncGenerator<Uint8Array> {
    if (owner) this.#ownerReads = true
    try {
      for (let at = 0; ;) {
        if (at < this.#first || this.#dropped) throw new AnswerFailure(unknown('answer_expired'))
        const chunk = this.#chunks[at - this.#first]
        if (chunk !== undefined) {
          at += 1
          yield chunk
          if (owner) this.#ownerAt = at
          if (owner) this.#notify()
        } else if (this.#failure !== undefined) {
          throw new AnswerFailure(this.#failure)
        } else if (this.#finished) {
          return
        } else {
          await this.#changed()
        }
      }
    } finally {
      if (owner) this.#ownerReads = false
      this.#notify()
    }
  }

  #changed (): Promise<void> {
    return new Promise(resolve => this.#waiting.add(resolve))
  }

  #notify (): void {
    const waiting = [...this.#waiting]
    this.#waiting.clear()
    for (const wake of waiting) wake()
  }
}
