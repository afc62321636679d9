/**
 * One attempt of a request at one backend server.
 *
 * The result says exactly how far the attempt got, since that decides whether it may be retried: a request that was never
 * sent or that the server refused can safely go to another server; any other may have run. A response is accepted only if
 * it has the status of a final response, comes from the server itself (it carries the seal), belongs to this request (it echoes the id)
 * and is complete.
 */
import { request as openRequest, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import { isFinalStatus, readEndApart, splitAddress } from '@finchpitch/core'
import { nowMs } from '../../clock.js'
import type { HeaderNames } from '../../ports.js'
import type { Cancellation } from './cancellation.js'
import { bodylessStatuses, isFramed, type CallerResponse, type RawHeaders } from './caller-response.js'
import { EventBoundary, isEventStream, maxEventBytes, truncationOf, type EventFramer } from './event-stream.js'
import { gatherBody } from './gathered-body.js'
import { headerOf } from './header.js'
import type { KeptBytes } from './kept-bytes.js'
import type { ReadTurns } from './read-turns.js'
import { bytesTaken, hasPeer, pauseNow } from './socket-handle.js'
import { isFull, type Stall } from './stall-monitor.js'
import type { IdentifiedRequestOptions } from '../servers/server-agent.js'
import { readServerFeedback, type ServerFeedback } from '../servers/server-feedback.js'

export interface OutgoingRequest {
  method: string
  path: string
  headers: string[]
  body: Buffer
}

export interface AttemptOptions {
  agent: Agent
  /** `host:port`. */
  address: string
  outgoing: OutgoingRequest
  requestId: string
  /** Id of the server that the request is meant for. */
  serverId: string
  names: HeaderNames
  turns: Pick<ReadTurns, 'next'>
  /** Time-out for establishing a connection. */
  connectMs: number
  /**
   * Whether the request may still be sent. Called once the connection is established and before anything is written, which may
   * be long after the attempt began.
   */
  maySend: () => boolean
  /** A new connection was established, after `ms` milliseconds. */
  onConnected: (ms: number) => void
  /** Forward the response body as it arrives instead of buffering it, if the caller can read a body of unknown length. */
  stream: boolean
  /** The caller resumes a stream. If it has the last event, none follows. */
  resumes: boolean
  /** Set for a stream that may be resumed at another server: only complete events are forwarded. */
  eventFramer: EventFramer | undefined
  callerResponse: CallerResponse
  cancellation: Cancellation
  keptBytes: KeptBytes
  /** The head of the response arrived. */
  onResponse: () => void
  /** What the server reports about itself in the response headers; called before the response is validated. */
  onServerFeedback: (feedback: ServerFeedback) => void
}

/** How the end of a response is known. */
export interface ResponseEnd {
  /** The response has no body, or its headers delimit it; otherwise it ended with the connection, which may have been broken off. */
  framed: boolean
  /** Set if the response is not framed: whether the connection had been reset by the time its end was read. */
  peerGone?: boolean | undefined
  /** Set if the response is not framed and has one. */
  contentType?: string | undefined
}

export type AttemptResult =
  | { type: 'not_sent', detail: string }
  /** `AttemptOptions.maySend` returned false. */
  | { type: 'withheld' }
  | { type: 'not_run', status: number, retryAfter: string | undefined, cause: RefusalCause }
  | { type: 'broken', detail: string }
  | { type: 'answer', status: number, headers: RawHeaders, body: Buffer, end: ResponseEnd }
  | { type: 'streamed', status: number, bytes: number, end: ResponseEnd }
  | { type: 'interrupted', detail: string }
  | { type: 'cancelled', sent: boolean }

/** Why a server refused: it is not the server that was meant, it lacks the requested model or version, or it is at capacity. */
export type RefusalCause = 'another_server' | 'not_held' | 'full'

const misdirectedStatus = 421
/** Servers send few interim responses, if any. Without a bound, one that sends nothing else is read until the deadline. */
const maxInterimResponses = 100
/** The body of a refusal is read to reuse the connection, which isn't worth more than this. */
const maxRefusalBytes = 64 * 1024
const maxRefusalMs = 1000
/** Statuses that by themselves tell a caller that its request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503])

export const isSuccess = (status: number): boolean => status >= 200 && status < 300

export const attempt = (options: AttemptOptions): Promise<AttemptResult> => new Promise(resolve => {
  const { agent, outgoing, cancellation, connectMs, keptBytes, turns } = options
  let request: ClientRequest
  try {
    const { method, path, headers } = outgoing
    const requestOptions: IdentifiedRequestOptions = { ...splitAddress(options.address), agent, method, path, headers, requestId: options.requestId }
    request = openRequest(requestOptions)
  } catch (error) {
    return resolve({ type: 'not_sent', detail: (error as Error).message })
  }
  let connected = false
  let sent = false
  let finished = false
  const connectTimer = setTimeout(() => setImmediate(abortConnect), connectMs)
  /** Runs after pending socket events: when this process has stalled, its timers fire before it sees that the connection is up. */
  const abortConnect = (): void => {
    if (!connected) request.destroy(new Error(`connection not established within ${connectMs} ms`))
  }
  const finish = (result: AttemptResult): void => {
    if (finished) return
    finished = true
    clearTimeout(connectTimer)
    unsubscribe()
    resolve(result)
  }
  const cancel = (): void => {
    finish({ type: 'cancelled', sent })
    request.destroy()
  }
  const unsubscribe = cancellation.onCancel(cancel)
  /** Checks and writes in a single turn of the event loop, since the process may be suspended between turns. */
  const send = (): void => {
    if (finished) return
    if (!options.maySend()) {
      finish({ type: 'withheld' })
      request.destroy()
      return
    }
    sent = true
    const takenBefore = bytesTaken(request.socket)
    request.end(outgoing.body.length === 0 ? undefined : outgoing.body)
    if (request.socket !== null && isFull(request)) keptBytes.monitor.watch(request, request.socket, 'server', stall => abortUnread(stall, takenBefore))
  }
  /** The server does not read the request. The request may have run unless nothing of it was written. */
  const abortUnread = ({ bytes, ms }: Stall, takenBefore: number | undefined): void => {
    const detail = `request body not read for ${ms} ms, ${bytes} bytes left`
    if (bytesTaken(request.socket) === takenBefore) finish({ type: 'not_sent', detail })
    request.destroy(new Error(detail))
  }
  /** The caller may have left while the connection was established, which may have taken long. */
  const sendAfterReads = async (): Promise<void> => {
    connected = true
    clearTimeout(connectTimer)
    await turns.next('under_way')
    send()
  }
  request.on('socket', socket => {
    if (!socket.connecting) {
      void sendAfterReads()
      return
    }
    const began = nowMs()
    socket.once('connect', () => {
      options.onConnected(nowMs() - began)
      void sendAfterReads()
    })
  })
  // Must settle before the end of the response does: Node treats a connection reset as the end of a response without a length.
  request.on('error', error => {
    if (!sent) return finish({ type: 'not_sent', detail: error.message })
    finish({ type: options.callerResponse.started ? 'interrupted' : 'broken', detail: error.message })
  })
  let interimResponses = 0
  request.on('information', () => {
    interimResponses += 1
    if (interimResponses > maxInterimResponses) request.destroy(new Error(`more than ${maxInterimResponses} interim responses`))
  })
  request.on('response', response => {
    // A response that a server has produced is delivered, also if it did not read the whole request.
    keptBytes.monitor.unwatch(request)
    const feedback = readServerFeedback(response, options.names, options.serverId)
    if (feedback !== undefined) options.onServerFeedback(feedback)
    options.onResponse()
    // The unsent rest of a request that was answered early must not be written ahead of the next one on this connection.
    if (!request.writableFinished) response.once('end', () => request.destroy())
    void readResponse(response, request, options).then(result => {
      if (finished && result.type === 'answer') keptBytes.releaseResponse(result.body.length)
      finish(result)
    })
  })
  if (cancellation.cancelled) cancel()
})

const readResponse = async (response: IncomingMessage, request: ClientRequest, options: AttemptOptions): Promise<AttemptResult> => {
  const { names, requestId, stream } = options
  const reject = (detail: string): AttemptResult => {
    response.on('error', () => {})
    request.destroy()
    return { type: 'broken', detail }
  }
  const status = response.statusCode ?? 0
  if (!isFinalStatus(status)) return reject(`status ${status}, which no final response has`)
  const echoed = headerOf(response, names.requestId)
  if (echoed !== undefined && echoed !== requestId) return reject(`an answer to another request (${echoed})`)
  if (headerOf(response, names.notRun) !== undefined || status === misdirectedStatus) return readRefusal(response, options)
  const succeeded = isSuccess(status)
  if (succeeded && (echoed === undefined || headerOf(response, names.seal) === undefined)) return reject(`status ${status} without seal or id`)
  if (response.headers['content-encoding'] !== undefined) return reject('an encoded body')
  if (notRunStatuses.has(status)) return reject(`status ${status} without saying that it has not run`)
  if (succeeded && stream && options.callerResponse.canStream) return await forwardStream(response, status, options)
  if (!isBodyless(status, options) && !options.keptBytes.fits(statedLength(response))) return reject('larger than the process may keep')
  return await bufferResponse(response, status, options)
}

const readRefusal = (response: IncomingMessage, { names, serverId }: AttemptOptions): AttemptResult => {
  const status = response.statusCode ?? 0
  const retryAfter = headerOf(response, names.retryAfter)
  const refuser = headerOf(response, names.serverId)
  // The headers carry the whole refusal; errors in its body don't matter.
  response.on('error', () => {})
  discardBody(response)
  if (status !== misdirectedStatus) return { type: 'not_run', status, retryAfter, cause: 'full' }
  const otherServer = refuser !== undefined && refuser !== serverId
  return { type: 'not_run', status, retryAfter, cause: otherServer ? 'another_server' : 'not_held' }
}

/** Reads and drops the rest of a response. Closes the connection if the body is long or slow. */
const discardBody = (response: IncomingMessage): void => {
  let bytes = 0
  const timer = setTimeout(() => response.destroy(), maxRefusalMs)
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > maxRefusalBytes) response.destroy()
  })
  response.on('close', () => clearTimeout(timer))
}

/** The bytes of a complete response stay counted as kept, until whoever takes it releases them. */
const bufferResponse = (response: IncomingMessage, status: number, options: AttemptOptions): Promise<AttemptResult> => new Promise(resolve => {
  const { keptBytes } = options
  const end = observeEnd(response, status, options)
  const stated = statedLength(response)
  const gathered = gatherBody(keptBytes.fits(stated) ? stated : 0)
  const buffer = keptBytes.startResponse({
    cut: () => response.destroy(new Error('larger than the process may keep')),
    pause: () => {
      response.pause()
      // Resuming the response resumes its connection too, unless all of it has been read.
      if (!response.complete) pauseNow(response.socket)
    },
    resume: () => { response.resume() }
  })
  const broken = (detail: string): void => {
    buffer.discard()
    resolve({ type: 'broken', detail })
  }
  response.on('data', (chunk: Buffer) => {
    gathered.add(chunk)
    buffer.add(chunk.length)
  })
  response.on('error', error => broken(`response body incomplete: ${error.message}`))
  response.on('end', () => {
    if (!response.complete) return broken('response body incomplete')
    const body = gathered.bytes
    const truncation = options.stream && holdsEvents(response, status) ? truncationOf(boundaryOf(body), mayBeEmpty(end, options)) : undefined
    if (truncation !== undefined) return broken(`response body ${truncation}`)
    buffer.complete()
    resolve({ type: 'answer', status, headers: response.rawHeaders, body, end })
  })
  response.on('close', () => broken('connection closed before the end of the response'))
})

/** Whether the body of a response on the route of a stream consists of events. Such a response may lack a content type, errors have others. */
const holdsEvents = (response: IncomingMessage, status: number): boolean => isSuccess(status) || isEventStream(response)

const boundaryOf = (body: Buffer): EventBoundary => {
  const boundary = new EventBoundary()
  boundary.scan(body)
  return boundary
}

/** A stream that nothing delimits may have been broken off right after its head. */
const mayBeEmpty = ({ framed }: ResponseEnd, { resumes }: AttemptOptions): boolean => framed || resumes

/** 0 if none is stated. */
const statedLength = ({ headers }: IncomingMessage): number => Number(headers['content-length'] ?? 0)

const isBodyless = (status: number, { outgoing: { method } }: AttemptOptions): boolean => bodylessStatuses.has(status) || method === 'HEAD'

/** Whether the response has no body, or its headers delimit it. */
const isDelimited = ({ rawHeaders }: IncomingMessage, status: number, options: AttemptOptions): boolean =>
  isBodyless(status, options) || isFramed(rawHeaders)

/** The result is complete once the response has ended. Called as its head is read, so that no end is read along with its first bytes. */
const observeEnd = (response: IncomingMessage, status: number, options: AttemptOptions): ResponseEnd => {
  if (isDelimited(response, status, options)) return { framed: true }
  const end: ResponseEnd = { framed: false, contentType: response.headers['content-type'] }
  const { socket } = response
  readEndApart(socket)
  // Before the listeners of Node, which close their side.
  socket.prependOnceListener('end', () => { end.peerGone = !hasPeer(socket) })
  return end
}

const forwardStream = (response: IncomingMessage, status: number, options: AttemptOptions): Promise<AttemptResult> => new Promise(resolve => {
  const { callerResponse, eventFramer } = options
  const end = observeEnd(response, status, options)
  if (!callerResponse.started) callerResponse.startStream(status, response.rawHeaders)
  const boundary = eventFramer?.boundary ?? new EventBoundary()
  let bytes = 0
  const resume = (): void => { response.resume() }
  const interrupted = (detail: string): void => {
    eventFramer?.discardPartial()
    resolve({ type: 'interrupted', detail })
  }
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (eventFramer === undefined) boundary.scan(chunk)
    if (boundary.partialBytes > maxEventBytes) {
      response.destroy(new Error(`event of more than ${maxEventBytes} bytes`))
      return
    }
    const ready = callerResponse.write(eventFramer === undefined ? chunk : eventFramer.push(chunk), resume)
    if (ready) return
    response.pause()
    // Resuming the response resumes its connection too, unless all of it has been read: then the connection is left as it is for the
    // next request.
    if (!response.complete) pauseNow(response.socket)
  })
  response.on('error', error => interrupted(error.message))
  response.on('end', () => {
    if (!response.complete) return interrupted('response stream incomplete')
    const truncation = truncationOf(boundary, mayBeEmpty(end, options))
    if (truncation !== undefined) return interrupted(`response stream ${truncation}`)
    resolve({ type: 'streamed', status, bytes, end })
  })
  response.on('close', () => interrupted('connection closed before the end of the response stream'))
})
