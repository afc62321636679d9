/**
 * Exchange of the configuration between peers: each end of a channel can pull the head and the shards of the other.
 *
 * A process with a stale configuration catches up from the very peer that announced a newer revision, also while the store is down.
 */
import { withTimeout, type Revision } from '@finchpitch/core'
import { Head, catchUp, storeError, type Catalog, type ConfigurationSource, type StoreError } from '@finchpitch/store'
import type { Channel, Frame, FrameOf } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'

const pullTimeoutMs = 1000
/** Keeps a push well below the frame limit; a peer that needs more shards pulls again. */
const maxPushBytes = 1024 * 1024

export class CatalogExchange implements ConfigurationSource {
  readonly #pendingPulls = new Map<number, (push: FrameOf<'push'>) => void>()
  #nextId = 0
  #activePull: Promise<void> | undefined

  constructor (private readonly catalog: Catalog, private readonly channel: Channel) {}

  /** Handles frames that concern the configuration and ignores all others. */
  handleFrame (frame: Frame): void {
    if (frame.type === 'pull') this.#sendPush(frame)
    else if (frame.type === 'push') this.#pendingPulls.get(frame.id)?.(frame)
    else if (frame.type === 'heartbeat') this.observeRevision(frame.revision)
  }

  /** Takes note of the revision that the peer reports, and pulls if it is newer than the local one. */
  observeRevision (revision: Revision): void {
    if (revision > this.catalog.revision) void this.pull()
  }

  /** Catches up with the peer; concurrent calls share one pull. */
  async pull (): Promise<void> {
    this.#activePull ??= catchUp(this.catalog, this).then(() => { this.#activePull = undefined })
    await this.#activePull
  }

  close (): void {
    this.#pendingPulls.clear()
  }

  async head (): Promise<Result<Head | undefined, StoreError>> {
    const push = await this.#request([])
    return push.andThen(({ head }) => {
      if (head === undefined || head === null) return ok(undefined)
      const parsed = Head.safeParse(head)
      return parsed.success ? ok(parsed.data) : err(storeError('refused', 'the head that a peer sent is not valid'))
    })
  }

  async shards (hashes: string[]): Promise<Result<Map<string, string>, StoreError>> {
    const texts = new Map<string, string>()
    while (texts.size < hashes.length) {
      const push = await this.#request(hashes.filter(hash => !texts.has(hash)))
      if (push.isErr()) return err(push.error)
      const found = Object.entries(push.value.shards)
      if (found.length === 0) break
      for (const [hash, text] of found) texts.set(hash, text)
    }
    return ok(texts)
  }

  async #request (shards: string[]): Promise<Result<FrameOf<'push'>, StoreError>> {
    const id = this.#nextId++
    const received = new Promise<FrameOf<'push'>>(resolve => this.#pendingPulls.set(id, resolve))
    const sent = this.channel.send({ type: 'pull', id, shards })
    const push = sent ? await withTimeout(pullTimeoutMs, received, undefined) : undefined
    this.#pendingPulls.delete(id)
    return push === undefined ? err(storeError('unavailable', 'a peer did not answer a pull in time')) : ok(push)
  }

  #sendPush ({ id, shards }: FrameOf<'pull'>): void {
    const texts: Record<string, string> = {}
    let bytes = 0
    for (const hash of shards) {
      const text = this.catalog.text(hash)
      if (text === undefined || (bytes > 0 && bytes + text.length > maxPushBytes)) continue
      texts[hash] = text
      bytes += text.length
    }
    this.channel.send({ type: 'push', id, head: this.catalog.head, shards: texts })
  }
}
