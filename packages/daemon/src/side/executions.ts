/**
 * Executions: what this incarnation has done with each request key. The last guard of "at most once".
 *
 * Each binding of a key, known by its nonce, gets one record, made before anything is sent. A later try of it joins
 * the run, gets the kept answer, or hears what is known. A refusal is a record too: that binding never runs, so the
 * key may be bound anew, here or elsewhere.
 *
 * Memory is bounded by epochs: keys of the current and the last epoch are remembered, bindings made in older ones
 * are refused as `unknown`. Epochs are counted by this process alone, so no clocks are compared, and a pause of
 * any length only makes an epoch longer.
 */
import { createHash } from 'node:crypto'
import { AnswerFailure, notRun, unknown, type Answer, type AnswerHead, type Failure, type Incarnation, type Work } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'

export interface ExecutionsOptions {
  incarnation: Incarnation
  /** Keys remembered in one epoch; more are refused as not run. */
  maxKeys: number
  /** An answer longer than this is passed on and not kept. */
  maxAnswerBytes: number
  /** Bytes of kept answers in all; the oldest are let go first. */
  maxKeptBytes: number
}

export const defaultLimits = {
  maxKeys: 100_000,
  maxAnswerBytes: 1024 * 1024,
  maxKeptBytes: 64 * 1024 * 1024
}

type Once = NonNullable<Work['once']>

/** Runs the work for good; an `Err` is a refusal before anything was sent, or the end of an unknown outcome. */
export type Start = () => Promise<Result<Answer, Failure>>

interface Record {
  fingerprint: string
  answer: Promise<Result<KeptAnswer, Failure>>
}

const fingerprintOf = ({ call, target }: Work): string =>
  createHash('sha256').update(JSON.stringify([target, call.method, call.path])).update(call.body).digest('base64url')

export class Executions {
  #epoch = 0
  #current = new Map<string, Record>()
  #last = new Map<string, Record>()
  readonly #kept = new Set<KeptAnswer>()
  #keptBytes = 0

  constructor (private readonly options: ExecutionsOptions) {}

  get epoch (): number {
    return this.#epoch
  }

  /** Begins the next epoch; the keys of the one before the last are forgotten. */
  advance (): void {
    this.#epoch += 1
    this.#last = this.#current
    this.#current = new Map()
  }

  get size (): number {
    return this.#current.size + this.#last.size
  }

  get keptBytes (): number {
    return this.#keptBytes
  }

  /** Runs `start` for the binding's first try; every other try gets what became of that one. */
  async run (work: Work, once: Once, start: Start): Promise<Result<Answer, Failure>> {
    const refusal = this.#judge(once)
    if (refusal !== undefined) return err(refusal)
    const id = `${work.team} ${once.binding.nonce}`
    const earlier = this.#current.get(id) ?? this.#last.get(id)
    const fingerprint = fingerprintOf(work)
    if (earlier !== undefined && earlier.fingerprint !== fingerprint) return err(notRun('key_reused'))
    if (earlier === undefined && this.#current.size >= this.options.maxKeys) {
      // Nothing is recorded for the binding, so it could still run: the refusal holds for this try only.
      return err(unknown('keys_full', { retryAfterMs: 1000, detail: 'Ask again with the same key.' }))
    }
    const record = earlier ?? this.#begin(id, fingerprint, start)
    const answer = await record.answer
    if (answer.isErr()) return err(answer.error)
    const body = answer.value.read(earlier === undefined)
    return body === undefined ? err(unknown('answer_expired')) : ok({ ...answer.value.head, body })
  }

  #judge ({ binding }: Once): Failure | undefined {
    if (binding.incarnation !== this.options.incarnation) return unknown('incarnation_gone')
    if (binding.epoch < this.#epoch - 1) return unknown('answer_expired')
    if (binding.epoch > this.#epoch) return unknown('internal', { detail: 'The binding is from an epoch to come.' })
    return undefined
  }

  #begin (id: string, fingerprint: string, start: Start): Record {
    const record = { fingerprint, answer: this.#run(start) }
    this.#current.set(id, record)
    return record
  }

  async #run (start: Start): Promise<Result<KeptAnswer, Failure>> {
    try {
      const started = await start()
      return started.map(answer => this.#keep(answer))
    } catch (error) {
      return err(unknown('internal', { detail: (error as Error).message }))
    }
  }

  #keep (answer: Answer): KeptAnswer {
    const kept = new KeptAnswer(answer, this.options.maxAnswerBytes, bytes => this.#charge(bytes))
    this.#kept.add(kept)
    return kept
  }

  #charge (bytes: number): void {
    this.#keptBytes += bytes
    for (const kept of this.#kept) {
      if (this.#keptBytes <= this.options.maxKeptBytes) return
      if (!kept.finished) continue
      this.#kept.delete(kept)
      this.#keptBytes -= kept.drop()
    }
  }
}

/**
 * An answer read once from the backend server, whether or not a caller still waits, and by any number of callers
 * as it comes. Past the size limit only the first reader follows, and at its own pace.
 */
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
