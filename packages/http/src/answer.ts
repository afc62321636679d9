/**
 * Writing answers: the reader's pace is kept, and an answer that can't be brought whole never looks complete.
 *
 * Before the first byte a failure becomes an error answer. After it, an event stream ends in an error event and
 * without `[DONE]`; any other body ends in a broken connection, which HTTP clients report as such.
 */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { AnswerFailure, unknown, type Answer, type Failure, type Finding } from '@finchpitch/core'
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

const isEventStream = (answer: Answer): boolean =>
  (answer.headers['content-type'] ?? '').startsWith('text/event-stream')

const failureOf = (error: unknown): Failure =>
  error instanceof AnswerFailure ? error.failure : unknown('internal', { detail: (error as Error).message })

/** Waits until the client has taken what was written; false when it has gone. */
const drained = async (response: ServerResponse): Promise<boolean> => {
  if (response.destroyed) return false
  const gone = new AbortController()
  const leave = (): void => gone.abort()
  response.once('close', leave)
  try {
    await once(response, 'drain', { signal: gone.signal })
    return true
  } catch {
    return false
  } finally {
    response.off('close', leave)
  }
}

export type Delivery = { kind: 'whole', bytes: number } | { kind: 'failed', failure: Failure } | { kind: 'hung_up' }

export const sendAnswer = async (response: ServerResponse, answer: Answer, requestId: string): Promise<Delivery> => {
  let bytes = 0
  const start = (): void => {
    if (response.headersSent) return
    response.writeHead(answer.status, { ...answer.headers, [outcomeHeader]: 'ran', [requestIdHeader]: requestId })
  }
  try {
    if (isEventStream(answer)) {
      start()
      response.flushHeaders()
    }
    for await (const chunk of answer.body) {
      if (response.destroyed) return { kind: 'hung_up' }
      start()
      bytes += chunk.length
      if (!response.write(chunk) && !await drained(response)) return { kind: 'hung_up' }
    }
    start()
    response.end()
    return { kind: 'whole', bytes }
  } catch (error) {
    const failure = failureOf(error)
    endBroken(response, answer, failure, requestId)
    return { kind: 'failed', failure }
  }
}

const endBroken = (response: ServerResponse, answer: Answer, failure: Failure, requestId: string): void => {
  if (!response.headersSent) return sendFailure(response, failure, requestId)
  if (isEventStream(answer)) response.end(`event: error\ndata: ${JSON.stringify(errorBody(failure, requestId))}\n\n`)
  else response.destroy()
}
