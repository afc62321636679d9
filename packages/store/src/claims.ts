/**
 * Claims: which incarnation may run the request with a key, agreed by conditional updates.
 *
 * A key's claim sits in one of many bucket objects. Each process has at most one write under way for a bucket;
 * the claims that arrive meanwhile go together into the next one. A lost answer needs no special case: the bucket
 * is read again, and one's own nonce in it says that the write took effect.
 *
 * A claim is replaced only by `rebind`, and only from the binding whose incarnation has refused the key for good.
 * So of all incarnations ever bound to a key, all but the last have refused it.
 */
import { createHash } from 'node:crypto'
import { Binding, backoff, pause, type Random, type RequestKey, type TeamName } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { storeFault, type ObjectStore, type ResourceVersion, type StoreFault } from './object-store.js'

export interface ClaimsOptions {
  store: ObjectStore
  random: Random
  /** Objects over which claims are spread; the same at every process. */
  buckets: number
  /** How long a claim is kept, by the clocks of those who write; far longer than any caller tries again. */
  keptMs: number
}

export const defaultBuckets = 256
export const defaultKeptMs = 24 * 60 * 60 * 1000

const triesOfWrite = 6
const idBytes = 18

const Claim = Binding.extend({ at: z.number() })
type Claim = z.infer<typeof Claim>
const Bucket = z.record(z.string(), Claim)
type Bucket = z.infer<typeof Bucket>

/** Names a key within its team; two teams' equal keys never meet. */
export const claimId = (team: TeamName, key: RequestKey): string =>
  createHash('sha256').update(`${team}\n${key}`).digest('base64url').slice(0, idBytes)

interface Wish {
  id: string
  /** The nonce of the claim that may be replaced; absent when only a free key may be taken. */
  from: string | undefined
  binding: Binding
  settle: (result: Result<Binding, StoreFault>) => void
}

interface Snapshot {
  claims: Bucket
  version: ResourceVersion | 'absent'
}

const toBinding = ({ at, ...binding }: Claim): Binding => binding

export class Claims {
  readonly #waiting = new Map<number, Wish[]>()
  readonly #busy = new Set<number>()
  readonly #seen = new Map<number, Snapshot>()

  constructor (private readonly options: ClaimsOptions) {}

  /** Binds a free key; gives the binding in force, which may be an earlier one. */
  bind (id: string, binding: Binding): Promise<Result<Binding, StoreFault>> {
    return this.#wish(id, undefined, binding)
  }

  /** Replaces the binding with nonce `from`, whose incarnation has refused the key for good. */
  rebind (id: string, from: string, binding: Binding): Promise<Result<Binding, StoreFault>> {
    return this.#wish(id, from, binding)
  }

  /** The binding in force, read afresh. */
  async read (id: string): Promise<Result<Binding | undefined, StoreFault>> {
    const snapshot = await this.#read(this.#bucketOf(id))
    return snapshot.map(({ claims }) => {
      const claim = claims[id]
      return claim === undefined ? undefined : toBinding(claim)
    })
  }

  #bucketOf (id: string): number {
    return Buffer.from(id, 'base64url').readUInt32BE() % this.options.buckets
  }

  #wish (id: string, from: string | undefined, binding: Binding): Promise<Result<Binding, StoreFault>> {
    const bucket = this.#bucketOf(id)
    return new Promise(resolve => {
      const waiting = this.#waiting.get(bucket) ?? []
      waiting.push({ id, from, binding, settle: resolve })
      this.#waiting.set(bucket, waiting)
      if (!this.#busy.has(bucket)) void this.#work(bucket)
    })
  }

  async #work (bucket: number): Promise<void> {
    this.#busy.add(bucket)
    for (let wishes = this.#take(bucket); wishes.length > 0; wishes = this.#take(bucket)) {
      const written = await this.#write(bucket, wishes)
      for (const wish of wishes) {
        const claim = written.isOk() ? written.value[wish.id] : undefined
        if (claim !== undefined) wish.settle(ok(toBinding(claim)))
        else wish.settle(err(written.isErr() ? written.error : storeFault('refused', 'the claim was not written')))
      }
    }
    this.#busy.delete(bucket)
    this.#seen.delete(bucket)
  }

  #take (bucket: number): Wish[] {
    const wishes = this.#waiting.get(bucket) ?? []
    this.#waiting.delete(bucket)
    return wishes
  }

  /** Writes until each wish's key has a claim in the store; gives the bucket as the store has it. */
  async #write (bucket: number, wishes: Wish[]): Promise<Result<Bucket, StoreFault>> {
    let fault = storeFault('unavailable')
    for (let failures = 0; failures < triesOfWrite; failures++) {
      if (failures > 0) await pause(backoff(failures - 1, this.options.random))
      const known = this.#seen.get(bucket)
      const snapshot = known === undefined ? await this.#read(bucket) : ok(known)
      if (snapshot.isErr()) {
        fault = snapshot.error
        continue
      }
      const { claims, changed } = this.#merge(snapshot.value.claims, wishes)
      if (!changed && known === undefined) return ok(claims)
      if (!changed) {
        // What is remembered may be behind the store: only a fresh read may say who holds a key.
        this.#seen.delete(bucket)
        failures -= 1
        continue
      }
      const written = await this.options.store.put(bucketName(bucket), claims, snapshot.value.version)
      if (written.isOk()) {
        this.#seen.set(bucket, { claims, version: written.value.version })
        return ok(claims)
      }
      this.#seen.delete(bucket)
      fault = written.error
    }
    return err(fault)
  }

  async #read (bucket: number): Promise<Result<Snapshot, StoreFault>> {
    const object = await this.options.store.get(bucketName(bucket))
    return object.andThen((found): Result<Snapshot, StoreFault> => {
      if (found === undefined) return ok({ claims: {}, version: 'absent' })
      const claims = Bucket.safeParse(found.value)
      if (!claims.success) return err(storeFault('refused', `bucket ${bucket} is not valid`))
      return ok({ claims: claims.data, version: found.version })
    })
  }

  #merge (claims: Bucket, wishes: Wish[]): { claims: Bucket, changed: boolean } {
    const now = Date.now()
    const merged: Bucket = Object.fromEntries(Object.entries(claims).filter(([, claim]) => now - claim.at < this.options.keptMs))
    let changed = false
    for (const { id, from, binding } of wishes) {
      const present = merged[id]
      if (present !== undefined && present.nonce !== from) continue
      merged[id] = { ...binding, at: now }
      changed = true
    }
    return { claims: merged, changed }
  }
}

export const bucketName = (bucket: number): string => `claims/${bucket}`
