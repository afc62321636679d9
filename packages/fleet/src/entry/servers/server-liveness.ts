/**
 * Tells whether a server has crashed or only a connection to it broke.
 *
 * To the request, a reset connection, a truncated response and a crash of the server look alike. Connecting to the address tells
 * them apart at once: after a crash it refuses connections until the server has restarted, some seconds later.
 */
import { refusesConnections } from '@finchpitch/core'
import type { BackendServer } from '../../server.js'

export class ServerLiveness {
  readonly #probes = new Map<string, Promise<boolean>>()

  constructor (private readonly probe: (address: string) => Promise<boolean> = refusesConnections) {}

  /** Whether the server has crashed. Attempts that failed at the same time share one probe. */
  async ended ({ address }: BackendServer): Promise<boolean> {
    const pending = this.#probes.get(address)
    if (pending !== undefined) return await pending
    const probing = this.probe(address)
    this.#probes.set(address, probing)
    const crashed = await probing
    this.#probes.delete(address)
    return crashed
  }
}
