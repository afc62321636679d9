/**
 * Tells whether a server has crashed or only a connection to it broke.
 *
 * To the request, a reset connection, a truncated response and a crash of the server look alike. Connecting to the address tells
 * them apart at once: after a crash it refuses connections until the server has restarted, some seconds later.
 */
import { connect } from 'node:net'
import { splitAddress } from '@finchpitch/core'
import type { BackendServer } from '../../server.js'

/** A reachable server accepts or refuses within some ms; without either it may be partitioned, which does not show a crash. */
const probeTimeoutMs = 1000

/** Resolves to whether the address refuses connections. */
const refusesConnections = (address: string): Promise<boolean> => new Promise(resolve => {
  const socket = connect(splitAddress(address))
  const finish = (refused: boolean): void => {
    socket.destroy()
    resolve(refused)
  }
  socket.setTimeout(probeTimeoutMs, () => finish(false))
  socket.once('connect', () => finish(false))
  socket.on('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'))
})

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
