/**
 * Writes HTTP responses with backpressure, and so that a truncated response is never taken for a complete one.
 *
 * A failure before the first byte is sent as an error response. After it, an event stream ends with an error event and
 * without `[DONE]`; with any other body the connection is closed early, which HTTP clients report as an error.
 */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { ResponseError, outcomeUnknown, type HttpResponse, type Failure, type Finding } from '@finchpitch/core'
import { errorBody, errorStatus, retryAfterHeader } from './error-body.js'

export const outcomeHeader = 'finchpitch-outcome'
export const requestIdHeader = 'finchpitch-request-id'

export const sendFailure = (response: ServerResponse, failure: Failure, requestId: string, findings: Finding[] = []): void => {
  if (response.headersSent || response.destroyed) return
  const body = JSON.stringify(errorBody(failure, requestId, findings))
  response.writeHead(errorStatus(failure), {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [outcomeHeader]: failure.outcome,
    [requestIdHeader]: requestId,
    ...retryAfterHeader(failure)
  })
  response.end(body)
}

const isEventStream = (answer: HttpResponse): boolean =>
  (answer.headers['content-type'] ?? '').startsWith('text/event-stream')

const failureOf = (error: unknown): Failure =>
  error instanceof ResponseError ? error.failure : outcomeUnknown('internal', { detail: (error as Error).message })

/** Waits until the write buffer has drained; false if the client closed the connection. */
const waitForDrain = async (response: ServerResponse): Promise<boolean> => {
  if (response.destroyed) return false
  const closed = new AbortController()
  const onClose = (): void => closed.abort()
  response.once('close', onClose)
  try {
    await once(response, 'drain', { signal: closed.signal })
    return true
  } catch {
    return false
  } finally {
    response.off('close', onClose)
  }
}

export type SendOutcome = { kind: 'whole', bytes: number } | { kind: 'failed', failure: Failure } | { kind: 'hung_up' }

export const sendResponse = async (response: ServerResponse, answer: HttpResponse, requestId: string): Promise<SendOutcome> => {
  let bytes = 0
  const writeHead = (): void => {
    if (response.headersSent) return
    response.writeHead(answer.status, { ...answer.headers, [outcomeHeader]: 'ran', [requestIdHeader]: requestId })
  }
  try {
    if (isEventStream(answer)) {
      writeHead()
      response.flushHeaders()
    }
    for await (const chunk of answer.body) {
      if (response.destroyed) return { kind: 'hung_up' }
      writeHead()
      bytes += chunk.length
      if (!response.write(chunk) && !await waitForDrain(response)) return { kind: 'hung_up' }
    }
    writeHead()
    response.end()
    return { kind: 'whole', bytes }
  } catch (error) {
    const failure = failureOf(error)
    endTruncated(response, answer, failure, requestId)
    return { kind: 'failed', failure }
  }
}

const endTruncated = (response: ServerResponse, answer: HttpResponse, failure: Failure, requestId: string): void => {
  if (!response.headersSent) return sendFailure(response, failure, requestId)
  if (isEventStream(answer)) response.end(`event: error\ndata: ${JSON.stringify(errorBody(failure, requestId))}\n\n`)
  else response.destroy()
}
