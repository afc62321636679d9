/**
 * What a caller sent: the headers that decide something, read once, and the body.
 */
import type { IncomingMessage } from 'node:http'
import { longestAdapterKey } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'
import type { HeaderNames } from '../ports.js'
import { headerOf } from './header.js'

/** A caller that states no time. */
const defaultRemainingMs = 10_000
const noBytes = Buffer.alloc(0)
/** No prompt is longer; what a caller states goes into frames between processes, whose fields are bounded. */
const mostTokens = 10_000_000

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
    this.id = headerOf(message, names.requestId) ?? ''
    this.host = (message.headers.host ?? '').replace(/:\d+$/, '')
    this.path = (message.url ?? '/').split('?')[0] ?? '/'
    this.model = headerOf(message, names.model)
    this.tokens = headerOf(message, names.tokens)
    this.promptTokens = Math.min(mostTokens, Math.max(0, Number.parseInt(this.tokens ?? '0', 10) || 0))
    const stated = Number(headerOf(message, names.remainingMs) ?? NaN)
    this.remainingMs = Number.isFinite(stated) && stated >= 0 ? stated : defaultRemainingMs
  }

  /** Names something that no engine can hold. */
  get impossible (): boolean {
    return this.model !== undefined && this.model.length > longestAdapterKey
  }

  /** The whole body, of `limit` bytes at most. */
  body (limit: number): Promise<Result<Buffer, BodyFault>> {
    const { message } = this
    const pieces: Buffer[] = []
    let size = 0
    return new Promise(resolve => {
      // It may have gone before its body was asked for, and says nothing more then.
      if (message.destroyed && !message.readableEnded) resolve(err('caller_left'))
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
}
