/**
 * Counts the bytes that an entry keeps for callers and servers, makes new requests with a body wait while it keeps too many, and cuts off
 * responses while too many bytes of these are kept.
 *
 * A request that waits is not read, so its connection fills up and its caller stops sending. Requests whose bodies are being read go
 * on. What servers have not read of a request counts once, as its body.
 */
import { keptBytesLimit, readableBodies } from '@finchpitch/decisions'
import { StallMonitor } from './stall-monitor.js'

/** Request bodies from arrival to the end of the request; responses that are buffered; what callers have not read yet. */
export type KeptKind = 'request_bodies' | 'responses' | 'unread'

/** A response of a server that is being read into memory. */
export interface ResponseBuffer {
  add: (bytes: number) => void
  /** All of it has been read. Its bytes stay counted until they are released. */
  complete: () => void
  /** It was broken off, and its bytes are dropped. */
  discard: () => void
}

interface BufferedResponse {
  bytes: number
  /** Closes the connection to the server. */
  cut: () => void
}

interface WaitingBody {
  /** Stated size; 0 if none is stated. */
  size: number
  resolve: (mayRead: boolean) => void
}

export class KeptBytes {
  readonly monitor = new StallMonitor(() => this.#admitWaiting())
  readonly #bytes = { request_bodies: 0, responses: 0 }
  readonly #waiting = new Set<WaitingBody>()
  readonly #buffered = new Set<BufferedResponse>()

  /** `memoryMb`: the memory limit of the process. */
  constructor (private readonly memoryMb: () => number | undefined) {}

  of (kind: KeptKind): number {
    return kind === 'unread' ? this.monitor.unreadBytes : this.#bytes[kind]
  }

  get total (): number {
    return this.#bytes.request_bodies + this.#bytes.responses + this.monitor.unreadBytes
  }

  add (kind: Exclude<KeptKind, 'unread'>, bytes: number): void {
    this.#bytes[kind] += bytes
  }

  release (kind: Exclude<KeptKind, 'unread'>, bytes: number): void {
    this.#bytes[kind] -= bytes
    if (this.#waiting.size > 0) this.#admitWaiting()
  }

  /**
   * Counts a response that is read into memory. If all responses together exceed the limit, the largest of those that are still being
   * read is cut off, as a server may send bytes without end.
   */
  startResponse (cut: () => void): ResponseBuffer {
    const buffered: BufferedResponse = { bytes: 0, cut }
    this.#buffered.add(buffered)
    return {
      add: bytes => {
        buffered.bytes += bytes
        this.add('responses', bytes)
        if (this.#bytes.responses > this.#limit) this.#cutLargest()
      },
      complete: () => {
        this.#buffered.delete(buffered)
        buffered.bytes = 0
      },
      discard: () => {
        this.#buffered.delete(buffered)
        this.release('responses', buffered.bytes)
        buffered.bytes = 0
      }
    }
  }

  #cutLargest (): void {
    const [largest] = [...this.#buffered].sort((a, b) => b.bytes - a.bytes)
    if (largest === undefined) return
    this.#buffered.delete(largest)
    largest.cut()
  }

  /** Whether a request body may be read now. */
  get hasRoom (): boolean {
    return this.#waiting.size === 0 && this.total < this.#limit
  }

  /** Waits for room for a body of `size` bytes. Resolves to false if there is none within `ms`. */
  waitForRoom (size: number, ms: number): Promise<boolean> {
    return new Promise(resolve => {
      const waiting = {
        size,
        resolve: (mayRead: boolean): void => {
          clearTimeout(timer)
          this.#waiting.delete(waiting)
          resolve(mayRead)
        }
      }
      const timer = setTimeout(() => waiting.resolve(false), ms)
      this.#waiting.add(waiting)
    })
  }

  get #limit (): number {
    return keptBytesLimit(this.memoryMb())
  }

  #admitWaiting (): void {
    if (this.#waiting.size === 0) return
    const waiting = [...this.#waiting]
    const count = readableBodies(waiting.map(({ size }) => size), this.total, this.#limit)
    for (const each of waiting.slice(0, count)) each.resolve(true)
  }
}
