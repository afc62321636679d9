/**
 * Encodes frames to bytes and decodes them from a byte stream.
 *
 * The decoder accepts the stream in chunks of any size. Its memory is bounded by the size limit of frames, since a frame above
 * the limit is rejected from its length prefix alone.
 */
import { Decoder, Encoder } from 'cbor-x'
import { err, ok, type Result } from 'neverthrow'
import { Frame } from './frame.js'
import { passesFastValidation } from './fast-validation.js'

export const maxFrameBytes = 4 * 1024 * 1024
const lengthPrefixBytes = 4

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

export const frameErrorMessages = {
  frame_too_large: 'frame exceeds the size limit',
  frame_not_cbor: 'frame is not valid CBOR',
  frame_not_valid: 'frame does not match the schema'
} as const
export type FrameErrorCode = keyof typeof frameErrorMessages

export interface FrameError {
  code: FrameErrorCode
  /** Offset of the frame in the stream and, if a field is invalid, the path of the field. */
  path: string
  message: string
}

export const encodeFrame = (frame: Frame): Buffer => {
  const body = encoder.encode(frame)
  const bytes = Buffer.allocUnsafe(lengthPrefixBytes + body.length)
  bytes.writeUInt32BE(body.length)
  bytes.set(body, lengthPrefixBytes)
  return bytes
}

const frameError = (code: FrameErrorCode, offset: number, detail = ''): FrameError =>
  ({ code, path: detail === '' ? `byte ${offset}` : `byte ${offset}, ${detail}`, message: frameErrorMessages[code] })

/** Incremental decoder for one byte stream. Each chunk returns the frames that it completes. */
export class FrameDecoder {
  #chunks: Buffer[] = []
  #buffered = 0
  #offset = 0

  /** Bytes buffered of an incomplete frame. If there are any at the end of the stream, the stream was truncated. */
  get held (): number {
    return this.#buffered
  }

  read (chunk: Uint8Array): Result<Frame[], FrameError> {
    this.#chunks.push(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength))
    this.#buffered += chunk.byteLength
    const frames: Frame[] = []
    while (this.#buffered >= lengthPrefixBytes) {
      const length = this.#peek(lengthPrefixBytes).readUInt32BE()
      if (length > maxFrameBytes) return err(frameError('frame_too_large', this.#offset, `${length} bytes`))
      if (this.#buffered < lengthPrefixBytes + length) break
      const frame = this.#decodeBody(this.#take(lengthPrefixBytes + length).subarray(lengthPrefixBytes))
      if (frame.isErr()) return err(frame.error)
      frames.push(frame.value)
      this.#offset += lengthPrefixBytes + length
    }
    return ok(frames)
  }

  #decodeBody (body: Buffer): Result<Frame, FrameError> {
    let value: unknown
    try {
      value = decoder.decode(body)
    } catch {
      return err(frameError('frame_not_cbor', this.#offset))
    }
    if (passesFastValidation(value)) return ok(value)
    const parsed = Frame.safeParse(value)
    if (parsed.success) return ok(parsed.data)
    const issue = parsed.error.issues[0]
    return err(frameError('frame_not_valid', this.#offset, issue === undefined ? '' : `${issue.path.join('.')}: ${issue.message}`))
  }

  /** Returns a buffer that starts with the next `size` bytes, without consuming them. Joins the chunks only if the first is too short. */
  #peek (size: number): Buffer {
    const first = this.#chunks[0]
    if (first !== undefined && first.length >= size) return first
    const joined = Buffer.concat(this.#chunks)
    this.#chunks = [joined]
    return joined
  }

  #take (size: number): Buffer {
    const joined = this.#peek(size)
    const rest = joined.subarray(size)
    this.#chunks[0] = rest
    if (rest.length === 0) this.#chunks.shift()
    this.#buffered -= size
    return joined.subarray(0, size)
  }
}
