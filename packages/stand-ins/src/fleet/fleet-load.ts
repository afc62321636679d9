/**
 * Load on all entries of a test fleet, for tests that compare the responses to callers with the requests that reached the servers.
 */
import { pause } from '@finchpitch/core'
import { sendToFleet } from './caller.js'
import { eventually } from './eventually.js'
import type { FleetSystem } from './fleet-system.js'

/** A request and its response; times are those of the monotonic clock. */
export interface SentRequest {
  entry: number
  id: string
  at: number
  /** The id of the server that responded, from the response seal; empty if none did. */
  server: string
  status: number
  /** The Retry-After time of the response; 0 if it has none. */
  retryAfterMs: number
  endedAt: number
}

/** The model that stream requests name. */
const model = 'base/a1'
const sealPrefix = 'seal-'

export class FleetLoad {
  #requestCount = 0

  /** Request ids begin with `name` and the index of their entry. */
  constructor (private readonly fleet: FleetSystem, private readonly name: string) {}

  idPrefix (entry: number): string {
    return `${this.name}-${entry}-`
  }

  async send (entry: number, path: string): Promise<SentRequest> {
    this.#requestCount += 1
    const id = `${this.idPrefix(entry)}${this.#requestCount}`
    const at = performance.now()
    const { headers, status } = await sendToFleet(this.fleet, { path, id, entry, ...(path.startsWith('/stream') ? { model } : {}) })
    const server = String(headers['response-seal'] ?? '').replace(sealPrefix, '')
    return { entry, id, at, server, status, retryAfterMs: Number(headers['retry-after'] ?? 0) * 1000, endedAt: performance.now() }
  }

  /** For `ms`, sends each entry a request to each path every `everyMs`. Resolves once all have been answered. */
  async sendFor (ms: number, everyMs: number, paths: readonly string[]): Promise<SentRequest[]> {
    const sent: Array<Promise<SentRequest>> = []
    const endsAt = performance.now() + ms
    while (performance.now() < endsAt) {
      for (const entry of this.fleet.entries.keys()) for (const path of paths) sent.push(this.send(entry, path))
      await pause(everyMs)
    }
    return await Promise.all(sent)
  }

  /** Resolves once each entry has served each path. */
  async waitUntilServed (paths: readonly string[]): Promise<void> {
    for (const entry of this.fleet.entries.keys()) for (const path of paths) await eventually('each entry serves each path', async () => (await this.send(entry, path)).status === 200)
  }
}
