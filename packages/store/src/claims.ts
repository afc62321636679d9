/**
 * Claims record in the store which incarnation of a side process may run the request with a given idempotency key.
 * Entries agree on it by conditional updates.
 *
 * Claims are spread over a fixed number of bucket objects by a hash of the key. Each process has at most one write per
 * bucket in flight; claims that arrive meanwhile are batched into the next write. A lost response needs no special case:
 * the bucket is read again, and the claim's nonce in it proves that the write took effect.
 *
 * A claim is replaced only by `rebind`, and only if the incarnation of the replaced binding has permanently refused the
 * key. So all incarnations that were ever bound to a key, except the last, have refused it, and only the last may run it.
 */
import { createHash } from 'node:crypto'
import { Binding, backoff, pause, type Random, type RequestKey, type TeamName } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { storeError, type ObjectStore, type ResourceVersion, type StoreError } from './object-store.js'

export interface ClaimsOptions {
  store: ObjectStore
  random: Random
  /** Number of bucket objects that claims are spread over; must be the same in every process. */
  bucketCount: number
  /** How long a claim is retained, by the clock of the writing process; far longer than any caller retries. */
  keptMs: number
}

export const defaultBucketCount = 256
export const defaultClaimRetentionMs = 24 * 60 * 60 * 1000

const maxWriteAttempts = 6
const idBytes = 18

const Claim = Binding.extend({ at: z.number() })
type Claim = z.infer<typeof Claim>
const Bucket = z.record(z.string(), Claim)
type Bucket = z.infer<typeof Bucket>

/** Identifies an idempotency key within its team, so that equal keys of two teams don't collide. */
export const claimId = (team: TeamName, key: RequestKey): string =>
  createHash('sha256').update(`${team}\n${key}`).digest('base64url').slice(0, idBytes)

interface ClaimRequest {
  id: string
  /** Nonce of the claim that may be replaced; `undefined` if the key must not be claimed yet. */
  from: string | undefined
  binding: Binding
  settle: (result: Result<Binding, StoreError>) => void
}

interface Snapshot {
  claims: Bucket
  version: ResourceVersion | 'absent'
}

const toBinding = ({ at, ...binding }: Claim): Binding => binding

export class Claims {
  readonly #pending = new Map<number, ClaimRequest[]>()
  readonly #writing = new Set<number>()
  readonly #snapshots = new Map<number, Snapshot>()

  constructor (private readonly options: ClaimsOptions) {}

  /** Binds an unclaimed key. Returns the current binding, which may be an earlier one. */
  bind (id: string, binding: Binding): Promise<Result<Binding, StoreError>> {
    return this.#enqueue(id, undefined, binding)
  }

  /**
   * Replaces the binding with nonce `from`, whose incarnation must have permanently refused the key. Returns the current
   * binding, which is another one if the binding had been replaced already.
   */
  rebind (id: string, from: string, binding: Binding): Promise<Result<Binding, StoreError>> {
    return this.#enqueue(id, from, binding)
  }

  /** The current binding, read from the store. */
  async read (id: string): Promise<Result<Binding | undefined, StoreError>> {
    const snapshot = await this.#read(this.#bucketOf(id))
    return snapshot.map(({ claims }) => {
      const claim = claims[id]
      return claim === undefined ? undefined : toBinding(claim)
    })
  }

  #bucketOf (id: string): number {
    return Buffer.from(id, 'base64url').readUInt32BE() % this.options.bucketCount
  }

  #enqueue (id: string, from: string | undefined, binding: Binding): Promise<Result<Binding, StoreError>> {
    const bucket = this.#bucketOf(id)
    return new Promise(resolve => {
      const pending = this.#pending.get(bucket) ?? []
      pending.push({ id, from, binding, settle: resolve })
      this.#pending.set(bucket, pending)
      if (!this.#writing.has(bucket)) void this.#writePending(bucket)
    })
  }

  async #writePending (bucket: number): Promise<void> {
    this.#writing.add(bucket)
    for (let requests = this.#takePending(bucket); requests.length > 0; requests = this.#takePending(bucket)) {
      const written = await this.#write(bucket, requests)
      for (const request of requests) {
        const claim = written.isOk() ? written.value[request.id] : undefined
        if (claim !== undefined) request.settle(ok(toBinding(claim)))
        else request.settle(err(written.isErr() ? written.error : storeError('refused', 'the claim was not written')))
      }
    }
    this.#writing.delete(bucket)
    this.#snapshots.delete(bucket)
  }

  #takePending (bucket: number): ClaimRequest[] {
    const requests = this.#pending.get(bucket) ?? []
    this.#pending.delete(bucket)
    return requests
  }

  /** Writes, with retries, until the key of each request has a claim in the store. Returns the bucket as stored. */
  async #write (bucket: number, requests: ClaimRequest[]): Promise<Result<Bucket, StoreError>> {
    let lastError = storeError('unavailable')
    for (let failures = 0; failures < maxWriteAttempts; failures++) {
      if (failures > 0) await pause(backoff(failures - 1, this.options.random))
      const cached = this.#snapshots.get(bucket)
      const snapshot = cached === undefined ? await this.#read(bucket) : ok(cached)
      if (snapshot.isErr()) {
        lastError = snapshot.error
        continue
      }
      const { claims, changed } = this.#merge(snapshot.value.claims, requests)
      if (!changed && cached === undefined) return ok(claims)
      if (!changed) {
        // The cached snapshot may be stale: only a new read may tell which binding holds a key. This is not a failed attempt.
        this.#snapshots.delete(bucket)
        failures -= 1
        continue
      }
      const written = await this.options.store.put(bucketName(bucket), claims, snapshot.value.version)
      if (written.isOk()) {
        this.#snapshots.set(bucket, { claims, version: written.value.version })
        return ok(claims)
      }
      this.#snapshots.delete(bucket)
      lastError = written.error
    }
    return err(lastError)
  }

  async #read (bucket: number): Promise<Result<Snapshot, StoreError>> {
    const object = await this.options.store.get(bucketName(bucket))
    return object.andThen((found): Result<Snapshot, StoreError> => {
      if (found === undefined) return ok({ claims: {}, version: 'absent' })
      const claims = Bucket.safeParse(found.value)
      if (!claims.success) return err(storeError('refused', `bucket ${bucket} is not valid`))
      return ok({ claims: claims.data, version: found.version })
    })
  }

  #merge (claims: Bucket, requests: ClaimRequest[]): { claims: Bucket, changed: boolean } {
    const now = Date.now()
    const merged: Bucket = Object.fromEntries(Object.entries(claims).filter(([, claim]) => now - claim.at < this.options.keptMs))
    let changed = false
    for (const { id, from, binding } of requests) {
      const present = merged[id]
      if (present !== undefined && present.nonce !== from) continue
      merged[id] = { ...binding, at: now }
      changed = true
    }
    return { claims: merged, changed }
  }
}

export const bucketName = (bucket: number): string => `claims/${bucket}`
