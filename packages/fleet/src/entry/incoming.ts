/**
 * What a caller sent: the headers that decide something, read once, and the body.
 */
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import type { HeaderNames } from '../ports.js'

/** A caller that states no time. */
const defaultRemainingMs = 10_000
const noBytes = Buffer.alloc(0)
/** No prompt is longer; what a caller states goes into frames between processes, whose fields are bounded. */
const mostTokens = 10_000_000
/** Longest name of a model and adapter that such a frame carries. */
const longestModel = 500

/** Why there is no body: it is over the limit, or the caller went away. */
export type BodyFault = 'too_large' | 'caller_left'

export class Incoming {
  readonly id: string
  readonly host: string
  readonly path: string
  /** Adapter or model key, where one is named. */
  readonly model: string | undefined
  /** Size of the prompt and most tokens out, as stated. */
  readonly tokens: string | undefined
  readonly promptTokens: number
  /** Milliseconds that the caller has left. */
  readonly remainingMs: number

  constructor (readonly message: IncomingMessage, names: HeaderNames) {
    this.id = this.#header(names.requestId) ?? ''
    this.host = (message.headers.host ?? '').replace(/:\d+$/, '')
    this.path = (message.url ?? '/').split('?')[0] ?? '/'
    this.model = this.#header(names.model)
    this.tokens = this.#header(names.tokens)
    this.promptTokens = Math.min(mostTokens, Math.max(0, Number.parseInt(this.tokens ?? '0', 10) || 0))
    const stated = Number(this.#header(names.remainingMs) ?? NaN)
    this.remainingMs = Number.isFinite(stated) && stated >= 0 ? stated : defaultRemainingMs
  }

  /** Names something that no engine can hold. */
  get impossible (): boolean {
    return this.model !== undefined && this.model.length > longestModel
  }

  /** The whole body, of `limit` bytes at most. */
  body (limit: number): Promise<Result<Buffer, BodyFault>> {
    const { message } = this
    const pieces: Buffer[] = []
    let size = 0
    return new Promise(resolve => {
      message.on('data', (piece: Buffer) => {
        size += piece.length
        if (size <= limit) pieces.push(piece)
        else resolve(err('too_large'))
      })
      message.on('end', () => resolve(ok(pieces.length === 1 ? pieces[0] ?? noBytes : Buffer.concat(pieces))))
      message.on('error', () => resolve(err('caller_left')))
      message.on('close', () => resolve(err('caller_left')))
    })
  }

  #header (name: string): string | undefined {
    const value = this.message.headers[name]
    return Array.isArray(value) ? value[0] : value
  }
}
