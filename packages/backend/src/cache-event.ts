/**
 * Events by which an engine reports the prompt prefixes in its cache, and a copy of that cache built from them. Events
 * arrive late, and some are lost.
 */
import * as z from 'zod'

const sequenceFields = { boot: z.string(), sequence: z.number().int().nonnegative() }

/** A published event. `blocks` are hashes of prefix blocks, which are specific to `salt`: each team has its own. */
export const CacheEvent = z.discriminatedUnion('type', [
  z.object({ type: z.literal('stored'), ...sequenceFields, salt: z.string(), blocks: z.array(z.string()) }),
  z.object({ type: z.literal('removed'), ...sequenceFields, salt: z.string(), blocks: z.array(z.string()) }),
  z.object({ type: z.literal('cleared'), ...sequenceFields })
])
export type CacheEvent = z.infer<typeof CacheEvent>

/** Mirrors an engine's prefix cache from its events. A gap in the sequence clears it, since any block may be gone. */
export class PrefixCacheMirror {
  readonly #blocks = new Map<string, Set<string>>()
  #boot = ''
  #nextSequence = 0
  #gaps = 0

  constructor (private readonly maxBlocks: number) {}

  get size (): number {
    return [...this.#blocks.values()].reduce((sum, blocks) => sum + blocks.size, 0)
  }

  /** How often the sequence of events had a gap. */
  get gapCount (): number {
    return this.#gaps
  }

  holds (salt: string, block: string): boolean {
    return this.#blocks.get(salt)?.has(block) ?? false
  }

  /** Applies an event; a repeated one is ignored. */
  apply (event: CacheEvent): void {
    if (event.boot !== this.#boot) this.#reset(event)
    if (event.sequence < this.#nextSequence) return
    if (event.sequence > this.#nextSequence) {
      this.#gaps += 1
      this.#blocks.clear()
    }
    this.#nextSequence = event.sequence + 1
    if (event.type === 'cleared') this.#blocks.clear()
    else if (event.type === 'stored') this.#addBlocks(event.salt, event.blocks)
    else for (const block of event.blocks) this.#blocks.get(event.salt)?.delete(block)
  }

  /** The engine has restarted, so its cache is empty. */
  #reset ({ boot, sequence }: CacheEvent): void {
    this.#boot = boot
    this.#nextSequence = sequence
    this.#blocks.clear()
  }

  #addBlocks (salt: string, blocks: string[]): void {
    if (this.size + blocks.length > this.maxBlocks) this.#blocks.clear()
    const known = this.#blocks.get(salt) ?? new Set()
    for (const block of blocks) known.add(block)
    this.#blocks.set(salt, known)
  }
}
