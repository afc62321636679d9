/**
 * What `Socket` does not offer about its connection and `_handle`, an internal of Node, does. Where a Node version lacks it, peers that
 * stall are not found, a paused connection reads a further chunk ahead and all peers count as gone in the log; nothing else changes.
 */
import type { Socket } from 'node:net'

interface SocketHandle {
  bytesWritten: number
  writeQueueSize: number
  reading: boolean
  readStop: () => void
  /** Returns an error code, 0 if there is none. */
  getpeername: (address: object) => number
}

const handleOf = (socket: Socket | null): SocketHandle | undefined =>
  (socket as { _handle?: SocketHandle | null } | null)?._handle ?? undefined

/**
 * Bytes of the connection that the operating system has taken, `undefined` once it is closed. `Socket.writableLength` falls only
 * when a whole chunk is written, and a response may be one chunk of megabytes. The write queue of the handle, by which Node itself
 * finds idle sockets, falls with each part of it.
 */
export const bytesTaken = (socket: Socket | null): number | undefined => {
  const handle = handleOf(socket)
  return handle === undefined ? undefined : handle.bytesWritten - handle.writeQueueSize
}

/**
 * Whether the operating system still knows a peer: not after a reset, also if the connection had ended in order before it. Unlike
 * `Socket.remoteAddress`, not cached.
 */
export const hasPeer = (socket: Socket): boolean => handleOf(socket)?.getpeername({}) === 0

/** Pauses the connection at once. `Socket.pause` alone stops it only after a further chunk of 64 kB, which the socket then buffers. */
export const pauseNow = (socket: Socket): void => {
  socket.pause()
  const handle = handleOf(socket)
  if (handle?.reading !== true) return
  // Node starts reading again on `resume` only where this is false.
  handle.reading = false
  handle.readStop()
}
