/**
 * Refuses a request for which there is no memory, without keeping more of it than its response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Log } from '@finchpitch/core'
import type { HeaderNames } from '../../ports.js'

const retryAfterMs = 1000

/** The value of a header. Looked up in the list, as the parsed headers would take as much memory again. */
const headerOf = ({ rawHeaders }: IncomingMessage, name: string): string | undefined => {
  const index = rawHeaders.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === name)
  return index < 0 ? undefined : rawHeaders[index + 1]
}

/** The request has not run. */
export const refuseForMemory = (request: IncomingMessage, response: ServerResponse, { headerNames, log }: { headerNames: HeaderNames, log: Log }): void => {
  const { socket } = request
  // The rest of a batch whose first request has closed the connection.
  if (socket.destroyed) return
  log.warn('request.refused', { request: headerOf(request, headerNames.requestId), reason: 'no_memory' })
  // Behind other responses it would keep the request in memory until they are written.
  if (response.socket === null) {
    socket.destroy()
    return
  }
  // Unread bytes would precede the next request on this connection.
  request.resume()
  const body = Buffer.from(JSON.stringify({ error: 'not run: no_memory' }))
  response.writeHead(503, { 'Content-Type': 'application/json', 'Content-Length': body.length, [headerNames.retryAfter]: String(retryAfterMs / 1000) }).end(body)
}
