/**
 * The codec: frames to bytes and back.
 *
 * The decoder takes any cut of the byte stream. Its memory is bounded by the frame limit, and a length over the
 * limit is refused from its four bytes alone.
 */
import { Decoder, Encoder } from 'cbor-x'
import { err, ok, type Result } from 'neverthrow'
import { Frame } from './frame.js'
import { surelyFrame } from './quick-check.js'

export const maxFrameBytes = 4 * 1024 * 1024
const headerBytes = 4

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

export const frameFaultTexts = {
  frame_too_large: 'a frame is over the limit',
  frame_not_cbor: 'a frame is not CBOR',
  frame_not_valid: 'a frame does not fit the schema'
} as const
export type FrameFaultCode = keyof typeof frameFaultTexts

export interface FrameFault {
  code: FrameFaultCode
  /** The byte of the stream at which the frame began, and the field where one is at fault. */
  path: string
  message: string
}

export const encode = (frame: Frame): Buffer => {
  const body = encoder.encode(frame)
  const bytes = Buffer.allocUnsafe(headerBytes + body.length)
  bytes.writeUInt32BE(body.length)
  bytes.set(body, headerBytes)
  return bytes
}

const fault = (code: FrameFaultCode, offset: number, detail = ''): FrameFault =>
  ({ code, path: detail === '' ? `byte ${offset}` : `byte ${offset}, ${detail}`, message: frameFaultTexts[code] })

/** Takes the pieces of one byte stream in order and gives the frames that they complete. */
export class FrameReader {
  #pieces: Buffer[] = []
  #held = 0
  #offset = 0

  /** Bytes of a frame whose rest has not come; above 0 at a stream's end means that it was cut. */
  get held (): number {
    return this.#held
  }

  read (piece: Uint8Array): Result<Frame[], FrameFault> {
    this.#pieces.push(Buffer.from(piece.buffer, piece.byteOffset, piece.byteLength))
    this.#held += piece.byteLength
    const frames: Frame[] = []
    while (this.#held >= headerBytes) {
      const length = this.#gather(headerBytes).readUInt32BE()
      if (length > maxFrameBytes) return err(fault('frame_too_large', this.#offset, `${length} bytes`))
      if (this.#held < headerBytes + length) break
      const frame = this.#decode(this.#take(headerBytes + length).subarray(headerBytes))
      if (frame.isErr()) return err(frame.error)
      frames.push(frame.value)
      this.#offset += headerBytes + length
    }
    return ok(frames)
  }

  #decode (body: Buffer): Result<Frame, FrameFault> {
    let value: unknown
    try {
      value = decoder.decode(body)
    } catch {
      return err(fault('frame_not_cbor', this.#offset))
    }
    if (surelyFrame(value)) return ok(value)
    const parsed = Frame.safeParse(value)
    if (parsed.success) return ok(parsed.data)
    const issue = parsed.error.issues[0]
    return err(fault('frame_not_valid', this.#offset, issue === undefined ? '' : `${issue.path.join('.')}: ${issue.message}`))
  }

  /** The first `size` bytes in one buffer, still held. Joins pieces only when the first is too short. */
  #gather (size: number): Buffer {
    const first = this.#pieces[0]
    if (first !== undefined && first.length >= size) return first
    const joined = Buffer.concat(this.#pieces)
    this.#pieces = [joined]
    return joined
  }

  #take (size: number): Buffer {
    const joined = this.#gather(size)
    const rest = joined.subarray(size)
    this.#pieces[0] = rest
    if (rest.length === 0) this.#pieces.shift()
    this.#held -= size
    return joined.subarray(0, size)
  }
}
