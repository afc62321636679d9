/**
 * Listening for and dialling channels over TCP.
 */
import { connect, createServer, type Socket } from 'node:net'
import { once } from 'node:events'
import type { Duplex } from 'node:stream'
import { Address, splitAddress } from '@finchpitch/core'

const connectMs = 1000

export interface Listener {
  address: Address
  close: () => Promise<void>
}

/** Takes connections at `host:port`; port 0 lets the system choose. */
export const listen = async (host: string, port: number, accept: (stream: Duplex) => Promise<void>): Promise<Listener> => {
  const open = new Set<Socket>()
  const server = createServer({ noDelay: true }, socket => {
    open.add(socket)
    socket.on('close', () => open.delete(socket))
    void accept(socket)
  })
  server.listen(port, host)
  await once(server, 'listening')
  const bound = server.address()
  if (bound === null || typeof bound === 'string') throw new Error('a TCP listener has an address')
  const close = async (): Promise<void> => {
    const closed = new Promise<void>(resolve => server.close(() => resolve()))
    for (const socket of open) socket.destroy()
    await closed
  }
  return { address: Address.parse(`${host}:${bound.port}`), close }
}

/** Opens a connection, or rejects within a second. */
export const dial = async (address: Address): Promise<Duplex> => {
  const socket = connect({ ...splitAddress(address), noDelay: true })
  const timer = setTimeout(() => socket.destroy(new Error('no connection in time')), connectMs)
  try {
    await once(socket, 'connect')
    return socket
  } finally {
    clearTimeout(timer)
  }
}

/** How channels are opened; tests put connections in memory in its place. */
export type Dial = (address: Address) => Promise<Duplex>
