/**
 * Deduplicates requests with an idempotency key: the final guarantee that a request runs at most once.
 *
 * Each binding of a key, identified by its nonce, has one record, created before anything is sent to the backend server. A retry
 * joins the run in progress, gets the kept response, or gets an error that says what is known. A refusal is recorded too: that
 * binding never runs, so the key may be bound again, here or at another process.
 *
 * Memory is bounded by epochs: keys of the current and the previous epoch are remembered, and bindings made in earlier ones
 * get the outcome `unknown`. Only this process counts its epochs, so no clocks are compared, and a pause of the process, however long,
 * only makes an epoch longer.
 */
import { createHash } from 'node:crypto'
import { notRun, outcomeUnknown, type HttpResponse, type Failure, type Incarnation, type Work } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { KeptResponse } from './kept-response.js'

export interface IdempotencyRecordsOptions {
  incarnation: Incarnation
  /** Keys remembered in one epoch. Requests with further keys are not run, and get the outcome `unknown` with `keys_full`. */
  maxKeys: number
  /** A longer response is streamed to the first caller only and not kept. */
  maxResponseBytes: number
  /** Total bytes of all kept responses; the oldest are discarded first. */
  maxKeptBytes: number
}

export const defaultIdempotencyLimits = {
  maxKeys: 100_000,
  maxResponseBytes: 1024 * 1024,
  maxKeptBytes: 64 * 1024 * 1024
}

type Once = NonNullable<Work['once']>

/** Runs the request. An error is either a refusal, which proves that it has not run, or a failure with an unknown outcome. */
export type StartExecution = () => Promise<Result<HttpResponse, Failure>>

interface ExecutionRecord {
  fingerprint: string
  response: Promise<Result<KeptResponse, Failure>>
  kept: KeptResponse | undefined
}

const fingerprintOf = ({ call, target }: Work): string =>
  createHash('sha256').update(JSON.stringify([target, call.method, call.path])).update(call.body).digest('base64url')

export class IdempotencyRecords {
  #epoch = 0
  #current = new Map<string, ExecutionRecord>()
  #previous = new Map<string, ExecutionRecord>()
  readonly #keptAnswers = new Set<KeptResponse>()
  #keptBytes = 0

  constructor (private readonly options: IdempotencyRecordsOptions) {}

  get epoch (): number {
    return this.#epoch
  }

  /** Begins the next epoch. Keys of the current one stay; those of the previous one are forgotten. */
  advanceEpoch (): void {
    this.#epoch += 1
    for (const { kept } of this.#previous.values()) this.#discard(kept)
    this.#previous = this.#current
    this.#current = new Map()
  }

  get size (): number {
    return this.#current.size + this.#previous.size
  }

  get keptBytes (): number {
    return this.#keptBytes
  }

  /** Runs `start` for the first attempt with a binding; every other attempt gets the result of that run. */
  async run (work: Work, once: Once, start: StartExecution): Promise<Result<HttpResponse, Failure>> {
    const refusal = this.#checkBinding(once)
    if (refusal !== undefined) return err(refusal)
    const id = `${work.team} ${once.binding.nonce}`
    const existing = this.#current.get(id) ?? this.#previous.get(id)
    const fingerprint = fingerprintOf(work)
    if (existing !== undefined && existing.fingerprint !== fingerprint) return err(notRun('key_reused'))
    if (existing === undefined && this.#current.size >= this.options.maxKeys) {
      // Without a record, a later attempt with this binding could still run, so `not_run` would be a false promise.
      return err(outcomeUnknown('keys_full', { retryAfterMs: 1000, detail: 'Ask again with the same key.' }))
    }
    const record = existing ?? this.#createRecord(id, fingerprint, start)
    const response = await record.response
    if (response.isErr()) return err(response.error)
    const body = response.value.read(existing === undefined)
    return body === undefined ? err(outcomeUnknown('answer_expired')) : ok({ ...response.value.head, body })
  }

  #checkBinding ({ binding }: Once): Failure | undefined {
    if (binding.incarnation !== this.options.incarnation) return outcomeUnknown('incarnation_gone')
    if (binding.epoch < this.#epoch - 1) return outcomeUnknown('answer_expired')
    if (binding.epoch > this.#epoch) return outcomeUnknown('internal', { detail: 'The binding is from an epoch to come.' })
    return undefined
  }

  #createRecord (id: string, fingerprint: string, start: StartExecution): ExecutionRecord {
    const response = this.#execute(start)
    const record: ExecutionRecord = { fingerprint, response, kept: undefined }
    void response.then(result => { record.kept = result.unwrapOr(undefined) })
    this.#current.set(id, record)
    return record
  }

  async #execute (start: StartExecution): Promise<Result<KeptResponse, Failure>> {
    try {
      const result = await start()
      return result.map(response => this.#keep(response))
    } catch (error) {
      return err(outcomeUnknown('internal', { detail: (error as Error).message }))
    }
  }

  #keep (response: HttpResponse): KeptResponse {
    const kept = new KeptResponse(response, this.options.maxResponseBytes, bytes => this.#charge(bytes))
    this.#keptAnswers.add(kept)
    return kept
  }

  #charge (bytes: number): void {
    this.#keptBytes += bytes
    for (const kept of this.#keptAnswers) {
      if (this.#keptBytes <= this.options.maxKeptBytes) return
      this.#discard(kept)
    }
  }

  /** Discards the bytes of a response that has ended; one still being read from the backend server stays. */
  #discard (kept: KeptResponse | undefined): void {
    if (kept?.isFinished !== true || !this.#keptAnswers.delete(kept)) return
    this.#keptBytes -= kept.discard()
  }
}
