/**
 * The caller's side of one request: its answer is given once, whole or as a stream, and never looks whole when it
 * isn't.
 */
import type { ServerResponse } from 'node:http'

/** Headers that belong to one connection, and are never passed on. */
const connectionHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Name, value, name, value, as the runtime gives raw headers. */
export type RawHeaders = readonly string[]

export const headerPairs = function * (raw: RawHeaders): Generator<[name: string, value: string]> {
  for (let each = 0; each + 1 < raw.length; each += 2) yield [raw[each] ?? '', raw[each + 1] ?? '']
}

/** The headers that are passed on, without those that `Connection` names and those in `without`. */
export const passedHeaders = (raw: RawHeaders, without: ReadonlySet<string>): string[] => {
  const named = new Set<string>()
  for (const [name, value] of headerPairs(raw)) {
    if (name.toLowerCase() !== 'connection') continue
    for (const token of value.split(',')) named.add(token.trim().toLowerCase())
  }
  const passed: string[] = []
  for (const [name, value] of headerPairs(raw)) {
    const lower = name.toLowerCase()
    if (connectionHeaders.has(lower) || named.has(lower) || without.has(lower)) continue
    passed.push(name, value)
  }
  return passed
}

/** Whether an answer says where it ends. */
const isFramed = (raw: RawHeaders): boolean => {
  for (const [name] of headerPairs(raw)) {
    const lower = name.toLowerCase()
    if (lower === 'content-length' || lower === 'transfer-encoding') return true
  }
  return false
}

const ownFraming = new Set(['content-length'])

export class Delivery {
  #started = false

  constructor (private readonly response: ServerResponse, private readonly lastAnswer: () => boolean) {}

  /** The head of an answer has gone out. */
  get started (): boolean {
    return this.#started
  }

  /** A server's whole answer. `bodyless`: it answers a HEAD, or has a status without a body. */
  whole (status: number, raw: RawHeaders, body: Buffer, bodyless: boolean): void {
    const headers = passedHeaders(raw, bodyless ? new Set() : ownFraming)
    if (!bodyless && isFramed(raw)) headers.push('Content-Length', String(body.length))
    this.#head(status, headers, bodyless || isFramed(raw))
    this.response.end(bodyless ? undefined : body)
  }

  /** The system's own answer. */
  own (status: number, headers: Record<string, string>, message: string): void {
    if (this.#started || this.response.headersSent) return this.cut()
    const body = Buffer.from(JSON.stringify({ error: message }))
    const flat = Object.entries({ 'Content-Type': 'application/json', 'Content-Length': String(body.length), ...headers }).flat()
    this.#head(status, flat, true)
    this.response.end(body)
  }

  start (status: number, raw: RawHeaders): void {
    this.#head(status, passedHeaders(raw, ownFraming), isFramed(raw))
    this.response.flushHeaders()
  }

  /** Says whether more may be written at once; if not, `drained` is called when it may. */
  write (piece: Buffer, drained: () => void): boolean {
    if (piece.length === 0 || this.response.write(piece)) return true
    this.response.once('drain', drained)
    return false
  }

  finish (): void {
    this.response.end()
  }

  /** Ends the connection, so that what was sent can't be taken for the whole. */
  cut (): void {
    this.response.destroy()
  }

  /** An answer that ends with its connection does so towards the caller too: that it was whole can't be known here. */
  #head (status: number, headers: string[], framed: boolean): void {
    this.#started = true
    if (this.lastAnswer() || !framed) headers.push('Connection', 'close')
    if (!framed) {
      this.response.useChunkedEncodingByDefault = false
      this.response.shouldKeepAlive = false
    }
    this.response.writeHead(status, headers)
  }
}
