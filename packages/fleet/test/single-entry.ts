/**
 * An entry process without peers, between callers and backend servers on loopback that write whatever bytes a test wants.
 *
 * Time is faked and advances by itself: the clock that detects suspensions of the machine is shared by all tests of a process, and would
 * take the change between the time of these tests and the faked time of others for one.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Log, pause } from '@finchpitch/core'
import { EntryProcess, Facts, type EntryProcessOptions, type KeptKind, type Limits, type Route } from '@finchpitch/fleet'
import { headerNames } from '@finchpitch/platform'
import { FakeTime } from '@finchpitch/stand-ins'

export interface LogLine { event: string, [field: string]: unknown }

export interface CallerResult {
  text: string
  /** The connection was reset, so that what was read is known to be incomplete. */
  reset: boolean
}

export interface SendOptions {
  id?: string
  remainingMs?: number
  headers?: Record<string, string>
  method?: string
  /** Of HTTP. */
  version?: string
  /** Time until the caller begins to read. */
  readAfterMs?: number
}

/** A server that answers each request with the bytes that `answer` writes. */
export type RawAnswer = (socket: Socket, requestId: string) => void

const route = (name: string, more: Partial<Route> = {}): Route => ({
  name, host: 'h', pathPrefix: `/${name}/`, kind: 'once', timeoutMs: 10_000, objectiveMs: 1000, priority: 1, maxAttempts: 1, resumable: false, targets: [{ service: 'plain', weight: 1 }], ...more
})
const routes = [
  route('plain'),
  route('again', { kind: 'repeatable', maxAttempts: 2 }),
  route('stream', { kind: 'stream' }),
  route('resume', { kind: 'stream', resumable: true, maxAttempts: 2 })
]

const healthPath = '/health'

/** Both ends of a connection on loopback close within this time. */
const closeMs = 50
const endOfHead = '\r\n\r\n'

export class SingleEntry {
  readonly lines: LogLine[] = []
  /** Ids of servers that accept connections, but do not answer health checks. */
  readonly silentServers = new Set<string>()
  readonly facts: Facts
  readonly limits: Limits = { graceMs: 8000, drainMs: 2000, versionMs: 5000, retryRatio: 10, retryWindowMs: 10_000, retrySlack: 0, loadWindowMs: 5000, loadOverage: 1, quotaWindowMs: 8000, quotaOverage: 0, quotaSlack: 0 }
  readonly #entry: EntryProcess
  readonly #servers: Server[] = []
  readonly #sockets = new Set<Socket>()
  readonly #addresses = new Map<string, string>()
  readonly #callerSockets = new Set<Socket>()
  readonly #time = new FakeTime(undefined, { followsRealTime: true })
  #revision = 1

  constructor () {
    const log = new Log('single-entry', {}, 'info', { write: line => { this.lines.push(JSON.parse(line) as LogLine) } })
    this.facts = new Facts(log, () => 1000)
    const unused = {} as EntryProcessOptions['channel']
    this.#entry = new EntryProcess({ process: 'e', domain: 'a', sidePort: 1, seeds: () => [], ownPeerAddress: '', sources: [], facts: this.facts, headerNames, limits: () => this.limits, channel: unused, dial: () => Promise.reject(new Error('no peers')), log })
  }

  async start (): Promise<void> {
    this.#entry.server.on('connection', (socket: Socket) => {
      this.#callerSockets.add(socket)
      socket.on('close', () => this.#callerSockets.delete(socket))
    })
    this.#entry.server.listen(0, '127.0.0.1')
    await once(this.#entry.server, 'listening')
    this.#offer('table', 'table', { version: 1, routes, services: [{ name: 'plain', maxConnections: 100, healthPath }], limits: { headerBytes: 10_000, bodyBytes: 1_000_000, headerTimeoutMs: 60_000, idleTimeoutMs: 60_000 } })
  }

  /** Where callers connect. */
  get address (): { host: string, port: number } {
    return { port: (this.#entry.server.address() as AddressInfo).port, host: '127.0.0.1' }
  }

  /** Starts a server and lists it. */
  async addServer (id: string, answer: RawAnswer): Promise<Server> {
    const server = await this.#listen(id, answer, 0)
    this.#addresses.set(id, `127.0.0.1:${(server.address() as AddressInfo).port}`)
    this.#list(id, false)
    return server
  }

  /** Starts another server at the address of one that is closed. Connections of the former one stay open. */
  async replaceServer (former: Server, id: string): Promise<Server> {
    const { port } = former.address() as AddressInfo
    former.close()
    return await this.#listen(id, () => {}, port)
  }

  async #listen (id: string, answer: RawAnswer, port: number): Promise<Server> {
    const server = createServer(socket => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('data', chunk => {
        const head = chunk.toString('latin1')
        const requestId = /\r\nrequest-id: ([^\r]*)/i.exec(head)?.[1]
        if (requestId !== undefined) answer(socket, requestId)
        else if (head.startsWith(`GET ${healthPath} `) && !this.silentServers.has(id)) socket.write(`HTTP/1.1 200 OK\r\ninstance-id: ${id}\r\ncontent-length: 0${endOfHead}`)
      })
    })
    server.listen(port, '127.0.0.1')
    await once(server, 'listening')
    this.#servers.push(server)
    return server
  }

  /** Lists the server as draining. */
  drainServer (id: string): void {
    this.#list(id, true)
  }

  removeServer (id: string): void {
    this.#offer('server', id, undefined)
  }

  /** Closes the server and all its connections, as a crash does. */
  crash (server: Server): void {
    server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  /** Closes the connections of callers in order, as the operating system does for a process that is killed. */
  endCallerConnections (): void {
    for (const socket of this.#callerSockets) socket.end()
  }

  /** Sends a request over a connection of its own and reads until that ends. */
  async send (path: string, options: SendOptions = {}): Promise<CallerResult> {
    return await sendRaw(this.address, path, { host: 'h' }, options)
  }

  linesOf (event: string): LogLine[] {
    return this.lines.filter(line => line.event === event)
  }

  async keptBytes (kind: KeptKind): Promise<number> {
    const { values } = await this.#entry.counters.registry.getSingleMetric('finchpitch_bytes_kept')?.get() ?? { values: [] }
    return values.find(({ labels }) => labels.kind === kind)?.value ?? NaN
  }

  /** Resolves once all connections have closed, so that none of their timers is left for a test that replaces the clock. */
  async stop (): Promise<void> {
    this.#entry.server.close()
    this.#entry.server.closeAllConnections()
    for (const server of this.#servers) server.close()
    for (const socket of this.#sockets) socket.destroy()
    await pause(closeMs)
    this.#time.restore()
  }

  #list (id: string, leaving: boolean): void {
    this.#offer('server', id, { id, service: 'plain', address: this.#addresses.get(id), domain: 'a', slots: 8, leaving, models: [] })
  }

  #offer (kind: 'table' | 'server', key: string, value: unknown): void {
    this.facts.offer({ kind, key, revision: this.#revision++, value } as Parameters<Facts['offer']>[0], 'store')
  }
}

/** Sends a request over a connection of its own and reads until that ends. */
export const sendRaw = async (address: { host: string, port: number }, path: string, ownHeaders: Record<string, string>, options: SendOptions = {}): Promise<CallerResult> => {
  const { id = 'r', remainingMs = 2000, headers = {}, method = 'POST', version = '1.1', readAfterMs = 0 } = options
  const caller = connect(address)
  const fields = { ...ownHeaders, 'request-id': id, 'deadline-ms': remainingMs, connection: 'close', 'content-length': 0, ...headers }
  caller.write(`${method} ${path} HTTP/${version}\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}`).join('\r\n')}${endOfHead}`)
  const chunks: Buffer[] = []
  let reset = false
  await pause(readAfterMs)
  caller.on('data', (chunk: Buffer) => chunks.push(chunk))
  caller.on('error', () => { reset = true })
  await new Promise(resolve => caller.on('close', resolve))
  return { text: Buffer.concat(chunks).toString('latin1'), reset }
}

/** The status of a raw response. */
export const statusOf = ({ text }: CallerResult): number => Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0)

/** The body of a raw response, with any chunks still framed. */
export const bodyOf = ({ text }: CallerResult): string => text.slice(text.indexOf(endOfHead) + endOfHead.length)

export const hasLength = ({ text }: CallerResult): boolean => /\r\ncontent-length: \d/i.test(text)

/** The decoded body of a raw response, and whether a caller takes it for complete. */
export const decodedBodyOf = (result: CallerResult): { body: string, complete: boolean } => {
  const raw = bodyOf(result)
  const length = /\r\ncontent-length: (\d+)/i.exec(result.text)?.[1]
  if (length !== undefined) return { body: raw, complete: raw.length === Number(length) }
  if (!/\r\ntransfer-encoding: chunked/i.test(result.text)) return { body: raw, complete: !result.reset }
  let body = ''
  for (let rest = raw; ;) {
    const [size] = /^[0-9a-f]+\r\n/i.exec(rest) ?? ['']
    const length = parseInt(size, 16)
    const chunk = rest.slice(size.length, size.length + length)
    if (size === '' || chunk.length < length) return { body: body + chunk, complete: false }
    if (length === 0) return { body, complete: true }
    body += chunk
    rest = rest.slice(size.length + length + '\r\n'.length)
  }
}
