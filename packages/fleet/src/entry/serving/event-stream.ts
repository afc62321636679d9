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
const eventTerminator = Buffer.from('\n\n')
const eventStreamType = /^text\/event-stream\b/i

export const isEventStream = ({ headers }: IncomingMessage): boolean => eventStreamType.test(headers['content-type'] ?? '')

/** Tracks how much of a stream belongs to an event that is not complete yet. */
export class EventBoundary {
  #partialBytes = 0
  #endsWithNewline = false

  /** Bytes since the last complete event. */
  get partialBytes (): number {
    return this.#partialBytes
  }

  /** Returns how many bytes of the next chunk end a complete event; 0 if it completes none. */
  scan (chunk: Buffer): number {
    const at = chunk.lastIndexOf(eventTerminator)
    const splitTerminator = this.#endsWithNewline && this.#partialBytes > 0 && chunk[0] === newline
    const end = at >= 0 ? at + eventTerminator.length : Number(splitTerminator)
    this.#partialBytes = end > 0 ? chunk.length - end : this.#partialBytes + chunk.length
    this.#endsWithNewline = chunk.at(-1) === newline
    return end
  }

  /** The partial event is dropped. */
  reset (): void {
    this.#partialBytes = 0
    this.#endsWithNewline = false
  }
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

const lastEventIdIn = (events: Buffer): string | undefined => {
  const text = events.toString('latin1')
  const at = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1)
  if (at < 0) return undefined
  const line = text.slice(at).trimStart()
  return line.slice('id:'.length, line.indexOf('\n')).trim()
}
