/**
 * A request as received from a caller: the headers that decide how it is handled, parsed once, and the body.
 */
import type { IncomingMessage } from 'node:http'
import { maxAdapterKeyLength } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'
import type { HeaderNames } from '../../ports.js'
import { gatherBody } from './gathered-body.js'
import { unlessCancelled, type Cancellation } from './cancellation.js'
import { headerOf } from './header.js'
import type { BodyReservation, KeptBytes } from './kept-bytes.js'

/** Used where a caller states no remaining time. */
const defaultRemainingMs = 10_000
const emptyBuffer = Buffer.alloc(0)
/** Tokens of a typical generation, assumed where a caller states none. */
const defaultWorkTokens = 700
/** No prompt is longer. The stated number is sent in frames between processes, whose fields are bounded. */
const maxPromptTokens = 10_000_000

/** Why the body could not be read: it exceeds the limit, the caller disconnected, the request was cancelled, or the process has no room for it. */
export type BodyError = 'too_large' | 'caller_left' | 'cancelled' | 'no_room'

export interface BodyOptions {
  /** Maximum size in bytes. */
  limit: number
  keptBytes: KeptBytes
  /** How long the body may wait for room, each time that it needs some. */
  waitMs: () => number
  cancellation: Cancellation
}

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
  #reservation: BodyReservation | undefined

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

  /** Gives up the room of the body, once no attempt needs it. */
  releaseBody (keptBytes: KeptBytes): void {
    if (this.#reservation !== undefined) keptBytes.releaseBody(this.#reservation)
    this.#reservation = undefined
  }

  /** Drops what has not been read of the body: it would precede the next request on this connection. */
  discardBody (): void {
    this.message.resume()
  }

  /** Reads the body, once there is room for it. Until then nothing is read from the caller. */
  async body (options: BodyOptions): Promise<Result<Buffer, BodyError>> {
    const { limit, keptBytes, waitMs, cancellation } = options
    if (!this.hasBody) return ok(emptyBuffer)
    const stated = this.statedBodyBytes
    if (stated > limit) return err('too_large')
    const reserving = keptBytes.reserveBody(stated === 0 ? undefined : stated, waitMs())
    this.#reservation = await unlessCancelled(reserving, cancellation)
    if (this.#reservation === undefined && cancellation.cancelled) {
      void reserving.then(late => { if (late !== undefined) keptBytes.releaseBody(late) })
      return err('cancelled')
    }
    if (this.#reservation === undefined) return err('no_room')
    return await this.#read(this.#reservation, stated, options)
  }

  #read (reservation: BodyReservation, stated: number, { limit, waitMs, cancellation }: BodyOptions): Promise<Result<Buffer, BodyError>> {
    const { message } = this
    const gathered = gatherBody(stated)
    return new Promise(resolve => {
      // A caller that disconnected before the body is read causes no more events.
      if (message.destroyed && !message.readableEnded) resolve(err('caller_left'))
      const awaitRoom = async (): Promise<void> => {
        message.pause()
        if (!await reservation.extend(stated === 0 ? limit : stated, waitMs())) return finish(err('no_room'))
        message.resume()
      }
      const read = (chunk: Buffer): void => {
        if (reservation.arrived + chunk.length > limit) return finish(err('too_large'))
        reservation.add(chunk.length)
        gathered.add(chunk)
        if (reservation.isExceeded) void awaitRoom()
      }
      const finish = (result: Result<Buffer, BodyError>): void => {
        message.off('data', read)
        unsubscribe()
        resolve(result)
      }
      const unsubscribe = cancellation.onCancel(() => finish(err('cancelled')))
      message.on('data', read)
      message.on('end', () => {
        reservation.shrink()
        finish(ok(gathered.bytes))
      })
      message.on('error', () => finish(err('caller_left')))
      message.on('close', () => finish(err('caller_left')))
    })
  }
}
