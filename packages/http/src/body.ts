/**
 * Reads request bodies up to a size limit.
 */
import type { IncomingMessage } from 'node:http'
import { notRun, type Failure } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'

export const maxBodyBytes = 2 * 1024 * 1024

export const readBody = async (request: IncomingMessage, limit = maxBodyBytes): Promise<Result<Buffer, Failure>> => {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length
      if (size > limit) return err(notRun('body_too_large', { detail: `The limit is ${limit} bytes.` }))
      chunks.push(chunk as Buffer)
    }
  } catch {
    return err(notRun('invalid_body', { detail: 'The body was cut.' }))
  }
  return ok(Buffer.concat(chunks))
}
