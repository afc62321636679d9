/**
 * Whether a server has ended, or only a connection to it broke.
 *
 * A reset connection, a torn answer and the end of the server look alike to the request that meets them. The address tells
 * them apart at once: a server that has ended refuses connections until it is back, some seconds later.
 */
import { connect } from 'node:net'
import { splitAddress } from '@finchpitch/core'
import type { BackendServer } from '../server.js'

/** A server in touch accepts or refuses within some ms; one that does neither may be cut off, and has not shown to have ended. */
const answerMs = 1000

/** Resolves whether the address refuses connections. */
const refuses = (address: string): Promise<boolean> => new Promise(resolve => {
  const socket = connect(splitAddress(address))
  const finish = (refused: boolean): void => {
    socket.destroy()
    resolve(refused)
  }
  socket.setTimeout(answerMs, () => finish(false))
  socket.once('connect', () => finish(false))
  socket.on('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'))
})

export class ServerEnds {
  readonly #asked = new Map<string, Promise<boolean>>()

  constructor (private readonly probe: (address: string) => Promise<boolean> = refuses) {}

  /** Asks the address once for all requests that broke off there together. */
  async ended ({ address }: BackendServer): Promise<boolean> {
    const known = this.#asked.get(address)
    if (known !== undefined) return await known
    const asked = this.probe(address)
    this.#asked.set(address, asked)
    const ended = await asked
    this.#asked.delete(address)
    return ended
  }
}
