/**
 * Tells a server that has ended from one whose connection broke: an address where nobody listens refuses connections at once.
 */
import { connect } from 'node:net'
import { splitAddress } from './address.js'

/** A reachable server accepts or refuses within some ms; without either it may be partitioned, which does not show that it has ended. */
const probeTimeoutMs = 1000

/** Resolves to whether the address (`host:port`) refuses connections. */
export const refusesConnections = (address: string): Promise<boolean> => new Promise(resolve => {
  const socket = connect(splitAddress(address))
  const finish = (refused: boolean): void => {
    socket.destroy()
    resolve(refused)
  }
  socket.setTimeout(probeTimeoutMs, () => finish(false))
  socket.once('connect', () => finish(false))
  socket.on('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'))
})
