/**
 * Writes to a file descriptor without blocking a thread, whoever reads at the other end.
 *
 * A write to a pipe, socket or terminal that nobody reads blocks its thread, also one of the runtime's pool, and the runtime doesn't
 * exit before the threads of its pool are done. Sockets and pipes are therefore written from the event loop, and terminals through a
 * file description in non-blocking mode. Only files are written by the pool.
 */
import { close, constants, fstatSync, openSync, write, type Stats } from 'node:fs'
import { Socket } from 'node:net'
import { isatty } from 'node:tty'

const retryIntervalMs = 20

/** Called once the bytes are written, or lost because the descriptor failed. */
type Done = () => void

/** A file description of its own in non-blocking mode: the mode of a shared one would change for the other processes too. */
const reopen = (descriptor: number): number | undefined => {
  try {
    return openSync(`/proc/self/fd/${descriptor}`, constants.O_WRONLY | constants.O_NONBLOCK | constants.O_NOCTTY)
  } catch {
    return undefined
  }
}

const writeFromPool = (descriptor: number, bytes: Buffer, done: Done): void => {
  write(descriptor, bytes, (error, written) => {
    if (error?.code === 'EAGAIN') return setTimeout(() => writeFromPool(descriptor, bytes, done), retryIntervalMs)
    if (error === null && written < bytes.length) return writeFromPool(descriptor, bytes.subarray(written), done)
    done()
  })
}

/** Undefined for a type that the runtime can't poll, such as a datagram socket. */
const openSocket = (descriptor: number): Socket | undefined => {
  try {
    return new Socket({ fd: descriptor, readable: false, writable: true })
  } catch {
    return undefined
  }
}

/**
 * Opens a socket for each write, since its construction sets the non-blocking mode, which another process that shares the file
 * description resets when it exits. Destroying the socket doesn't close the descriptor of a standard stream.
 */
const writeFromEventLoop = (descriptor: number, bytes: Buffer, done: Done): void => {
  const socket = openSocket(descriptor)
  if (socket === undefined) return writeFromPool(descriptor, bytes, done)
  // The callback of the write reports the error as well.
  socket.on('error', () => {})
  socket.write(bytes, () => {
    socket.destroy()
    done()
  })
}

type Kind = 'pipe' | 'socket' | 'terminal' | 'file'

const writers: Record<Kind, (descriptor: number, bytes: Buffer, done: Done) => void> = {
  pipe: (descriptor, bytes, done) => writeFromEventLoop(reopen(descriptor) ?? descriptor, bytes, done),
  socket: writeFromEventLoop,
  terminal: (descriptor, bytes, done) => {
    const own = reopen(descriptor)
    writeFromPool(own ?? descriptor, bytes, () => {
      if (own !== undefined) close(own)
      done()
    })
  },
  file: writeFromPool
}

const statsOf = (descriptor: number): Stats | undefined => {
  try {
    return fstatSync(descriptor)
  } catch {
    return undefined
  }
}

const kindOf = (descriptor: number): Kind => {
  const stats = statsOf(descriptor)
  if (stats?.isFIFO() === true) return 'pipe'
  if (stats?.isSocket() === true) return 'socket'
  return isatty(descriptor) ? 'terminal' : 'file'
}

export class OutputDescriptor {
  readonly #kind: Kind

  constructor (private readonly descriptor: number) {
    this.#kind = kindOf(descriptor)
  }

  /** One write at a time: the next one is for after `done`. */
  write (bytes: Buffer, done: Done): void {
    writers[this.#kind](this.descriptor, bytes, done)
  }
}
