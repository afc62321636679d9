/**
 * Finds the event boundaries of a stream of server-sent events, and splits it there.
 *
 * A stream that ends within an event was broken off, also if its server ended the response properly. A stream that may be resumed
 * at another server is forwarded in complete events only, so that the two parts join without a truncated event between them.
 */
import type { IncomingMessage } from 'node:http'

/** An event holds some tokens of text, far less than this. Each stream may keep one that is not complete. */
export const maxEventBytes = 256 * 1024

const newline = 0x0a
const carriageReturn = 0x0d
const colon = 0x3a
const eventStreamType = /^text\/event-stream\b/i

export const isEventStream = ({ headers }: IncomingMessage): boolean => eventStreamType.test(headers['content-type'] ?? '')

/**
 * Tracks how much of a stream belongs to an event that is not complete yet. Lines end with LF, CR or CR LF, and events with an empty line.
 * Comments outside of an event belong to none.
 */
export class EventBoundary {
  #partialBytes = 0
  #lineIsEmpty = true
  #lineIsComment = false
  /** The current event has a line that is not a comment. */
  #hasFields = false
  #hasEvents = false
  /** The last byte ended a line, and a following LF would belong to it. */
  #afterCarriageReturn = false

  /** Bytes since the last complete event. */
  get partialBytes (): number {
    return this.#partialBytes
  }

  /** Whether there was a complete event. */
  get hasEvents (): boolean {
    return this.#hasEvents
  }

  /** Returns how many bytes of the next chunk end a complete event; 0 if it completes none. */
  scan (chunk: Buffer): number {
    let end = 0
    for (let at = 0; at < chunk.length; at++) {
      const byte = chunk[at] ?? 0
      if (!this.#lineIsEmpty && byte !== newline && byte !== carriageReturn) continue
      this.#read(byte)
      if (this.#lineIsEmpty && !this.#hasFields) end = at + 1
    }
    this.#partialBytes = end > 0 ? chunk.length - end : this.#partialBytes + chunk.length
    return end
  }

  /** The partial event is dropped. */
  reset (): void {
    this.#partialBytes = 0
    this.#lineIsEmpty = true
    this.#hasFields = false
    this.#afterCarriageReturn = false
  }

  #read (byte: number): void {
    const completesLineEnd = byte === newline && this.#afterCarriageReturn
    this.#afterCarriageReturn = byte === carriageReturn
    if (completesLineEnd) return
    if (byte === newline || byte === carriageReturn) return this.#endLine()
    if (this.#lineIsEmpty) this.#lineIsComment = byte === colon
    this.#lineIsEmpty = false
  }

  #endLine (): void {
    if (this.#lineIsEmpty) {
      this.#hasEvents ||= this.#hasFields
      this.#hasFields = false
    } else if (!this.#lineIsComment) this.#hasFields = true
    this.#lineIsEmpty = true
  }
}

/** Why a stream that has ended is not whole; `undefined` if it may be. `mayBeEmpty`: its server said that it is, or none may follow. */
export const truncationOf = ({ partialBytes, hasEvents }: EventBoundary, mayBeEmpty: boolean): string | undefined => {
  if (partialBytes > 0) return 'ended within an event'
  return hasEvents || mayBeEmpty ? undefined : 'ended without an event'
}

export class EventFramer {
  readonly boundary = new EventBoundary()
  /** Chunks of an incomplete event, joined once it is complete. */
  #partial: Buffer[] = []
  #lastId: string | undefined

  /** Id of the last complete event. */
  get lastEventId (): string | undefined {
    return this.#lastId
  }

  /** Buffers a chunk and returns the bytes of all events that it completes. */
  push (chunk: Buffer): Buffer {
    const end = this.boundary.scan(chunk)
    if (end === 0) {
      this.#partial.push(chunk)
      return Buffer.alloc(0)
    }
    const complete = Buffer.concat([...this.#partial, chunk.subarray(0, end)])
    this.#partial = end < chunk.length ? [chunk.subarray(end)] : []
    this.#lastId = lastEventIdIn(complete) ?? this.#lastId
    return complete
  }

  /** Discards a partial event before the stream is resumed at another server. */
  discardPartial (): void {
    this.#partial = []
    this.boundary.reset()
  }
}

/** A byte order mark may precede the first line of a stream. */
const idLines = /(?:^|[\r\n])(?:\xef\xbb\xbf)?id: ?([^\r\n]*)/g

const lastEventIdIn = (events: Buffer): string | undefined => [...events.toString('latin1').matchAll(idLines)].at(-1)?.[1]
