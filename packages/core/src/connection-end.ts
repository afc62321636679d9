/**
 * Tells the end of a connection from a reset, also where the reset arrives together with the bytes before it.
 *
 * Where both arrive in the same poll, libuv reads the bytes and then reports the end of the connection, without the read that would
 * fail. It does not while reading is stopped. `_handle` is an internal of Node; in a version that lacks it, such a reset looks like
 * the end.
 */
import type { Socket } from 'node:net'

interface ReadHandle {
  reading: boolean
  readStart: () => void
  readStop: () => void
}

type ReadSocket = Socket & { _handle?: ReadHandle | null }

/** Reads the end of the connection in a poll of its own. Also applies to the bytes that are being handled when it is called. */
export const readEndApart = (socket: Socket): void => {
  stopUntilNextPoll(socket)
  const push = socket.push.bind(socket)
  // Called with all that is read, also while the connection is paused.
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null) stopUntilNextPoll(socket)
    return push(chunk, encoding)
  }
}

const stopUntilNextPoll = (socket: ReadSocket): void => {
  const handle = socket._handle
  if (handle?.reading !== true) return
  // `reading` stays true, so that Node doesn't start reading itself. It is false afterwards if Node has paused the connection.
  handle.readStop()
  setImmediate(() => { if (handle.reading && socket._handle === handle) handle.readStart() })
}
