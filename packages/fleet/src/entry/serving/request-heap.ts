/**
 * Bounds the heap that requests in progress hold, above all by their heads.
 *
 * The runtime ends a process whose heap exceeds its limit. The strings of a head live as long as its request, and many small headers
 * take several times the bytes that arrived. Each request reserves what it is estimated to hold, from its head's arrival to the end of
 * its response, so that requests that arrive at one moment can't all find room.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { getHeapStatistics } from 'node:v8'

/** The rest is for facts, connections whose heads are incomplete, and garbage. */
const heapShare = 0.35
/** Of a request without headers, with its response, its timers and the request to its server. */
const requestBytes = 8192
/** Of a header with short name and value: its strings, the name in lower case, and entries of the lists that hold them. */
const headerBytes = 96
/** Each character is kept in the request and in the head sent to its server. */
const characterBytes = 2

/** Estimated bytes of heap that a request holds while it is in progress. */
const heapBytesOf = ({ url = '', rawHeaders }: IncomingMessage): number => {
  let characters = url.length
  for (const text of rawHeaders) characters += text.length
  return requestBytes + rawHeaders.length / 2 * headerBytes + characters * characterBytes
}

export class RequestHeap {
  #reservedBytes = 0

  constructor (readonly maxBytes = getHeapStatistics().heap_size_limit * heapShare) {}

  get reservedBytes (): number {
    return this.#reservedBytes
  }

  /** Reserves what the request holds until `release`, and `unreadBytes` of its body. Returns `undefined` if there is no room. */
  reserve (request: IncomingMessage, unreadBytes = 0): HeapReservation | undefined {
    const bytes = heapBytesOf(request) + unreadBytes
    if (this.#reservedBytes + bytes > this.maxBytes) return undefined
    this.#reservedBytes += bytes
    return new HeapReservation(() => { this.#reservedBytes -= bytes })
  }
}

export class HeapReservation {
  #released = false

  constructor (private readonly free: () => void) {}

  /** The request has been served. A response behind others on its connection still holds it until they are written. */
  releaseAfter (response: ServerResponse): void {
    const { socket } = response.req
    if (response.writableFinished || response.destroyed || socket.destroyed) return this.#release()
    const release = (): void => {
      socket.off('close', release)
      this.#release()
    }
    // One listener for each pipelined request.
    socket.setMaxListeners(0)
    socket.once('close', release)
    response.once('finish', release)
  }

  #release (): void {
    if (!this.#released) this.free()
    this.#released = true
  }
}
