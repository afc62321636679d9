/**
 * A stand-in for a server of a plain service, as a process of its own. Unless `framed` is set, its long answers have no
 * length and end with their connection; those to paths that begin with `/short/` are small and have
 * one. With `unframedEvery`, only one long answer in so many lacks it.
 *
 * Options: `host`, `port`, `id`, `born`; `parts` of `partBytes` each, written `partMs` apart.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'

const { host, port, id, born, parts, partBytes, partMs, framed = false, unframedEvery = 1 } = JSON.parse(process.argv[2])
const say = text => process.stdout.write(`${text}\n`)
const pause = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Lines of 64 bytes that name the request and their number, so that each byte can be checked. */
const lineBytes = 64
const shortBytes = 640
let longAnswers = 0
export const bodyOf = (request, bytes) => {
  const lines = Array.from({ length: Math.ceil(bytes / lineBytes) }, (_, each) => `${request} ${each} `.padEnd(lineBytes - 1, '.') + '\n')
  return Buffer.from(lines.join('')).subarray(0, bytes)
}

const serve = async (request, response) => {
  const requestId = String(request.headers['request-id'] ?? '')
  request.resume()
  await once(request, 'end')
  const expected = request.headers['expect-instance']
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { 'Request-Id': requestId, 'Not-Executed': '1', 'Instance-Id': id, 'Content-Length': 0 }).end()
    return
  }
  const short = (request.url ?? '').startsWith('/short/')
  if (!short) longAnswers += 1
  const hasLength = framed || short || longAnswers % unframedEvery !== Math.floor(unframedEvery / 2)
  const body = short ? bodyOf(requestId, shortBytes) : bodyOf(requestId, parts * partBytes)
  say(`runs ${requestId}, whose whole body has ${body.length} bytes`)
  if (!hasLength) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
  }
  const length = hasLength ? { 'Content-Length': body.length } : {}
  response.writeHead(200, { 'Request-Id': requestId, 'Response-Seal': `seal-${id}-${born}`, 'Content-Type': 'text/plain', ...length })
  if (short) {
    response.end(body)
    return
  }
  for (let part = 0; part < parts; part++) {
    if (response.destroyed) return say(`${requestId}: its connection closed`)
    response.write(body.subarray(part * partBytes, (part + 1) * partBytes))
    if (part < parts - 1 && partMs > 0) await pause(partMs)
  }
  response.end(() => { if (parts > 1 || partBytes > 1_000_000) say(`${requestId}: written whole`) })
}

const server = createServer({ maxHeaderSize: 262_144 }, (request, response) => {
  if (request.url === '/health') {
    response.writeHead(200, { 'Instance-Id': id, 'Content-Type': 'application/json' }).end(JSON.stringify({ born }))
    return
  }
  serve(request, response).catch(error => {
    say(`error: ${error.message}`)
    response.destroy()
  })
})
server.listen(port, host, () => say('listening'))
