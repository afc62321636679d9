/**
 * The body of a response, which throws at its end if it is truncated.
 *
 * A response without a length or chunks ends with its connection, which the operating system closes in order also where the backend
 * server is killed. It is complete only if the server is known to be there then.
 */
import { ResponseError, acceptsConnections, isFinalStatus, outcomeUnknown } from '@finchpitch/core'
import type { Dispatcher } from 'undici'

const defaultPorts: Record<string, number> = { 'http:': 80, 'https:': 443 }
const lastCodingIsChunked = /(^|,)\s*chunked\s*$/i
const bodylessStatuses = new Set([204, 304])

/** Whether the server that sent a response is still there. */
export type PresenceCheck = () => Promise<boolean>

/** The body of a response to a request with this method. */
export const completeBody = (response: Dispatcher.ResponseData, method: string, isPresent: PresenceCheck): AsyncGenerator<Uint8Array> =>
  reportTruncation(endsWithConnection(method, response) ? confirmEnd(response.body, isPresent) : response.body)

/** Throws if the response has a status that no final response has. */
export const requireFinalStatus = ({ statusCode, body }: Dispatcher.ResponseData): void => {
  if (isFinalStatus(statusCode)) return
  body.on('error', () => {}).destroy()
  throw new Error(`status ${statusCode}, which no final response has`)
}

/** For a server that states no id: another process at its origin can't be told from it. */
export const listensAt = (origin: string): PresenceCheck => async () => await acceptsConnections(addressOf(origin))

/** Passes a body through. If its connection is lost before its end, throws an error that says that it is truncated. */
async function * reportTruncation (body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } catch (error) {
    throw new ResponseError(outcomeUnknown('answer_cut', { detail: (error as Error).message }))
  }
}

/** Whether the body of a response ends with its connection, as also with any transfer coding but chunks. */
const endsWithConnection = (method: string, { statusCode, headers }: Dispatcher.ResponseData): boolean => {
  if (method === 'HEAD' || bodylessStatuses.has(statusCode)) return false
  const codings = headers['transfer-encoding']
  return codings === undefined ? headers['content-length'] === undefined : !lastCodingIsChunked.test(String(codings))
}

/** Passes a body through that ends with its connection. Throws at its end if the server may have ended too. */
async function * confirmEnd (body: AsyncIterable<Uint8Array>, isPresent: PresenceCheck): AsyncGenerator<Uint8Array> {
  yield * body
  if (!await isPresent()) throw new Error('the server is not known to be there after a response without a length')
}

/** `host:port`. */
const addressOf = (origin: string): string => {
  const { hostname, port, protocol } = new URL(origin)
  return `${hostname}:${port === '' ? defaultPorts[protocol] ?? 80 : port}`
}
