/**
 * The platform's instance list: live and leaving instances. It lags, so it only says whom to try.
 */
import { Address, FailureDomain, ProcessId, Serving } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'
import * as z from 'zod'
import { storeFault, type StoreFault } from './object-store.js'

const listMs = 1000

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
  read: () => Promise<Result<Instance[], StoreFault>>
}

const Listing = z.object({ items: z.array(Instance) })

export class HttpInstanceList implements InstanceList {
  /** The last reading, and the tag by which the platform knows it: one that has not changed is not sent again. */
  #last: { tag: string, instances: Instance[] } | undefined

  constructor (private readonly origin: string) {}

  async read (): Promise<Result<Instance[], StoreFault>> {
    try {
      const headers = this.#last === undefined ? {} : { 'if-none-match': this.#last.tag }
      const reply = await request(`${this.origin}/instances`, { headers, headersTimeout: listMs, bodyTimeout: listMs })
      if (reply.statusCode === 304 && this.#last !== undefined) {
        await reply.body.dump()
        return ok(this.#last.instances)
      }
      const body = await reply.body.json()
      const listing = Listing.safeParse(body)
      if (reply.statusCode !== 200 || !listing.success) return err(storeFault('refused', `status ${reply.statusCode}`))
      const { etag } = reply.headers
      this.#last = typeof etag === 'string' ? { tag: etag, instances: listing.data.items } : undefined
      return ok(listing.data.items)
    } catch (error) {
      return err(storeFault('unavailable', (error as Error).message))
    }
  }
}
