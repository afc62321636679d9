/**
 * Cache events: which prompt prefixes an engine says that it holds. They come late, and some don't come at all.
 */
import * as z from 'zod'

const Position = { boot: z.string(), sequence: z.number().int().nonnegative() }

/** A published event; `blocks` are hashes of prefix blocks, under the salt of the team that they belong to. */
export const CacheEvent = z.discriminatedUnion('type', [
  z.object({ type: z.literal('stored'), ...Position, salt: z.string(), blocks: z.array(z.string()) }),
  z.object({ type: z.literal('removed'), ...Position, salt: z.string(), blocks: z.array(z.string()) }),
  z.object({ type: z.literal('cleared'), ...Position })
])
export type CacheEvent = z.infer<typeof CacheEvent>

/** What an engine's events say that it holds. After a gap nothing is known, so nothing is kept. */
export class PrefixCache {
  readonly #blocks = new Map<string, Set<string>>()
  #boot = ''
  #next = 0
  #gaps = 0

  constructor (private readonly maxBlocks: number) {}

  get size (): number {
    return [...this.#blocks.values()].reduce((sum, blocks) => sum + blocks.size, 0)
  }

  /** How often events were missing. */
  get gaps (): number {
    return this.#gaps
  }

  holds (salt: string, block: string): boolean {
    return this.#blocks.get(salt)?.has(block) ?? false
  }

  take (event: CacheEvent): void {
    if (event.boot !== this.#boot) this.#begin(event)
    if (event.sequence < this.#next) return
    if (event.sequence > this.#next) {
      this.#gaps += 1
      this.#blocks.clear()
    }
    this.#next = event.sequence + 1
    if (event.type === 'cleared') this.#blocks.clear()
    else if (event.type === 'stored') this.#store(event.salt, event.blocks)
    else for (const block of event.blocks) this.#blocks.get(event.salt)?.delete(block)
  }

  /** Another run of the engine begins empty. */
  #begin ({ boot, sequence }: CacheEvent): void {
    this.#boot = boot
    this.#next = sequence
    this.#blocks.clear()
  }

  #store (salt: string, blocks: string[]): void {
    if (this.size + blocks.length > this.maxBlocks) this.#blocks.clear()
    const known = this.#blocks.get(salt) ?? new Set()
    for (const block of blocks) known.add(block)
    this.#blocks.set(salt, known)
  }
}
