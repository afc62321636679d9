/**
 * Reads request bodies up to a size limit, and up to a limit of what all bodies being read hold together.
 */
import type { IncomingMessage } from 'node:http'
import { GatheredBytes, notRun, type Failure } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'

export const maxBodyBytes = 2 * 1024 * 1024

/** Of all bodies being read. Callers that send slowly would otherwise hold as much memory as they have connections. */
export const maxReadingBytes = 64 * 1024 * 1024

let readingBytes = 0

export const readBody = async (request: IncomingMessage, limit = maxBodyBytes): Promise<Result<Buffer, Failure>> => {
  const gathered = new GatheredBytes()
  let size = 0
  try {
    for await (const chunk of request) {
      const { length } = chunk as Buffer
      size += length
      readingBytes += length
      if (size > limit) return err(notRun('body_too_large', { detail: `The limit is ${limit} bytes.` }))
      if (readingBytes > maxReadingBytes) return err(notRun('overloaded', { detail: 'Too many bodies are being read.' }))
      gathered.add(chunk as Buffer)
    }
  } catch {
    return err(notRun('invalid_body', { detail: 'The body was cut.' }))
  } finally {
    readingBytes -= size
  }
  return ok(gathered.bytes)
}
