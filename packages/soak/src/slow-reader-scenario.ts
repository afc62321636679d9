/**
 * Has callers read large responses slowly or not at all, and servers not read large requests. Finds peers that stopped reading and were
 * not cut off in time, slow callers that were, and entries that kept more bytes than their limit allows.
 */
import { request, type IncomingMessage } from 'node:http'
import { pause } from '@finchpitch/core'
import type { FleetSystem } from '@finchpitch/stand-ins'
import type { SeededRandom } from './seeded-random.js'

const prefix = '/slow/'
const largePath = `${prefix}large`
const unreadPath = `${prefix}unread`
/** More than the operating system keeps for a connection between a caller and an entry. */
const responseBytes = 16 * 1024 * 1024
/** More than the operating system keeps for the connections between an entry, a proxy and a server. */
const bodyBytes = 24 * 1024 * 1024
/** A peer that reads nothing for this long is cut off. */
const stallMs = 5000
/** Time in which an entry has to notice that, beyond its check every 500 ms. */
const noticeMs = 2500
/** What an entry may keep before it reads no further body, where no memory limit is set. */
const keptBytesLimit = 64 * 1024 * 1024
/** Bodies that may be read beyond the limit: the one that reached it, and one whose rest is still on its way. */
const bodiesBeyondLimit = 2
const deadlineMs = 10_000
const pollMs = 200
const stepBytes = 2 * 1024 * 1024
const stepPauseMs = 200
const notRunStatus = 503

interface SlowRequest {
  path: string
  body?: Buffer
  /** Reads the response. */
  read: (response: IncomingMessage) => Promise<void>
  /** Called once the body is written, and when the response begins or the request fails. */
  onWritten?: () => void
  /** Called when the response begins or the request fails. */
  onResponse?: () => void
}

interface SlowResult {
  id: string
  status: number
  /** When the response began, or the request ended without one, on the monotonic clock. */
  respondedAt: number
  whole: boolean
}

export class SlowReaderScenario {
  readonly #violations: string[] = []
  #count = 0
  /** Number of peers that were cut off because they did not read. */
  stalled = 0
  /** The most bytes that an entry kept. */
  maxKeptBytes = 0

  constructor (private readonly random: SeededRandom, private readonly log: (line: string) => void) {}

  /** The fleet's options that the scenario needs. */
  static readonly fleetOptions = {
    maxBodyBytes: bodyBytes,
    routes: [{ name: 'r-slow', host: 'fleet.example', pathPrefix: prefix, kind: 'non_idempotent', maxAttempts: 1, timeoutMs: deadlineMs, targetLatencyMs: deadlineMs / 2, priority: 2, service: 'ledger', sticky: false, resumable: false }]
  }

  /** Called without other faults, so that no entry is excused. Resolves once all peers have been cut off or served. */
  async runUndisturbed (fleet: FleetSystem): Promise<void> {
    const entry = this.random.between(0, fleet.entries.length - 1)
    for (const server of fleet.plainServers) Object.assign(server, { largePath, largeBytes: responseBytes, unreadPath })
    const callers = { still: this.random.between(1, 2), steady: 1, uploads: this.random.between(5, 6) }
    this.log(`entry ${entry} serves ${callers.still} callers that do not read and ${callers.steady} that read slowly, and sends ${callers.uploads} bodies to servers that do not read`)
    const stop = new AbortController()
    const polling = this.#pollKeptBytes(fleet, entry, stop.signal)
    const runs: Array<Promise<void>> = []
    // Only bodies wait for room, so what is kept for responses has to be there before them.
    const begun = Array.from({ length: callers.still + callers.steady }, async (_, each) => await new Promise<void>(resolve => {
      runs.push(each < callers.still ? this.#readNothing(fleet, entry, resolve) : this.#readSteadily(fleet, entry, resolve))
    }))
    await Promise.all(begun)
    await Promise.all([...runs, this.#upload(fleet, entry, callers.uploads)])
    stop.abort()
    await polling
  }

  violations (): string[] {
    const bound = keptBytesLimit + bodiesBeyondLimit * bodyBytes
    return this.maxKeptBytes <= bound ? this.#violations : [...this.#violations, `an entry kept ${this.maxKeptBytes} bytes; at most ${bound} are allowed`]
  }

  async #pollKeptBytes (fleet: FleetSystem, entry: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const metrics = await (await fetch(fleet.metricsUrl(entry))).text()
      const values = [...metrics.matchAll(/^finchpitch_bytes_kept\{.*\} (\S+)$/gm)].map(match => Number(match[1]))
      if (values.length === 0) throw new Error('the entry reports no bytes kept')
      this.maxKeptBytes = Math.max(this.maxKeptBytes, values.reduce((sum, value) => sum + value, 0))
      await pause(pollMs)
    }
  }

  /** A caller that reads nothing of its response. */
  async #readNothing (fleet: FleetSystem, entry: number, onResponse: () => void): Promise<void> {
    const cutOff = async (id: string): Promise<boolean> => {
      const until = performance.now() + stallMs + noticeMs
      const isCut = (): boolean => fleet.entries[entry]?.output.some(line => line.includes('"caller.stalled"') && line.includes(`"${id}"`)) === true
      while (!isCut() && performance.now() < until) await pause(pollMs)
      return isCut()
    }
    let wasCut = false
    const read = async (response: IncomingMessage): Promise<void> => {
      wasCut = await cutOff(String(response.headers['request-id']))
      response.resume()
    }
    const { id, status, whole } = await this.#send(fleet, entry, { path: largePath, read, onResponse })
    if (status !== 200) return
    if (!wasCut) this.#violations.push(`${id} was not cut off, although its caller read nothing for ${stallMs + noticeMs} ms`)
    else if (whole) this.#violations.push(`${id} was logged as cut off, but its response is complete`)
    else this.stalled += 1
  }

  /** A caller that reads its response slowly, but without long pauses. */
  async #readSteadily (fleet: FleetSystem, entry: number, onResponse: () => void): Promise<void> {
    const read = async (response: IncomingMessage): Promise<void> => {
      let bytes = 0
      response.on('data', (chunk: Buffer) => {
        bytes += chunk.length
        if (bytes < stepBytes) return
        bytes = 0
        response.pause()
        setTimeout(() => response.resume(), stepPauseMs)
      })
    }
    const { id, status, whole } = await this.#send(fleet, entry, { path: largePath, read, onResponse })
    if (status === 200 && !whole) this.#violations.push(`${id} was cut off, although its caller read ${stepBytes} bytes every ${stepPauseMs} ms`)
  }

  /** Sends large bodies one after another to servers that do not read them. */
  async #upload (fleet: FleetSystem, entry: number, count: number): Promise<void> {
    const body = Buffer.alloc(bodyBytes)
    const uploads: Array<Promise<void>> = []
    for (let each = 0; each < count; each++) {
      await new Promise<void>(resolve => {
        const sent = this.#send(fleet, entry, { path: unreadPath, body, read: async response => { response.resume() }, onWritten: resolve })
        uploads.push(sent.then(result => this.#checkUpload(fleet, result)))
      })
      await pause(pollMs)
    }
    await Promise.all(uploads)
  }

  #checkUpload (fleet: FleetSystem, { id, status, respondedAt }: SlowResult): void {
    const arrivals = fleet.plainServers.flatMap(server => server.arrivals).filter(arrival => arrival.id === id)
    const [first] = arrivals
    if (first === undefined) return
    const ms = Math.round(respondedAt - first.at)
    if (arrivals.length > 1) this.#violations.push(`${id} reached servers ${arrivals.length} times, although it may run only once`)
    if (status === notRunStatus) this.#violations.push(`${id} was answered as not run, but reached a server`)
    if (ms > stallMs + noticeMs) this.#violations.push(`${id} was not ended until ${ms} ms after it reached a server that did not read it`)
    else this.stalled += 1
  }

  /** Sends a request on a connection of its own. */
  async #send (fleet: FleetSystem, entry: number, { path, body, read, onWritten, onResponse }: SlowRequest): Promise<SlowResult> {
    const id = `slow-${this.#count++}`
    const result = { id, status: 0, respondedAt: Infinity, whole: false }
    await new Promise<void>(resolve => {
      const finish = (whole: boolean): void => {
        result.whole = whole
        result.respondedAt = Math.min(result.respondedAt, performance.now())
        onWritten?.()
        onResponse?.()
        resolve()
      }
      const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': String(deadlineMs), 'content-length': body?.length ?? 0 }
      const outgoing = request({ ...fleet.callerAddress(entry), agent: false, method: 'POST', path, headers }, response => {
        result.status = response.statusCode ?? 0
        result.respondedAt = performance.now()
        response.on('end', () => finish(response.complete))
        response.on('error', () => finish(false))
        onWritten?.()
        onResponse?.()
        read(response).catch(() => finish(false))
      })
      outgoing.on('finish', () => onWritten?.())
      outgoing.on('error', () => finish(false))
      outgoing.end(body)
    })
    return result
  }
}
