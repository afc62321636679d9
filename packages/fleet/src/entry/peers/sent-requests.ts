/**
 * The last load request for each adapter that an entry sent to one side process.
 *
 * Selection asks for the number of recent loads of each engine at each choice, much more often than requests are sent or reports
 * arrive. The count is therefore kept until either changes.
 */
import type { FrameOf } from '@finchpitch/wire'

export type LoadRequest = Omit<FrameOf<'want'>, 'type' | 'keep'> & { keep: boolean }

export type SentRequest = LoadRequest & { at: number }

export class SentRequests {
  /** By key. */
  readonly #requests = new Map<string, SentRequest>()
  /** No load was requested later than this. */
  #lastLoadAt = -Infinity
  /** The time for which loads were last counted; `NaN` if requests have changed since. */
  #countedSince = NaN
  #loadCount = 0

  get (key: string): SentRequest | undefined {
    return this.#requests.get(key)
  }

  set (request: SentRequest): void {
    this.#requests.set(request.key, request)
    if (!request.keep) this.#lastLoadAt = Math.max(this.#lastLoadAt, request.at)
    this.#countedSince = NaN
  }

  delete (key: string): void {
    if (this.#requests.delete(key)) this.#countedSince = NaN
  }

  deleteBefore (at: number): void {
    for (const [key, request] of this.#requests) if (request.at < at) this.delete(key)
  }

  clear (): void {
    this.#requests.clear()
    this.#lastLoadAt = -Infinity
    this.#countedSince = NaN
  }

  /** Number of loads requested after `since`, without requests that wait for a slot. */
  loadsSince (since: number): number {
    if (this.#lastLoadAt <= since) return 0
    if (since === this.#countedSince) return this.#loadCount
    let count = 0
    for (const { at, keep } of this.#requests.values()) if (!keep && at > since) count += 1
    this.#countedSince = since
    this.#loadCount = count
    return count
  }
}
