/**
 * Callers of all entries of a fleet, for a test that looks at what they got and at what reached the servers.
 */
import { pause } from '@finchpitch/core'
import { askFleet } from './caller.js'
import { eventually } from './eventually.js'
import type { FleetSystem } from './fleet-system.js'

/** A request and its answer; times on the steady clock. */
export interface Sent {
  entry: number
  id: string
  at: number
  /** Of the server that answered, by its seal; empty where none did. */
  server: string
  status: number
  /** When callers are told to come back; 0 where they are told nothing. */
  retryAfterMs: number
  endedAt: number
}

/** What streams ask for. */
const model = 'base/a1'
const sealPrefix = 'seal-'

export class FleetLoad {
  #asked = 0

  /** Ids of requests begin with the name and the place of their entry. */
  constructor (private readonly fleet: FleetSystem, private readonly name: string) {}

  idPrefix (entry: number): string {
    return `${this.name}-${entry}-`
  }

  async send (entry: number, path: string): Promise<Sent> {
    this.#asked += 1
    const id = `${this.idPrefix(entry)}${this.#asked}`
    const at = performance.now()
    const { headers, status } = await askFleet(this.fleet, { path, id, entry, ...(path.startsWith('/stream') ? { model } : {}) })
    const server = String(headers['response-seal'] ?? '').replace(sealPrefix, '')
    return { entry, id, at, server, status, retryAfterMs: Number(headers['retry-after'] ?? 0) * 1000, endedAt: performance.now() }
  }

  /** All entries are sent a request to each path, again and again. */
  async sendFor (ms: number, everyMs: number, paths: readonly string[]): Promise<Sent[]> {
    const sent: Array<Promise<Sent>> = []
    const until = performance.now() + ms
    while (performance.now() < until) {
      for (const entry of this.fleet.entries.keys()) for (const path of paths) sent.push(this.send(entry, path))
      await pause(everyMs)
    }
    return await Promise.all(sent)
  }

  /** Until each entry has served each path. */
  async served (paths: readonly string[]): Promise<void> {
    for (const entry of this.fleet.entries.keys()) for (const path of paths) await eventually('served', async () => (await this.send(entry, path)).status === 200)
  }
}
