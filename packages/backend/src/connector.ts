/**
 * Opens the connections of `undici` so that a reset is never taken for the end of a response without a length.
 *
 * `undici` takes `ECONNRESET` for that end, and throws outside of any request if a reader is slow at that moment. Its own code for
 * failed connections fails the request.
 */
import { readEndApart } from '@finchpitch/core'
import { buildConnector } from 'undici'

const resetCode = 'ECONNRESET'
const failedCode = 'UND_ERR_SOCKET'

export const createConnector = (timeoutMs: number): buildConnector.connector => {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connect(options, (...result) => {
    const [error, socket] = result
    if (error !== null) return callback(error, null)
    readEndApart(socket)
    // Before the listeners of `undici`, which are added by the callback.
    socket.on('error', (error: NodeJS.ErrnoException) => { if (error.code === resetCode) error.code = failedCode })
    callback(null, socket)
  })
}
