/**
 * Counts the bytes that an entry keeps for callers and servers, and makes new requests with a body wait while it keeps too many.
 *
 * A request that waits is not read, so its connection fills up and its caller stops sending. Requests whose bodies are being read go
 * on. What servers have not read of a request counts once, as its body.
 */
import { keptBytesLimit, readableBodies } from '@finchpitch/decisions'
import { StallMonitor } from './stall-monitor.js'

/** Request bodies from arrival to the end of the request; responses that are buffered; what callers have not read yet. */
export type KeptKind = 'request_bodies' | 'responses' | 'unread'

interface WaitingBody {
  /** Stated size; 0 if none is stated. */
  size: number
  resolve: (mayRead: boolean) => void
}

export class KeptBytes {
  readonly monitor = new StallMonitor(() => this.#admitWaiting())
  readonly #bytes = { request_bodies: 0, responses: 0 }
  readonly #waiting = new Set<WaitingBody>()

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
