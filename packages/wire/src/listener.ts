/**
 * Listens for the TCP connections of channels, and opens them.
 */
import { connect, createServer, type Socket } from 'node:net'
import { once } from 'node:events'
import type { Duplex } from 'node:stream'
import { Address, bind, splitAddress, type BindOptions } from '@finchpitch/core'

const connectTimeoutMs = 1000

export interface Listener {
  address: Address
  /** Refuses new connections; those that are open stay open. */
  stopAccepting: () => void
  close: () => Promise<void>
}

/** Accepts connections at `host:port`; with port 0, the operating system chooses a free port. Rejects if the port can't be bound. */
export const listen = async (host: string, port: number, accept: (stream: Duplex) => Promise<void>, retry: Partial<BindOptions> = {}): Promise<Listener> => {
  const open = new Set<Socket>()
  const server = createServer({ noDelay: true }, socket => {
    open.add(socket)
    socket.on('close', () => open.delete(socket))
    void accept(socket)
  })
  await bind(server, { host, port, ...retry })
  // A connection that can't be accepted concerns its peer only, which tries again.
  server.on('error', () => {})
  const bound = server.address()
  if (bound === null || typeof bound === 'string') throw new Error('expected a TCP listener to have an address')
  let closed: Promise<void> | undefined
  const stopAccepting = (): void => {
    closed ??= new Promise(resolve => server.close(() => resolve()))
  }
  const close = async (): Promise<void> => {
    stopAccepting()
    for (const socket of open) socket.destroy()
    await closed
  }
  return { address: Address.parse(`${host}:${bound.port}`), stopAccepting, close }
}

/** Opens a connection. Rejects if it is not established within a second. */
export const dial = async (address: Address): Promise<Duplex> => {
  const socket = connect({ ...splitAddress(address), noDelay: true })
  const timer = setTimeout(() => socket.destroy(new Error('connect timed out')), connectTimeoutMs)
  try {
    await once(socket, 'connect')
    return socket
  } finally {
    clearTimeout(timer)
  }
}

/** Opens the connection of a channel. Tests replace it by connections in memory. */
export type Dial = (address: Address) => Promise<Duplex>
