/**
 * The platform's list of running and draining instances. It lags behind, so it serves only
 * to choose which addresses to connect to: a listed instance may be gone.
 */
import { Address, FailureDomain, ProcessId, Serving, readText } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'
import * as z from 'zod'
import { storeError, type StoreError } from './object-store.js'
import { platformBodyBounds } from './platform-body.js'

const requestTimeoutMs = 1000

export const Instance = z.object({
  process: ProcessId,
  address: Address,
  domain: FailureDomain,
  leaving: z.boolean(),
  role: z.enum(['entry', 'side']),
  serving: Serving.optional()
})
export type Instance = z.infer<typeof Instance>

export interface InstanceList {
  read: () => Promise<Result<Instance[], StoreError>>
}

const InstancesBody = z.object({ items: z.array(Instance) })

export class HttpInstanceList implements InstanceList {
  /** The last response and its entity tag: the platform doesn't send an unchanged list again. */
  #cached: { tag: string, instances: Instance[] } | undefined

  constructor (private readonly origin: string) {}

  async read (): Promise<Result<Instance[], StoreError>> {
    try {
      const headers = this.#cached === undefined ? {} : { 'if-none-match': this.#cached.tag }
      const reply = await request(`${this.origin}/instances`, { headers, headersTimeout: requestTimeoutMs, bodyTimeout: requestTimeoutMs })
      if (reply.statusCode === 304 && this.#cached !== undefined) {
        await reply.body.dump()
        return ok(this.#cached.instances)
      }
      const body: unknown = JSON.parse(await readText(reply.body, platformBodyBounds))
      const parsed = InstancesBody.safeParse(body)
      if (reply.statusCode !== 200 || !parsed.success) return err(storeError('refused', `status ${reply.statusCode}`))
      const { etag } = reply.headers
      this.#cached = typeof etag === 'string' ? { tag: etag, instances: parsed.data.items } : undefined
      return ok(parsed.data.items)
    } catch (error) {
      return err(storeError('unavailable', (error as Error).message))
    }
  }
}
