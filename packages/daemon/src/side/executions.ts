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
import { notRun, unknown, type Answer, type Failure, type Incarnation, type Work } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { KeptAnswer } from './kept-answer.js'

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
  kept: KeptAnswer | undefined
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
    for (const { kept } of this.#last.values()) this.#forget(kept)
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
    const answer = this.#run(start)
    const record: Record = { fingerprint, answer, kept: undefined }
    void answer.then(result => { record.kept = result.unwrapOr(undefined) })
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
      this.#forget(kept)
    }
  }

  /** Lets an answer's bytes go, once it has come to its end. */
  #forget (kept: KeptAnswer | undefined): void {
    if (kept?.finished !== true || !this.#kept.delete(kept)) return
    this.#keptBytes -= kept.drop()
  }
}
