/**
 * The recent response time of one server, and the choice among servers by it.
 *
 * Handles servers that slow down for a fraction of a second, and servers whose load comes from many processes that don't know of
 * each other: the count of own requests says nothing there, but response times do.
 */

/** Weight of a response that is slower than the current value, and of one that is quicker: a slowdown shows in two responses. */
const slowerWeight = 0.5
const quickerWeight = 0.2
/** Weight of a response in the long-term average, to which the value returns without further responses. */
const usualWeight = 0.05
/** Half-life of the difference from the long-term average, so that a server that was avoided is tried again within a second. */
const decayHalfLifeMs = 250
/** Response time that a refusal counts as: about that of a server with a full queue. */
const refusalMs = 250
/** A server is slow if its response time is over this multiple of the least. Response times of healthy servers differ less. */
const slowRatio = 2

export class ResponsePace {
  #usualMs: number | undefined
  /** Difference from the long-term average, at `#updatedAt`. */
  #excessMs = 0
  #updatedAt = 0

  /** The recent response time; `undefined` before the first response. */
  at (now: number): number | undefined {
    return this.#usualMs === undefined ? undefined : this.#usualMs + this.#excessMs * 0.5 ** ((now - this.#updatedAt) / decayHalfLifeMs)
  }

  record (ms: number, now: number): void {
    const before = this.at(now) ?? ms
    this.#usualMs = this.#usualMs === undefined ? ms : this.#usualMs + usualWeight * (ms - this.#usualMs)
    this.#setTo(before + (ms > before ? slowerWeight : quickerWeight) * (ms - before), now)
  }

  /** The server refused a request because it is full. */
  recordRefusal (now: number): void {
    this.#usualMs ??= refusalMs
    this.#setTo(Math.max(this.at(now) ?? 0, refusalMs), now)
  }

  #setTo (ms: number, now: number): void {
    this.#excessMs = ms - (this.#usualMs ?? ms)
    this.#updatedAt = now
  }
}

/** A server that a request may be sent to. */
export interface PacedServer {
  /** Recent response time; absent if unknown. */
  responseMs?: number | undefined
  /** Own requests in progress there. */
  load: number
}

const leastResponseMs = (servers: readonly PacedServer[]): number => servers.reduce((least, { responseMs = Infinity }) => Math.min(least, responseMs), Infinity)

/** The servers that are not slow compared with the quickest one. */
export const quickServers = <T extends PacedServer>(servers: readonly T[]): readonly T[] => {
  const limit = leastResponseMs(servers) * slowRatio
  return servers.every(({ responseMs = 0 }) => responseMs <= limit) ? servers : servers.filter(({ responseMs = 0 }) => responseMs <= limit)
}

/**
 * The one of two servers drawn at random that is expected to respond first. Many processes that all picked the best of all servers
 * would send to the same one until its response times rise. `extraMs`: added to a server's delay.
 */
export const quickerOfTwo = <T extends PacedServer>(servers: readonly T[], extraMs: (server: T) => number, random: () => number): T | undefined => {
  const first = Math.floor(random() * servers.length)
  const second = (first + 1 + Math.floor(random() * (servers.length - 1))) % servers.length
  const [a, b] = [servers[first], servers[second]]
  if (a === undefined || b === undefined) return a ?? b
  const least = leastResponseMs(servers)
  const delayMs = (server: T): number => (server.responseMs ?? (least === Infinity ? 0 : least)) * (server.load + 1) + extraMs(server)
  return delayMs(b) < delayMs(a) ? b : a
}
