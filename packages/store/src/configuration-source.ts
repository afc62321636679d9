/**
 * Sources that a catalog is updated from. The store is one; a peer serves as another while the store is unavailable.
 */
import { err, ok, type Result } from 'neverthrow'
import { Head, type Catalog } from './catalog.js'
import { storeError, type ObjectStore, type ResourceVersion, type StoreError } from './object-store.js'

export const headName = 'config/head'
export const shardName = (hash: string): string => `config/shard/${hash}`

const maxConcurrentReads = 16

export interface ConfigurationSource {
  head: () => Promise<Result<Head | undefined, StoreError>>
  shards: (hashes: string[]) => Promise<Result<Map<string, string>, StoreError>>
}

export interface VersionedHead {
  head: Head
  version: ResourceVersion
}

export class StoreSource implements ConfigurationSource {
  constructor (readonly store: ObjectStore) {}

  async head (): Promise<Result<Head | undefined, StoreError>> {
    return (await this.versionedHead()).map(found => found?.head)
  }

  async versionedHead (): Promise<Result<VersionedHead | undefined, StoreError>> {
    const found = await this.store.get(headName)
    return found.andThen(object => {
      if (object === undefined) return ok(undefined)
      const head = Head.safeParse(object.value)
      return head.success ? ok({ head: head.data, version: object.version }) : err(storeError('refused', 'the head is not valid'))
    })
  }

  async shards (hashes: string[]): Promise<Result<Map<string, string>, StoreError>> {
    const texts = new Map<string, string>()
    for (let at = 0; at < hashes.length; at += maxConcurrentReads) {
      const batch = hashes.slice(at, at + maxConcurrentReads)
      const found = await Promise.all(batch.map(hash => this.store.get(shardName(hash))))
      for (const [index, object] of found.entries()) {
        if (object.isErr()) return err(object.error)
        const hash = batch[index]
        if (hash !== undefined && typeof object.value?.value === 'string') texts.set(hash, object.value.value)
      }
    }
    return ok(texts)
  }
}

/** Updates `catalog` to the head of `source`. Returns whether its revision changed. */
export const catchUp = async (catalog: Catalog, source: ConfigurationSource): Promise<Result<boolean, StoreError>> => {
  const head = await source.head()
  if (head.isErr()) return err(head.error)
  if (head.value === undefined || head.value.revision <= catalog.revision) return ok(false)
  const shards = await source.shards(catalog.missingShards(head.value))
  if (shards.isErr()) return err(shards.error)
  return ok(catalog.update(head.value, shards.value))
}
