/**
 * Configuration between peers: each end of a channel can pull the other's head and shards.
 *
 * So a process that is behind catches up with the very peer that told it so, also while the store is down.
 */
import { within, type Revision } from '@finchpitch/core'
import { Head, catchUp, storeFault, type Catalog, type ConfigurationSource, type StoreFault } from '@finchpitch/store'
import type { Channel, Frame, FrameOf } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'

const pullMs = 1000
/** A push stays well under the frame limit; whoever lacks more pulls again. */
const pushBytes = 1024 * 1024

export class CatalogExchange implements ConfigurationSource {
  readonly #waiting = new Map<number, (push: FrameOf<'push'>) => void>()
  #next = 0
  #pulling: Promise<void> | undefined

  constructor (private readonly catalog: Catalog, private readonly channel: Channel) {}

  /** Handles what belongs here; every other frame is passed over. */
  take (frame: Frame): void {
    if (frame.type === 'pull') this.#push(frame)
    else if (frame.type === 'push') this.#waiting.get(frame.id)?.(frame)
    else if (frame.type === 'heartbeat') this.see(frame.revision)
  }

  /** The peer has said which revision it holds. */
  see (revision: Revision): void {
    if (revision > this.catalog.revision) void this.pull()
  }

  /** Catches up with the peer; many calls at once are one pull. */
  async pull (): Promise<void> {
    this.#pulling ??= catchUp(this.catalog, this).then(() => { this.#pulling = undefined })
    await this.#pulling
  }

  close (): void {
    this.#waiting.clear()
  }

  async head (): Promise<Result<Head | undefined, StoreFault>> {
    const push = await this.#ask([])
    return push.andThen(({ head }) => {
      if (head === undefined || head === null) return ok(undefined)
      const parsed = Head.safeParse(head)
      return parsed.success ? ok(parsed.data) : err(storeFault('refused', 'a peer\'s head is not valid'))
    })
  }

  async shards (hashes: string[]): Promise<Result<Map<string, string>, StoreFault>> {
    const texts = new Map<string, string>()
    while (texts.size < hashes.length) {
      const push = await this.#ask(hashes.filter(hash => !texts.has(hash)))
      if (push.isErr()) return err(push.error)
      const found = Object.entries(push.value.shards)
      if (found.length === 0) break
      for (const [hash, text] of found) texts.set(hash, text)
    }
    return ok(texts)
  }

  async #ask (shards: string[]): Promise<Result<FrameOf<'push'>, StoreFault>> {
    const id = this.#next++
    const answered = new Promise<FrameOf<'push'>>(resolve => this.#waiting.set(id, resolve))
    const sent = this.channel.send({ type: 'pull', id, shards })
    const push = sent ? await within(pullMs, answered, undefined) : undefined
    this.#waiting.delete(id)
    return push === undefined ? err(storeFault('unavailable', 'a peer did not answer a pull')) : ok(push)
  }

  #push ({ id, shards }: FrameOf<'pull'>): void {
    const texts: Record<string, string> = {}
    let bytes = 0
    for (const hash of shards) {
      const text = this.catalog.text(hash)
      if (text === undefined || (bytes > 0 && bytes + text.length > pushBytes)) continue
      texts[hash] = text
      bytes += text.length
    }
    this.channel.send({ type: 'push', id, head: this.catalog.head, shards: texts })
  }
}
