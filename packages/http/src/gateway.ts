/**
 * An HTTP server with routes, built on a local `moleculer` broker. The broker's clustering is not used.
 *
 * Routes map "METHOD /path" to a handler. Handlers read the bodies themselves, since those of requests and responses are
 * forwarded unparsed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ConnectionTurns, endUnreadableRequests, newRequestId, notRun, outcomeUnknown } from '@finchpitch/core'
import { ServiceBroker, type Service, type ServiceSchema } from 'moleculer'
import ApiGateway from 'moleculer-web'
import { sendFailure } from './response.js'

export interface Exchange {
  request: IncomingMessage
  response: ServerResponse
  /** Values of the path parameters. */
  params: Record<string, string>
}

export type RouteHandler = (exchange: Exchange) => Promise<void>
export type Routes = Record<string, RouteHandler>

export interface TlsFiles {
  key: string
  cert: string
}

export interface GatewayOptions {
  name: string
  host: string
  port: number
  routes: Routes
  tls?: TlsFiles
}

const closeIdleIntervalMs = 50

interface RoutedRequest extends IncomingMessage {
  $params: Record<string, string>
}

type Alias = (request: RoutedRequest, response: ServerResponse) => Promise<void>

/** Of requests that wait for their turn. The connection of one that exceeds it is closed. */
export const maxUnreadBytes = 32 * 1024 * 1024

let unreadBytes = 0

/** Waits for the request's turn; false if its connection has closed. */
const awaitTurn = async (turns: ConnectionTurns, request: IncomingMessage, response: ServerResponse): Promise<boolean> => {
  const bytes = turns.unreadBytes(request)
  if (unreadBytes + bytes > maxUnreadBytes) request.socket.destroy()
  unreadBytes += bytes
  try {
    return await turns.next(request, response) ?? true
  } finally {
    unreadBytes -= bytes
  }
}

const aliasFor = (handler: RouteHandler, turns: ConnectionTurns): Alias => async (request, response) => {
  if (!await awaitTurn(turns, request, response)) return
  try {
    await handler({ request, response, params: request.$params })
  } catch (error) {
    sendFailure(response, outcomeUnknown('internal', { detail: (error as Error).message }), newRequestId())
  }
}

const noRoute = (request: IncomingMessage, response: ServerResponse): void => {
  request.resume()
  const detail = `${request.method ?? ''} ${(request.url ?? '').split('?')[0] ?? ''}`
  sendFailure(response, notRun('unknown_path', { detail }), newRequestId())
}

export class Gateway {
  readonly #broker: ServiceBroker
  readonly #service: Service
  readonly #turns = new ConnectionTurns()

  constructor (private readonly options: GatewayOptions) {
    this.#broker = new ServiceBroker({
      nodeID: options.name,
      logger: false,
      transporter: null,
      // Otherwise the broker exits the process on SIGTERM, which aborts all requests in progress.
      skipProcessEventRegistration: true
    })
    const aliases = Object.fromEntries(Object.entries(options.routes).map(([path, handler]) => [path, aliasFor(handler, this.#turns)]))
    const schema = {
      name: options.name,
      mixins: [ApiGateway],
      settings: {
        ip: options.host,
        port: options.port,
        https: options.tls ?? null,
        requestTimeout: 0,
        logRequest: null,
        logResponse: null,
        logRequestParams: null,
        logRouteRegistration: null,
        onError: noRoute,
        routes: [{ path: '/', bodyParsers: false, mappingPolicy: 'restrict', mergeParams: true, aliases }]
      }
    }
    this.#service = this.#broker.createService(schema as unknown as ServiceSchema)
    endUnreadableRequests(this.#server, this.#turns)
    this.#turns.keepUnwritten(this.#server)
  }

  async start (): Promise<void> {
    await this.#broker.start()
  }

  /** The port that the server listens on, also if the operating system assigned it. */
  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** Stops accepting connections and waits for the requests in progress. */
  async drain (): Promise<void> {
    const server = this.#server
    // Kept-alive connections become idle one by one as their requests end, so idle ones are closed repeatedly.
    const timer = setInterval(() => server.closeIdleConnections(), closeIdleIntervalMs)
    await new Promise<void>(resolve => server.close(() => resolve()))
    clearInterval(timer)
  }

  async stop (): Promise<void> {
    this.#server.closeAllConnections()
    await this.#broker.stop()
  }

  get #server (): import('node:http').Server {
    return (this.#service as unknown as { server: import('node:http').Server }).server
  }
}
