/**
 * One try of a request at one backend server.
 *
 * Its end says exactly how far it came, since that decides what may be done next: a request that was never sent or
 * that the server refused may go elsewhere, any other may have run. An answer counts only if it is the server's own
 * (it carries the seal), belongs to this request (it echoes the id) and came whole.
 */
import { request as openRequest, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import { splitAddress } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { HeaderNames } from '../ports.js'
import type { Cancellation } from './cancellation.js'
import type { Delivery, RawHeaders } from './delivery.js'
import type { EventCutter } from './event-stream.js'
import { headerOf } from './header.js'
import { serverWordOf, type ServerWord } from './server-word.js'

export interface Outgoing {
  method: string
  path: string
  headers: string[]
  body: Buffer
}

export interface AttemptOptions {
  agent: Agent
  /** `host:port`. */
  address: string
  outgoing: Outgoing
  requestId: string
  /** The server that is meant. */
  serverId: string
  names: HeaderNames
  connectMs: number
  /** Asked with the connection up and nothing sent yet, which may be long after the try began: whether it may still be sent. */
  permit: () => boolean
  /** A new connection came up, after so many milliseconds. */
  cameUp: (ms: number) => void
  /** Answers of a stream go out as they come. */
  stream: boolean
  /** Where the stream may go on elsewhere: passes whole events only. */
  cutter: EventCutter | undefined
  delivery: Delivery
  cancellation: Cancellation
  /** The first bytes of the answer came. */
  heard: () => void
  /** What the server says of itself with its answer; before anything else of that answer is judged. */
  said: (word: ServerWord) => void
}

export type AttemptEnd =
  | { type: 'not_sent', detail: string }
  /** What allowed it to be sent no longer holds. */
  | { type: 'withheld' }
  | { type: 'not_run', status: number, retryAfter: string | undefined, cause: RefusalCause }
  | { type: 'broken', detail: string }
  | { type: 'answer', status: number, headers: RawHeaders, body: Buffer }
  | { type: 'streamed', status: number, bytes: number }
  | { type: 'interrupted', detail: string }
  | { type: 'cancelled', sent: boolean }

/** Why a server refused: it is another one, it lacks what is asked for, or it takes no more. */
export type RefusalCause = 'another_server' | 'not_held' | 'full'

const misdirected = 421
/** By themselves these statuses would promise a caller that its request has not run. */
const promising = new Set([408, 421, 429, 503])

export const attempt = (options: AttemptOptions): Promise<AttemptEnd> => new Promise(resolve => {
  const { agent, outgoing, cancellation, connectMs } = options
  let request: ClientRequest
  try {
    const { method, path, headers } = outgoing
    request = openRequest({ ...splitAddress(options.address), agent, method, path, headers })
  } catch (error) {
    return resolve({ type: 'not_sent', detail: (error as Error).message })
  }
  let connected = false
  let finished = false
  const connecting = setTimeout(() => setImmediate(giveUp), connectMs)
  /** Timers run before what the sockets brought: after a stall of this process the connection may well be there. */
  const giveUp = (): void => {
    if (!connected) request.destroy(new Error(`no connection in ${connectMs} ms`))
  }
  const finish = (end: AttemptEnd): void => {
    if (finished) return
    finished = true
    clearTimeout(connecting)
    forget()
    resolve(end)
  }
  const cancel = (): void => {
    finish({ type: 'cancelled', sent: connected })
    request.destroy()
  }
  const forget = cancellation.onCancel(cancel)
  /** In one turn of the event loop, since this process may be frozen between any two. */
  const send = (): void => {
    clearTimeout(connecting)
    if (finished) return
    if (!options.permit()) {
      finish({ type: 'withheld' })
      request.destroy()
      return
    }
    connected = true
    request.end(outgoing.body.length === 0 ? undefined : outgoing.body)
  }
  request.on('socket', socket => {
    if (!socket.connecting) return send()
    const began = nowMs()
    socket.once('connect', () => {
      options.cameUp(nowMs() - began)
      send()
    })
  })
  // Told before the answer's end: the runtime takes a reset for the end of an answer without a length.
  request.on('error', error => {
    if (!connected) return finish({ type: 'not_sent', detail: error.message })
    finish({ type: options.delivery.started ? 'interrupted' : 'broken', detail: error.message })
  })
  request.on('response', answer => {
    const word = serverWordOf(answer, options.names, options.serverId)
    if (word !== undefined) options.said(word)
    options.heard()
    // The rest of a request that was answered early must not run into the next one on this connection.
    if (!request.writableFinished) answer.once('end', () => request.destroy())
    void read(answer, request, options).then(finish)
  })
  if (cancellation.cancelled) cancel()
})

const read = async (answer: IncomingMessage, request: ClientRequest, options: AttemptOptions): Promise<AttemptEnd> => {
  const { names, requestId, stream } = options
  const refuse = (detail: string): AttemptEnd => {
    answer.on('error', () => {})
    request.destroy()
    return { type: 'broken', detail }
  }
  const status = answer.statusCode ?? 0
  const echoed = headerOf(answer, names.requestId)
  if (echoed !== undefined && echoed !== requestId) return refuse(`an answer to another request (${echoed})`)
  if (headerOf(answer, names.notRun) !== undefined || status === misdirected) return readRefusal(answer, options)
  const good = status >= 200 && status < 300
  if (good && (echoed === undefined || headerOf(answer, names.seal) === undefined)) return refuse(`status ${status} without seal or id`)
  if (answer.headers['content-encoding'] !== undefined) return refuse('an encoded body')
  if (promising.has(status)) return refuse(`status ${status} without saying that it has not run`)
  return good && stream ? await passStream(answer, status, options) : await readWhole(answer, status)
}

const readRefusal = (answer: IncomingMessage, { names, serverId }: AttemptOptions): AttemptEnd => {
  const status = answer.statusCode ?? 0
  const retryAfter = headerOf(answer, names.retryAfter)
  const refuser = headerOf(answer, names.serverId)
  // The refusal is known from the head; what becomes of its body does not matter.
  answer.on('error', () => {})
  answer.resume()
  if (status !== misdirected) return { type: 'not_run', status, retryAfter, cause: 'full' }
  const another = refuser !== undefined && refuser !== serverId
  return { type: 'not_run', status, retryAfter, cause: another ? 'another_server' : 'not_held' }
}

const readWhole = (answer: IncomingMessage, status: number): Promise<AttemptEnd> => new Promise(resolve => {
  const pieces: Buffer[] = []
  answer.on('data', (piece: Buffer) => pieces.push(piece))
  answer.on('error', error => resolve({ type: 'broken', detail: `the answer broke off: ${error.message}` }))
  answer.on('end', () => {
    if (!answer.complete) return resolve({ type: 'broken', detail: 'the answer broke off' })
    resolve({ type: 'answer', status, headers: answer.rawHeaders, body: Buffer.concat(pieces) })
  })
  answer.on('close', () => resolve({ type: 'broken', detail: 'the answer was cut' }))
})

const passStream = (answer: IncomingMessage, status: number, { delivery, cutter }: AttemptOptions): Promise<AttemptEnd> => new Promise(resolve => {
  if (!delivery.started) delivery.start(status, answer.rawHeaders)
  let bytes = 0
  const resume = (): void => { answer.resume() }
  const interrupted = (detail: string): void => {
    cutter?.drop()
    resolve({ type: 'interrupted', detail })
  }
  answer.on('data', (piece: Buffer) => {
    bytes += piece.length
    const ready = delivery.write(cutter === undefined ? piece : cutter.push(piece), resume)
    if (!ready) answer.pause()
  })
  answer.on('error', error => interrupted(error.message))
  answer.on('end', () => {
    if (!answer.complete) return interrupted('the stream broke off')
    if (cutter !== undefined && cutter.rest.length > 0) return interrupted('the stream ended within an event')
    resolve({ type: 'streamed', status, bytes })
  })
  answer.on('close', () => interrupted('the stream was cut'))
})
