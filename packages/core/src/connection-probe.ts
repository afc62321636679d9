/**
 * Finds out whether something listens at an address: one where nobody does refuses connections at once. It does not tell a process from
 * the one that listened there before.
 */
import { connect } from 'node:net'
import { splitAddress } from './address.js'

/** A reachable server accepts or refuses within some ms; without either it may be partitioned, which does not show that it has ended. */
const probeTimeoutMs = 1000

type ProbeResult = 'accepted' | 'refused' | 'unknown'

const probe = (address: string): Promise<ProbeResult> => new Promise(resolve => {
  const socket = connect(splitAddress(address))
  const finish = (result: ProbeResult): void => {
    socket.destroy()
    resolve(result)
  }
  socket.setTimeout(probeTimeoutMs, () => finish('unknown'))
  socket.once('connect', () => finish('accepted'))
  socket.on('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown'))
})

/** Resolves to whether the address (`host:port`) refuses connections. */
export const refusesConnections = async (address: string): Promise<boolean> => await probe(address) === 'refused'

/** Resolves to whether the address (`host:port`) accepts connections. */
export const acceptsConnections = async (address: string): Promise<boolean> => await probe(address) === 'accepted'
