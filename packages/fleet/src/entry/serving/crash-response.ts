/**
 * Ends the response of a request whose handling threw. Without an answer, its caller could not tell the fault from a lost connection, and
 * requests behind it on the same connection would get no answer either.
 */
import type { ServerResponse } from 'node:http'

const internalError = 500

export const answerAfterCrash = (response: ServerResponse): void => {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const body = Buffer.from(JSON.stringify({ error: 'internal error; the request may have run' }))
  response.writeHead(internalError, { 'Content-Type': 'application/json', 'Content-Length': body.length }).end(body)
}
