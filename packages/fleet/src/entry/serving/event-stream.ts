/**
 * Splits a stream of server-sent events at event boundaries and keeps the id of the last complete event.
 *
 * A stream that may be resumed at another server is forwarded in complete events only, so that the two parts join
 * without a truncated event between them.
 */

const eventTerminator = Buffer.from('\n\n')

export class EventFramer {
  #partial: Buffer = Buffer.alloc(0)
  #lastId: string | undefined

  /** Id of the last complete event. */
  get lastEventId (): string | undefined {
    return this.#lastId
  }

  /** Buffered bytes of an incomplete event. */
  get partial (): Buffer {
    return this.#partial
  }

  /** Buffers a chunk and returns the bytes of all events that it completes. */
  push (chunk: Buffer): Buffer {
    const buffered = this.#partial.length === 0 ? chunk : Buffer.concat([this.#partial, chunk])
    const end = buffered.lastIndexOf(eventTerminator)
    if (end < 0) {
      this.#partial = buffered
      return Buffer.alloc(0)
    }
    const complete = buffered.subarray(0, end + eventTerminator.length)
    this.#partial = buffered.subarray(end + eventTerminator.length)
    this.#lastId = lastEventIdIn(complete) ?? this.#lastId
    return complete
  }

  /** Discards a partial event before the stream is resumed at another server. */
  discardPartial (): void {
    this.#partial = Buffer.alloc(0)
  }
}

const lastEventIdIn = (events: Buffer): string | undefined => {
  const text = events.toString('latin1')
  const at = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1)
  if (at < 0) return undefined
  const line = text.slice(at).trimStart()
  return line.slice('id:'.length, line.indexOf('\n')).trim()
}
