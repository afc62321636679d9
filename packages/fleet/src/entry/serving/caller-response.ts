/**
 * Writes the response of one request to its caller: once, buffered or as a stream, and so that a truncated response
 * can never be taken for a complete one.
 *
 * Streams are sent in chunks, however the server delimited them. One that ends with the connection would also look complete where this
 * process is killed, since the operating system then closes its connections in order. A buffered body is written at once. Without a
 * length from the server, it may be truncated, so it is not given one here.
 */
import type { ServerResponse } from 'node:http'
import { isFull } from './stall-monitor.js'

/** Hop-by-hop headers, which are never forwarded. */
const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Alternating names and values, as in `IncomingMessage.rawHeaders`. */
export type RawHeaders = readonly string[]

const noOptions: ReadonlySet<string> = new Set()

/** The hop-by-hop headers that `Connection` headers name. */
const connectionOptionsOf = (raw: RawHeaders): ReadonlySet<string> => {
  let options: Set<string> | undefined
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== 'connection') continue
    for (const token of (raw[index + 1] ?? '').split(',')) (options ??= new Set()).add(token.trim().toLowerCase())
  }
  return options ?? noOptions
}

/** The headers to forward: all but hop-by-hop headers, those that `Connection` names and those in `without`. */
export const forwardedHeaders = (raw: RawHeaders, without: ReadonlySet<string>): string[] => {
  const connectionOptions = connectionOptionsOf(raw)
  const forwarded: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? ''
    const lower = name.toLowerCase()
    if (hopByHopHeaders.has(lower) || connectionOptions.has(lower) || without.has(lower)) continue
    forwarded.push(name, raw[index + 1] ?? '')
  }
  return forwarded
}

/** Responses with these statuses have no body. */
export const bodylessStatuses: ReadonlySet<number> = new Set([204, 304])

const lastCodingIsChunked = /(^|,)\s*chunked\s*$/i

/**
 * Whether the headers of a server's response delimit its body; otherwise it ends with the connection, as also with any transfer coding
 * but chunks.
 */
export const isFramed = (raw: RawHeaders): boolean => {
  let hasLength = false
  let codings: string | undefined
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const lower = raw[index]?.toLowerCase()
    if (lower === 'content-length') hasLength = true
    if (lower === 'transfer-encoding') codings = raw[index + 1]
  }
  return codings === undefined ? hasLength : lastCodingIsChunked.test(codings)
}

const contentLengthOnly = new Set(['content-length'])

export class CallerResponse {
  #started = false
  /** The head of a stream has been written with a part of the body or its end. */
  #headWritten = false

  /** `onFull`: called when the caller's socket has taken less than was written. */
  constructor (private readonly response: ServerResponse, private readonly closeAfterResponse: () => boolean, private readonly onFull: () => void) {}

  /** Status and headers have been sent. */
  get started (): boolean {
    return this.#started
  }

  /** Whether a body of unknown length can be sent in chunks. Callers with HTTP/1.0 can't read them. */
  get canStream (): boolean {
    return this.response.useChunkedEncodingByDefault
  }

  /** Sends a buffered response of a server. `bodyless`: it answers a HEAD request, or its status allows no body. */
  whole (status: number, raw: RawHeaders, body: Buffer, bodyless: boolean): void {
    const headers = forwardedHeaders(raw, bodyless ? noOptions : contentLengthOnly)
    if (bodyless || isFramed(raw)) {
      if (!bodyless) headers.push('Content-Length', String(body.length))
      this.#writeHead(status, headers)
    } else this.#writeUndelimitedHead(status, headers)
    this.response.end(bodyless ? undefined : body)
    if (isFull(this.response)) this.onFull()
  }

  /** Sends a response that the entry generates itself. Aborts the response if one is already under way. */
  sendLocalReply (status: number, headers: Record<string, string>, message: string): void {
    if (this.#started || this.response.headersSent) return this.abort()
    const body = Buffer.from(JSON.stringify({ error: message }))
    const flatHeaders = Object.entries({ 'Content-Type': 'application/json', 'Content-Length': String(body.length), ...headers }).flat()
    this.#writeHead(status, flatHeaders)
    this.response.end(body)
  }

  /**
   * Sends the head of a streamed response, in one write with what the server sent of the body along with it. Without such a part, it
   * is sent at the end of this turn of the event loop.
   */
  startStream (status: number, raw: RawHeaders): void {
    this.#writeHead(status, forwardedHeaders(raw, contentLengthOnly))
    setImmediate(() => {
      if (!this.#headWritten && !this.response.destroyed) this.response.flushHeaders()
    })
  }

  /** Returns false under backpressure; `onDrain` is called once more may be written. */
  write (chunk: Buffer, onDrain: () => void): boolean {
    if (chunk.length === 0) return true
    this.#headWritten = true
    if (this.response.write(chunk)) return true
    this.response.once('drain', onDrain)
    this.onFull()
    return false
  }

  finish (): void {
    this.#headWritten = true
    this.response.end()
  }

  /** Aborts the response by closing the connection, so that a partial response can't be taken for a complete one. */
  abort (): void {
    this.response.destroy()
  }

  /** The body ends with the connection. */
  #writeUndelimitedHead (status: number, headers: string[]): void {
    this.response.useChunkedEncodingByDefault = false
    this.response.shouldKeepAlive = false
    this.#started = true
    this.response.writeHead(status, [...headers, 'Connection', 'close'])
  }

  #writeHead (status: number, headers: string[]): void {
    this.#started = true
    if (this.closeAfterResponse()) headers.push('Connection', 'close')
    this.response.writeHead(status, headers)
  }
}
