/**
 * The catalog: one process's copy of the current configuration.
 *
 * The store holds the configuration as content-addressed shards and a head, which lists the hashes of the shards. Equal
 * hashes mean equal content, so a shard may be fetched from the store or from any peer. A catalog's revision never
 * decreases.
 *
 * Adapter shards are kept as JSON text and decoded on first use: most adapters are idle, and 52,000 of them as objects
 * would exceed a node's memory budget.
 */
import { createHash } from 'node:crypto'
import { Model, Revision, Service, Team, adapterId, noRevision, type Adapter, type Configuration } from '@finchpitch/core'
import { LRUCache } from 'lru-cache'
import murmurhash from 'murmurhash'
import * as z from 'zod'

const hashLength = 16
const adaptersPerShard = 100
const maxDecodedShards = 128

export const Change = z.object({
  revision: Revision,
  /** Identifies the change when its writer reads the head back after the response to the write was lost. */
  applyId: z.string(),
  actor: z.string(),
  /** Unix time in milliseconds by the clock of the applying process; only displayed, never compared. */
  at: z.number(),
  note: z.string()
})
export type Change = z.infer<typeof Change>

export const Head = z.object({
  revision: Revision,
  /** The most recent changes, newest first; the first one created this head. */
  recent: z.array(Change).min(1),
  common: z.string(),
  adapters: z.array(z.string())
})
export type Head = z.infer<typeof Head>

const Common = z.object({ teams: z.array(Team), models: z.array(Model), services: z.array(Service) })
type Common = z.infer<typeof Common>

export const contentHash = (text: string): string =>
  createHash('sha256').update(text).digest('base64url').slice(0, hashLength)

export const hashToken = (token: string): string => createHash('sha256').update(token).digest('hex')

export const shardIndexOf = (id: string, shards: number): number => murmurhash.v3(id) % shards

export interface Shards {
  common: string
  adapters: string[]
  /** JSON text of each shard, by its hash. */
  texts: Map<string, string>
}

/** The number of adapter shards: a power of two, so that it rarely changes; each change redistributes all adapters. */
const shardCount = (adapters: number): number => {
  let count = 1
  while (count * adaptersPerShard < adapters) count *= 2
  return count
}

export const splitIntoShards = (configuration: Configuration): Shards => {
  const texts = new Map<string, string>()
  const addShard = (value: unknown): string => {
    const text = JSON.stringify(value)
    const hash = contentHash(text)
    texts.set(hash, text)
    return hash
  }
  const { teams, models, services } = configuration
  const groups = Array.from({ length: shardCount(configuration.adapters.length) }, (): Adapter[] => [])
  for (const adapter of configuration.adapters) groups[shardIndexOf(adapterId(adapter), groups.length)]?.push(adapter)
  return { common: addShard({ teams, models, services }), adapters: groups.map(addShard), texts }
}

/** Which shards a process holds: entries need the adapter shards to resolve adapters, side processes don't. */
export type CatalogScope = 'all' | 'common'

export class Catalog {
  #head: Head | undefined
  #common: Common = { teams: [], models: [], services: [] }
  #texts = new Map<string, string>()
  #teamsByToken = new Map<string, Team>()
  readonly #decoded = new LRUCache<string, Map<string, Adapter>>({ max: maxDecodedShards })
  readonly #listeners = new Set<(revision: Revision) => void>()

  constructor (readonly scope: CatalogScope) {}

  get revision (): Revision {
    return this.#head?.revision ?? noRevision
  }

  get head (): Head | undefined {
    return this.#head
  }

  /** Total length of the shards' JSON texts. */
  get bytes (): number {
    return [...this.#texts.values()].reduce((sum, text) => sum + text.length, 0)
  }

  /** Calls `listener` after each update. Returns a function that removes the listener. */
  onUpdate (listener: (revision: Revision) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Hashes of the shards of `head` that this process needs. */
  requiredShards (head: Head): string[] {
    return this.scope === 'all' ? [head.common, ...head.adapters] : [head.common]
  }

  /** Hashes of the needed shards of `head` that are not held yet. */
  missingShards (head: Head): string[] {
    return [...new Set(this.requiredShards(head))].filter(hash => !this.#texts.has(hash))
  }

  /** The JSON text of a shard, if it is held. */
  text (hash: string): string | undefined {
    return this.#texts.get(hash)
  }

  /**
   * Replaces the configuration by that of `head` if its revision is higher and every needed shard is present and matches
   * its hash. Otherwise changes nothing and returns false.
   */
  update (head: Head, fetched: Map<string, string>): boolean {
    if (head.revision <= this.revision) return false
    const texts = new Map<string, string>()
    for (const hash of this.requiredShards(head)) {
      const text = this.#texts.get(hash) ?? fetched.get(hash)
      if (text === undefined || contentHash(text) !== hash) return false
      texts.set(hash, text)
    }
    this.#common = Common.parse(JSON.parse(texts.get(head.common) ?? ''))
    this.#teamsByToken = new Map(this.#common.teams.flatMap(team => team.tokens.map(token => [token, team])))
    this.#texts = texts
    this.#head = head
    for (const listener of this.#listeners) listener(head.revision)
    return true
  }

  /** Tokens are looked up by hash, so that the timing of the lookup reveals nothing about the token. */
  teamOfToken (token: string): Team | undefined {
    return this.#teamsByToken.get(hashToken(token))
  }

  team (name: string): Team | undefined {
    return this.#common.teams.find(team => team.name === name)
  }

  service (name: string): Service | undefined {
    return this.#common.services.find(service => service.name === name)
  }

  model (name: string): Model | undefined {
    return this.#common.models.find(model => model.name === name)
  }

  adapter (team: string, name: string): Adapter | undefined {
    if (this.#head === undefined) return undefined
    const id = adapterId({ team, name })
    const hash = this.#head.adapters[shardIndexOf(id, this.#head.adapters.length)]
    return hash === undefined ? undefined : this.#shard(hash).get(id)
  }

  /** The complete configuration, decoded, for operators. */
  whole (): Configuration {
    const adapters = (this.#head?.adapters ?? []).flatMap(hash => [...this.#shard(hash).values()])
    return { ...this.#common, adapters }
  }

  #shard (hash: string): Map<string, Adapter> {
    const known = this.#decoded.get(hash)
    if (known !== undefined) return known
    // The hash proves that this is the text that was validated when it was applied, so it is parsed without a schema.
    const adapters = JSON.parse(this.#texts.get(hash) ?? '[]') as Adapter[]
    const shard = new Map(adapters.map(adapter => [adapterId(adapter), adapter]))
    this.#decoded.set(hash, shard)
    return shard
  }
}
