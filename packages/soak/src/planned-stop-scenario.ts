/**
 * Orders an entry to stop, without other faults, while callers keep using its connections: with one request after another, with two at a
 * time, and with bodies that end late in the grace period. Finds requests that reached a server and were not answered, and those that
 * were answered as not run, but ran.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { pause } from '@finchpitch/core'
import type { FleetSystem } from '@finchpitch/stand-ins'
import { defaultRemainingMs, isEnginePath, paths, randomModel, type RequestResult } from './caller.js'
import { checkResponses, notRunStatuses } from './check-results.js'
import type { SeededRandom } from './seeded-random.js'
import { isReady } from './service-watch.js'

const latePaths = ['/stream-late/x', '/once-late/x'] as const
const lateRemainingMs = 14_000
/** The connections of each kind. */
const connections = 8
const lateBodies = 24
/** When heads are sent while the entry still listens, and when their bodies end, in ms after the order. */
const lastHeadMs = 1500
const bodyEnd = { firstMs: 5500, lastMs: 7400 }
/** Work of some duration is still under way when the entry ends. */
const slowdown = 10
/** Time in which the entry learns how long requests take. */
const warmUpMs = 1500
const reconnectMs = 50
const readyMs = 5000
/** Time in which an entry that is ready connects to its side processes. */
const joinMs = 1000

interface Response {
  status: number
  body: string
  closes: boolean
  rest: string
}

/** Returns the first response in the text once it is complete. */
const firstResponse = (text: string): Response | undefined => {
  const headEnd = text.indexOf('\r\n\r\n') + 4
  if (headEnd < 4) return undefined
  const head = text.slice(0, headEnd)
  const length = /^content-length: (\d+)/im.exec(head)?.[1]
  const lastChunk = '\r\n0\r\n\r\n'
  // The line before the first chunk may be the last of the head.
  const bodyEnd = length === undefined ? text.indexOf(lastChunk, headEnd - 2) : headEnd + Number(length)
  const end = length === undefined ? bodyEnd + lastChunk.length : bodyEnd
  if (bodyEnd < 0 || text.length < end) return undefined
  const body = length === undefined ? text.slice(headEnd - 2, bodyEnd).replaceAll(/\r\n[\da-f]+\r\n/gi, '') : text.slice(headEnd, bodyEnd)
  return { status: Number(head.slice(9, 12)), body, closes: /^connection: close/im.test(head), rest: text.slice(end) }
}

/** Resolves once all requests have their responses or the connection has ended, with whether it can be used again. */
const readResponses = async (socket: Socket, requests: readonly RequestResult[]): Promise<boolean> => await new Promise(resolve => {
  let text = ''
  let open = true
  const waiting = [...requests]
  const finish = (): void => {
    socket.off('data', read).off('close', finish)
    resolve(open && waiting.length === 0 && !socket.destroyed)
  }
  const read = (chunk: string): void => {
    text += chunk
    for (let response = firstResponse(text); response !== undefined; response = firstResponse(text)) {
      const { status, body, closes, rest } = response
      Object.assign(waiting.shift() ?? {}, { status, body, whole: true, endedAt: performance.now() })
      text = rest
      if (closes) open = false
    }
    if (waiting.length === 0) finish()
  }
  if (socket.destroyed) return finish()
  socket.on('data', read).on('close', finish)
})

const isConnected = async (socket: Socket): Promise<boolean> => await once(socket, 'connect').then(() => true, () => false)

export class PlannedStopScenario {
  readonly #results: RequestResult[] = []
  #entry = 0
  #orderedAt = Infinity
  #isGone = false

  constructor (private readonly fleet: FleetSystem, private readonly random: SeededRandom, private readonly log: (line: string) => void) {}

  /** The routes that the scenario needs. */
  static readonly routes = [
    { name: 'r-stream-late', pathPrefix: '/stream-late/', kind: 'stream', service: 'engines', sticky: true, gapAimMs: 2000 },
    { name: 'r-once-late', pathPrefix: '/once-late/', kind: 'non_idempotent', service: 'ledger', sticky: false }
  ].map(route => ({ host: 'fleet.example', maxAttempts: 1, timeoutMs: lateRemainingMs, targetLatencyMs: 3000, priority: 1, resumable: false, ...route }))

  /** Called without other faults, so that no entry is excused. Resolves once the entry is ready again. */
  async runUndisturbed (): Promise<void> {
    const { fleet, random } = this
    const servers = [...fleet.engines, ...fleet.plainServers]
    const usual = servers.map(server => server.slowdown)
    for (const server of servers) server.slowdown = slowdown
    this.#entry = random.between(0, fleet.entries.length - 1)
    const machine = fleet.entries[this.#entry]
    if (machine === undefined) throw new Error('the fleet has no entries')
    const callers = Array.from({ length: connections }, async () => await Promise.all([this.#keepSending(1), this.#keepSending(2)]))
    await pause(warmUpMs)
    this.log(`${machine.name} is ordered to stop while callers use it`)
    this.#orderedAt = performance.now()
    const bodies = Array.from({ length: lateBodies }, async () => await this.#sendLateBody())
    await fleet.kill(machine, 'SIGTERM')
    this.#isGone = true
    await Promise.all([...callers, ...bodies])
    for (const [index, server] of servers.entries()) server.slowdown = usual[index] ?? 1
    await fleet.startProcess(machine)
    const until = performance.now() + readyMs
    while (!await isReady(fleet, machine) && performance.now() < until) await pause(reconnectMs)
    await pause(joinMs)
  }

  /** Requests that were sent after the order, and those of them that reached a server. */
  get counts (): { sent: number, reached: number } {
    const late = this.#results.filter(({ sentAt }) => sentAt > this.#orderedAt)
    const arrived = this.#arrivedIds()
    return { sent: late.length, reached: late.filter(({ id }) => arrived.has(id)).length }
  }

  violations (): string[] {
    const servers = [...this.fleet.engines, ...this.fleet.plainServers]
    const arrived = this.#arrivedIds()
    const started = new Set(servers.flatMap(server => server.startedIds))
    const afterOrder = (at: number): number => Math.round(at - this.#orderedAt)
    const unanswered = this.#results.filter(({ id, whole }) => !whole && arrived.has(id))
      .map(({ id, path, sentAt }) => `${id} ${path} reached a server, but was not answered; sent ${afterOrder(sentAt)} ms and passed on ${afterOrder(arrived.get(id) ?? 0)} ms after the order to stop`)
    const denied = this.#results.filter(({ id, status }) => notRunStatuses.has(status) && started.has(id))
      .map(({ id, path, status }) => `${id} ${path} was answered with ${status}, as not run, but ran, around a planned stop`)
    return [...unanswered, ...denied, ...checkResponses(this.#results, servers)]
  }

  /** By id, when each request reached a server first. */
  #arrivedIds (): Map<string, number> {
    const arrivals = [...this.fleet.engines, ...this.fleet.plainServers].flatMap(server => server.arrivals)
    return new Map(arrivals.sort((one, other) => other.at - one.at).map(({ id, at }) => [id, at]))
  }

  /** Sends requests, several at once, on a connection and the ones after it until the entry has exited. */
  async #keepSending (atOnce: number): Promise<void> {
    while (!this.#isGone) {
      const socket = this.#connect()
      let isUsable = await isConnected(socket)
      while (isUsable) {
        const requests = Array.from({ length: atOnce }, () => this.#add(this.random.pick([...paths, ...latePaths])))
        socket.write(requests.map(request => `${this.#head(request)}{}`).join(''))
        isUsable = await readResponses(socket, requests)
      }
      socket.destroy()
      await pause(reconnectMs)
    }
  }

  /** Sends a request whose head comes while the entry still listens, and whose body ends when it hardly has time left. */
  async #sendLateBody (): Promise<void> {
    const { random } = this
    await pause(random.between(0, lastHeadMs))
    const socket = this.#connect()
    if (!await isConnected(socket)) return
    const request = this.#add(random.pick(latePaths))
    socket.write(`${this.#head(request)}{`)
    const answered = readResponses(socket, [request])
    await pause(Math.max(0, this.#orderedAt + random.between(bodyEnd.firstMs, bodyEnd.lastMs) - performance.now()))
    if (!socket.destroyed) socket.write('}')
    await answered
    socket.destroy()
  }

  #connect (): Socket {
    return connect(this.fleet.callerAddress(this.#entry)).setEncoding('latin1').on('error', () => {})
  }

  #add (path: string): RequestResult {
    const request = { id: `stop-${this.#results.length}`, path, entry: this.#entry, sentAt: performance.now(), endedAt: Infinity, server: '', status: 0, retryAfterMs: 0, body: '', whole: false }
    this.#results.push(request)
    return request
  }

  /** The head of a request with a body of two bytes. */
  #head ({ id, path }: RequestResult): string {
    const remainingMs = path.includes('-late') ? lateRemainingMs : defaultRemainingMs
    const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': remainingMs, 'content-length': 2, ...(isEnginePath(path) ? randomModel(this.random) : {}) }
    return `POST ${path} HTTP/1.1\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
  }
}
