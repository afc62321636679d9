/**
 * Reads bodies of responses whole, up to a size and for a limited time. A faulty server may send bytes without end.
 */
import { GatheredBytes } from './gathered-bytes.js'

export interface BodyBounds {
  maxBytes: number
  /** From the head of the response to the end of its body. */
  maxMs: number
}

/** A response body that is being read. */
export interface ReadableBody extends AsyncIterable<Uint8Array> {
  /** Closes the connection. */
  destroy: (error: Error) => unknown
}

/** Resolves to the text of a body. Closes the connection and rejects if it exceeds a bound. */
export const readText = async (body: ReadableBody, bounds: BodyBounds): Promise<string> => {
  const gathered = new GatheredBytes()
  await readInto(gathered, body, bounds)
  return gathered.bytes.toString()
}

/** Like `readText`, but resolves to the start of a body that exceeds a bound or is broken off. */
export const readTextStart = async (body: ReadableBody, bounds: BodyBounds): Promise<string> => {
  const gathered = new GatheredBytes()
  await readInto(gathered, body, bounds).catch(() => {})
  return gathered.bytes.toString()
}

const readInto = async (gathered: GatheredBytes, body: ReadableBody, { maxBytes, maxMs }: BodyBounds): Promise<void> => {
  const timer = setTimeout(() => body.destroy(new Error(`body incomplete after ${maxMs} ms`)), maxMs)
  try {
    for await (const chunk of body) {
      if (gathered.length + chunk.length > maxBytes) throw new Error(`body of more than ${maxBytes} bytes`)
      gathered.add(chunk)
    }
  } finally {
    clearTimeout(timer)
  }
}
