/**
 * What `Socket` does not offer about its connection and `_handle`, an internal of Node, does. Where a Node version lacks it, peers that
 * stall are not found and a paused connection reads a further chunk ahead; nothing else changes.
 */
import type { Socket } from 'node:net'

interface SocketHandle {
  bytesWritten: number
  writeQueueSize: number
  reading: boolean
  readStop: () => void
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

/** Pauses the connection at once. `Socket.pause` alone stops it only after a further chunk of 64 kB, which the socket then buffers. */
export const pauseNow = (socket: Socket): void => {
  socket.pause()
  const handle = handleOf(socket)
  if (handle?.reading !== true) return
  // Node starts reading again on `resume` only where this is false.
  handle.reading = false
  handle.readStop()
}
