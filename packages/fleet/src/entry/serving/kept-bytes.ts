/**
 * Counts the bytes that an entry keeps for callers and servers, makes new requests with a body wait while it keeps too many, and cuts off
 * responses while too many bytes of these are kept.
 *
 * Room for a body is reserved before it is read. A request that waits is not read, so its connection fills up and its caller stops
 * sending. What servers have not read of a request counts once, as its body.
 */
import { silentLog, type Log } from '@finchpitch/core'
import { admissibleBodies, bodyStallMs, keptBytesLimit, mayRead, mayReadResponse, mayWait, smallBodyBytes, type BodyRoom } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import { ProcessMemory, toMb, type KeptSums } from './process-memory.js'
import { StallMonitor } from './stall-monitor.js'

const stallCheckMs = 100
const refusalLogMs = 1000

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

/** The connection on which a server sends a response. */
export interface ResponseSource {
  /** Closes the connection. */
  cut: () => void
  /** Stops reading. */
  pause: () => void
  resume: () => void
}

interface BufferedResponse {
  bytes: number
  paused: boolean
  source: ResponseSource
}

/** Room for the body of one request, from before it is read until no attempt needs it. */
export class BodyReservation {
  #arrived = 0
  #progressAt = nowMs()

  constructor (private readonly keptBytes: KeptBytes, private bytes: number) {}

  get reserved (): number {
    return Math.max(this.bytes, this.#arrived)
  }

  get arrived (): number {
    return this.#arrived
  }

  /** More has arrived than room was reserved for. */
  get isExceeded (): boolean {
    return this.#arrived > this.bytes
  }

  add (bytes: number): void {
    this.#arrived += bytes
    this.#progressAt = nowMs()
  }

  /** Waits for room for a body of `size` bytes in all. Resolves to false if there is none within `ms`. */
  async extend (size: number, ms: number): Promise<boolean> {
    if (!await this.keptBytes.waitForRoom(size - this.reserved, ms, true)) return false
    this.bytes = size
    this.#progressAt = nowMs()
    return true
  }

  /** Gives up the room for what has not arrived. */
  shrink (): void {
    this.bytes = this.#arrived
  }

  isStalled (now: number): boolean {
    return this.bytes > this.#arrived && now - this.#progressAt >= bodyStallMs
  }
}

interface WaitingBody {
  size: number
  resolve: (mayRead: boolean) => void
}

export class KeptBytes {
  readonly monitor = new StallMonitor(() => this.#useRoom())
  readonly memory: ProcessMemory
  #responses = 0
  /** In the order in which they are admitted. */
  #waiting: WaitingBody[] = []
  readonly #reservations = new Set<BodyReservation>()
  readonly #buffered = new Set<BufferedResponse>()
  #stallTimer: ReturnType<typeof setInterval> | undefined
  #refused = 0
  #refusalLoggedAt = -Infinity

  /** `memoryMb`: the memory limit of the process. */
  constructor (private readonly memoryMb: () => number | undefined, private readonly log: Log = silentLog) {
    this.memory = new ProcessMemory({ memoryMb, limit: () => this.#limit, kept: () => this.#sums, log })
  }

  of (kind: KeptKind): number {
    if (kind === 'unread') return this.monitor.unreadBytes
    return kind === 'responses' ? this.#responses : this.#sumOf(({ arrived }) => arrived)
  }

  /** Bytes of request bodies that have been read or may be read. */
  get reserved (): number {
    return this.#sumOf(({ reserved }) => reserved)
  }

  get total (): number {
    return this.reserved + this.#responses + this.monitor.unreadBytes
  }

  releaseResponse (bytes: number): void {
    this.#responses -= bytes
    this.#noteReleased(bytes)
  }

  releaseBody (reservation: BodyReservation): void {
    if (this.#reservations.delete(reservation)) this.#noteReleased(reservation.arrived)
  }

  /** Whether a response of `size` bytes can be kept at all. */
  fits (size: number): boolean {
    return size <= this.#limit
  }

  /**
   * Counts a response that is read into memory. While too much is kept, servers wait, except for the one whose response began first. If
   * all responses together exceed the limit, the largest of those that are still being read is cut off, as a server may send bytes
   * without end.
   */
  startResponse (source: ResponseSource): ResponseBuffer {
    const buffered: BufferedResponse = { bytes: 0, paused: false, source }
    this.#buffered.add(buffered)
    return {
      add: bytes => {
        buffered.bytes += bytes
        this.#responses += bytes
        this.memory.notePassed(bytes)
        if (this.#responses > this.#limit) this.#cutLargest()
        if (this.#buffered.has(buffered) && !this.#mayReadOn(buffered)) this.#pause(buffered)
      },
      complete: () => {
        this.#buffered.delete(buffered)
        buffered.bytes = 0
        this.#resumePaused()
      },
      discard: () => {
        this.#buffered.delete(buffered)
        this.releaseResponse(buffered.bytes)
        buffered.bytes = 0
      }
    }
  }

  #cutLargest (): void {
    const [largest] = [...this.#buffered].sort((a, b) => b.bytes - a.bytes)
    if (largest === undefined) return
    this.#buffered.delete(largest)
    largest.source.cut()
  }

  #mayReadOn (buffered: BufferedResponse): boolean {
    const [oldest] = this.#buffered
    const unread = this.monitor.unreadBytes
    return mayReadResponse(buffered.bytes, { responses: this.#responses + unread, kept: this.reserved + this.#responses + unread, limit: this.#limit }, buffered === oldest)
  }

  #pause (buffered: BufferedResponse): void {
    buffered.paused = true
    buffered.source.pause()
  }

  #resumePaused (): void {
    for (const buffered of this.#buffered) {
      if (!buffered.paused || !this.#mayReadOn(buffered)) continue
      buffered.paused = false
      buffered.source.resume()
    }
  }

  /**
   * Reserves room for a body of `size` bytes, or of unknown size. Resolves to `undefined` if there is none within `ms`, and at once if none
   * can be expected.
   */
  async reserveBody (size: number | undefined, ms: number): Promise<BodyReservation | undefined> {
    const reservation = new BodyReservation(this, size ?? smallBodyBytes)
    if (mayRead(reservation.reserved, this.#room, this.#waiting.length)) this.#reservations.add(reservation)
    else if (!await this.waitForRoom(reservation.reserved, ms, false, reservation)) return undefined
    return reservation
  }

  /** `first`: goes before all others. `reservation`: counted from the moment at which there is room. */
  waitForRoom (size: number, ms: number, first: boolean, reservation?: BodyReservation): Promise<boolean> {
    if (!first && !mayWait(size, this.#waiting.map(each => each.size), this.#limit)) return Promise.resolve(this.#refuse(size))
    return new Promise(resolve => {
      const waiting = {
        size,
        resolve: (mayRead: boolean): void => {
          clearTimeout(timer)
          this.#waiting = this.#waiting.filter(each => each !== waiting)
          if (mayRead && reservation !== undefined) this.#reservations.add(reservation)
          resolve(mayRead || this.#refuse(size))
        }
      }
      const timer = setTimeout(() => waiting.resolve(false), ms)
      if (first) this.#waiting.unshift(waiting)
      else this.#waiting.push(waiting)
      this.#stallTimer ??= setInterval(() => this.#reclaimStalled(), stallCheckMs)
      if (first) this.#admitWaiting()
    })
  }

  /** A caller that states a size and sends nothing must not block others. */
  #reclaimStalled (): void {
    if (this.#waiting.length === 0) {
      clearInterval(this.#stallTimer)
      this.#stallTimer = undefined
      return
    }
    const now = nowMs()
    for (const reservation of this.#reservations) if (reservation.isStalled(now)) reservation.shrink()
    this.#admitWaiting()
  }

  get #limit (): number {
    return keptBytesLimit(this.memoryMb())
  }

  get #room (): BodyRoom {
    return { kept: this.total, limit: this.#limit, nearLimit: this.memory.nearLimit }
  }

  get #sums (): KeptSums {
    return { request_bodies: this.of('request_bodies'), responses: this.#responses, unread: this.monitor.unreadBytes, reserved: this.reserved, waiting: this.#waiting.length }
  }

  #sumOf (read: (reservation: BodyReservation) => number): number {
    let sum = 0
    for (const reservation of this.#reservations) sum += read(reservation)
    return sum
  }

  #noteReleased (bytes: number): void {
    this.memory.notePassed(bytes)
    this.#useRoom()
  }

  #useRoom (): void {
    this.#admitWaiting()
    this.#resumePaused()
  }

  #admitWaiting (): void {
    if (this.#waiting.length === 0) return
    const count = admissibleBodies(this.#waiting.map(({ size }) => size), this.#room)
    for (const each of this.#waiting.slice(0, count)) each.resolve(true)
  }

  #refuse (size: number): false {
    this.#refused += 1
    const now = nowMs()
    if (now - this.#refusalLoggedAt >= refusalLogMs) {
      this.log.warn('body.refused', { size, refused: this.#refused, limit: this.#limit, nearLimit: this.memory.nearLimit, residentMb: toMb(this.memory.residentBytes), ...this.#sums })
      this.#refusalLoggedAt = now
      this.#refused = 0
    }
    return false
  }
}
