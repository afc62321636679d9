/**
 * Event streams on their way through: cut at the ends of events, with the id of the last one.
 *
 * Only whole events are passed on where a stream may go on at another server, so that what is joined is whole.
 */

const eventEnd = Buffer.from('\n\n')

export class EventCutter {
  #rest: Buffer = Buffer.alloc(0)
  #lastId: string | undefined

  /** Id of the last whole event. */
  get lastId (): string | undefined {
    return this.#lastId
  }

  /** Bytes of an event whose end has not come. */
  get rest (): Buffer {
    return this.#rest
  }

  /** Takes bytes as they come and gives those of the events that they complete. */
  push (piece: Buffer): Buffer {
    const joined = this.#rest.length === 0 ? piece : Buffer.concat([this.#rest, piece])
    const end = joined.lastIndexOf(eventEnd)
    if (end < 0) {
      this.#rest = joined
      return Buffer.alloc(0)
    }
    const whole = joined.subarray(0, end + eventEnd.length)
    this.#rest = joined.subarray(end + eventEnd.length)
    this.#lastId = lastIdIn(whole) ?? this.#lastId
    return whole
  }

  /** Forgets a piece of an event, before the stream goes on elsewhere. */
  drop (): void {
    this.#rest = Buffer.alloc(0)
  }
}

const lastIdIn = (events: Buffer): string | undefined => {
  const text = events.toString('latin1')
  const at = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1)
  if (at < 0) return undefined
  const line = text.slice(at).trimStart()
  return line.slice('id:'.length, line.indexOf('\n')).trim()
}
