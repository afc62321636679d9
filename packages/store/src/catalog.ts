/**
 * The catalog: the accepted configuration as one process holds it.
 *
 * The store keeps a head, which names every shard by its hash, and the shards. Equal hashes are equal texts, so
 * shards can come from the store or from any peer. A catalog only ever moves to a higher revision.
 *
 * Adapter shards stay texts until they are asked for: most adapters are idle, and 52,000 of them as objects would
 * not fit a node's budget.
 */
import { createHash } from 'node:crypto'
import { Model, Revision, Service, Team, adapterId, noRevision, type Adapter, type Configuration } from '@finchpitch/core'
import { LRUCache } from 'lru-cache'
import murmurhash from 'murmurhash'
import * as z from 'zod'

const hashLength = 16
const adaptersPerShard = 100
const decodedShards = 128

export const Change = z.object({
  revision: Revision,
  /** Tells one's own write from another's when its answer was lost. */
  applyId: z.string(),
  actor: z.string(),
  /** Milliseconds since 1970 at the applying process's clock; shown, never compared. */
  at: z.number(),
  note: z.string()
})
export type Change = z.infer<typeof Change>

export const Head = z.object({
  revision: Revision,
  /** The last changes, newest first; the first is this head's own. */
  recent: z.array(Change).min(1),
  common: z.string(),
  adapters: z.array(z.string())
})
export type Head = z.infer<typeof Head>

const Common = z.object({ teams: z.array(Team), models: z.array(Model), services: z.array(Service) })
type Common = z.infer<typeof Common>

export const hashOf = (text: string): string =>
  createHash('sha256').update(text).digest('base64url').slice(0, hashLength)

export const hashOfToken = (token: string): string => createHash('sha256').update(token).digest('hex')

export const shardOf = (id: string, shards: number): number => murmurhash.v3(id) % shards

export interface Shards {
  common: string
  adapters: string[]
  /** Text by hash. */
  texts: Map<string, string>
}

/** The number of shards for so many adapters: a power of two, so that it rarely changes. */
const shardCount = (adapters: number): number => {
  let count = 1
  while (count * adaptersPerShard < adapters) count *= 2
  return count
}

export const split = (configuration: Configuration): Shards => {
  const texts = new Map<string, string>()
  const keep = (value: unknown): string => {
    const text = JSON.stringify(value)
    const hash = hashOf(text)
    texts.set(hash, text)
    return hash
  }
  const { teams, models, services } = configuration
  const groups = Array.from({ length: shardCount(configuration.adapters.length) }, (): Adapter[] => [])
  for (const adapter of configuration.adapters) groups[shardOf(adapterId(adapter), groups.length)]?.push(adapter)
  return { common: keep({ teams, models, services }), adapters: groups.map(keep), texts }
}

/** Which shards a process holds: entries resolve adapters, side processes don't. */
export type Scope = 'all' | 'common'

export class Catalog {
  #head: Head | undefined
  #common: Common = { teams: [], models: [], services: [] }
  #texts = new Map<string, string>()
  #teamsByToken = new Map<string, Team>()
  readonly #decoded = new LRUCache<string, Map<string, Adapter>>({ max: decodedShards })
  readonly #listeners = new Set<(revision: Revision) => void>()

  constructor (readonly scope: Scope) {}

  get revision (): Revision {
    return this.#head?.revision ?? noRevision
  }

  get head (): Head | undefined {
    return this.#head
  }

  /** Bytes of shard texts held. */
  get bytes (): number {
    return [...this.#texts.values()].reduce((sum, text) => sum + text.length, 0)
  }

  /** Calls `listener` after each move; the function given back ends that. */
  onMove (listener: (revision: Revision) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** The shards that this process needs for `head`. */
  wanted (head: Head): string[] {
    return this.scope === 'all' ? [head.common, ...head.adapters] : [head.common]
  }

  lacking (head: Head): string[] {
    return [...new Set(this.wanted(head))].filter(hash => !this.#texts.has(hash))
  }

  text (hash: string): string | undefined {
    return this.#texts.get(hash)
  }

  /** Moves to `head` if it is higher and every shard is there and whole; false leaves all as it was. */
  move (head: Head, fetched: Map<string, string>): boolean {
    if (head.revision <= this.revision) return false
    const texts = new Map<string, string>()
    for (const hash of this.wanted(head)) {
      const text = this.#texts.get(hash) ?? fetched.get(hash)
      if (text === undefined || hashOf(text) !== hash) return false
      texts.set(hash, text)
    }
    this.#common = Common.parse(JSON.parse(texts.get(head.common) ?? ''))
    this.#teamsByToken = new Map(this.#common.teams.flatMap(team => team.tokens.map(token => [token, team])))
    this.#texts = texts
    this.#head = head
    for (const listener of this.#listeners) listener(head.revision)
    return true
  }

  /** Looking up a hash leaks nothing of the token, whatever the comparison's time. */
  teamOfToken (token: string): Team | undefined {
    return this.#teamsByToken.get(hashOfToken(token))
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
    const hash = this.#head.adapters[shardOf(id, this.#head.adapters.length)]
    return hash === undefined ? undefined : this.#shard(hash).get(id)
  }

  /** The whole configuration, for operators. */
  whole (): Configuration {
    const adapters = (this.#head?.adapters ?? []).flatMap(hash => [...this.#shard(hash).values()])
    return { ...this.#common, adapters }
  }

  #shard (hash: string): Map<string, Adapter> {
    const known = this.#decoded.get(hash)
    if (known !== undefined) return known
    // Its hash says that this is the text which was checked when it was applied: parsing is enough.
    const adapters = JSON.parse(this.#texts.get(hash) ?? '[]') as Adapter[]
    const shard = new Map(adapters.map(adapter => [adapterId(adapter), adapter]))
    this.#decoded.set(hash, shard)
    return shard
  }
}
