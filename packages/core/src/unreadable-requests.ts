/**
 * Ends a connection on which a request can't be read: it is malformed, too large, or its head is late.
 *
 * Node answers such a request at once, unless the head of a response has been written. Behind another request that was read whole, this
 * would be taken for the answer to that one, which may be running, while a 408 states that it has not run. So that one is answered
 * before the connection closes.
 */
import { STATUS_CODES, type Server } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionTurns } from './connection-turns.js'

const badRequest = 400
/** By the code of the error; those that Node answers with. */
const statuses: Partial<Record<string, number>> = { HPE_HEADER_OVERFLOW: 431, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, ERR_HTTP_REQUEST_TIMEOUT: 408 }

export const endUnreadableRequests = (server: Server, turns: ConnectionTurns): void => {
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket
    // A caller that has ended its side has left, as elsewhere.
    if (socket.writable && !socket.readableEnded && turns.isRunning(socket)) return turns.endAfterCurrent(socket)
    if (socket.writable && !turns.hasBegunResponse(socket)) {
      const status = statuses[error.code ?? ''] ?? badRequest
      socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`)
    }
    socket.destroy()
  })
}
