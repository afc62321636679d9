/**
 * A request as received from a caller: the headers that decide how it is handled, parsed once, and the body.
 */
import type { IncomingMessage } from 'node:http'
import { maxAdapterKeyLength } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'
import type { HeaderNames } from '../../ports.js'
import { headerOf } from './header.js'
import type { KeptBytes } from './kept-bytes.js'

/** Used where a caller states no remaining time. */
const defaultRemainingMs = 10_000
const emptyBuffer = Buffer.alloc(0)
/** Tokens of a typical generation, assumed where a caller states none. */
const defaultWorkTokens = 700
/** No prompt is longer. The stated number is sent in frames between processes, whose fields are bounded. */
const maxPromptTokens = 10_000_000

/** Why the body could not be read: it exceeds the limit, or the caller disconnected. */
export type BodyError = 'too_large' | 'caller_left'

export class IncomingRequest {
  readonly id: string
  readonly host: string
  readonly path: string
  /** Adapter or model key, if the request names one. */
  readonly model: string | undefined
  /** Prompt tokens and maximum of output tokens, as stated (`in,out`). */
  readonly tokens: string | undefined
  readonly promptTokens: number
  /** Maximum of output tokens; 0 if not stated. */
  readonly outputTokens: number
  /** The parts of the prompt, as stated. */
  readonly promptParts: string | undefined
  /** The last event that the caller has of a stream that it resumes. */
  readonly lastEventId: string | undefined
  /** The id of the request whose response had the first event of that stream. */
  readonly resumes: string | undefined
  /** Milliseconds until the caller times out. */
  readonly remainingMs: number
  /** Bytes of the body that are counted as kept. */
  #keptBytes = 0

  constructor (readonly message: IncomingMessage, names: HeaderNames) {
    this.id = headerOf(message, names.requestId) ?? ''
    this.host = (message.headers.host ?? '').replace(/:\d+$/, '')
    this.path = (message.url ?? '/').split('?')[0] ?? '/'
    this.model = headerOf(message, names.model)
    this.tokens = headerOf(message, names.tokens)
    this.promptTokens = Math.min(maxPromptTokens, Math.max(0, Number.parseInt(this.tokens ?? '0', 10) || 0))
    this.outputTokens = Math.max(0, Number.parseInt(this.tokens?.split(',')[1] ?? '0', 10) || 0)
    this.promptParts = headerOf(message, names.promptParts)
    this.lastEventId = headerOf(message, names.lastEventId)
    this.resumes = headerOf(message, names.resumes)
    const stated = Number(headerOf(message, names.remainingMs) ?? NaN)
    this.remainingMs = Number.isFinite(stated) && stated >= 0 ? stated : defaultRemainingMs
  }

  /** The model key is too long for any engine. */
  get hasInvalidModel (): boolean {
    return this.model !== undefined && this.model.length > maxAdapterKeyLength
  }

  /** Prompt and maximum output tokens: the work that the request may cause. */
  get workTokens (): number {
    const output = Number.parseInt(this.tokens?.split(',')[1] ?? '0', 10) || 0
    return this.promptTokens + Math.min(maxPromptTokens, Math.max(0, output)) || defaultWorkTokens
  }

  /** Stated size of the body; 0 if none is stated. */
  get statedBodyBytes (): number {
    const stated = Number(this.message.headers['content-length'] ?? 0)
    return Number.isFinite(stated) ? stated : 0
  }

  get hasBody (): boolean {
    return this.statedBodyBytes > 0 || this.message.headers['transfer-encoding'] !== undefined
  }

  /** Releases the bytes of the body that `body` counted as kept. */
  releaseBody (keptBytes: KeptBytes): void {
    keptBytes.release('request_bodies', this.#keptBytes)
    this.#keptBytes = 0
  }

  /** Reads the body, of at most `limit` bytes. */
  body (limit: number, keptBytes: KeptBytes): Promise<Result<Buffer, BodyError>> {
    const { message } = this
    const chunks: Buffer[] = []
    let size = 0
    return new Promise(resolve => {
      // A caller that disconnected before the body is read causes no more events.
      if (message.destroyed && !message.readableEnded) resolve(err('caller_left'))
      message.on('data', (chunk: Buffer) => {
        size += chunk.length
        if (size > limit) return resolve(err('too_large'))
        chunks.push(chunk)
        this.#keptBytes += chunk.length
        keptBytes.add('request_bodies', chunk.length)
      })
      message.on('end', () => resolve(ok(chunks.length === 1 ? chunks[0] ?? emptyBuffer : Buffer.concat(chunks))))
      message.on('error', () => resolve(err('caller_left')))
      message.on('close', () => resolve(err('caller_left')))
    })
  }
}
