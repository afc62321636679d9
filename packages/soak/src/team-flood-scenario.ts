/**
 * Has a team send requests within its quota and several times beyond it, to one entry or to all, concurrently with all other faults, and
 * finds windows in which more of its tokens reached the servers than its quota allows over all entries.
 */
import { Agent } from 'node:http'
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import { defaultRemainingMs, isEnginePath, paths, randomModel, send, type RequestResult } from './caller.js'
import type { SeededRandom } from './seeded-random.js'

const windowMs = 8000
/** The share by which a team may exceed its quota in a window, in addition to the slack. */
const overage = 0.1
const teamKey = 'flood-key'
/** Requests per second that use the quota up, so that floods at any rate take the same number of requests. */
const requestsPerQuota = 12
/** Loads as multiples of the quota, and how long they last. */
const phases = [
  { loads: [0.5, 0.9], minMs: 400, maxMs: 1500 },
  { loads: [2, 3, 6.5], minMs: 2000, maxMs: windowMs + 2000 }
]
/** Callers wait at most this share of their remaining time before they retry. */
const maxReturnShare = 1 / 3
/** Number of times that callers retry at once if they ignore Retry-After. */
const impatientRetries = 3
/** Connections to each entry. */
const maxConnections = 100
const overQuotaStatus = 429
const refusals: ReadonlySet<number> = new Set([overQuotaStatus, 503])

/** A request of the team, which its caller may send several times under different ids. */
interface TeamRequest {
  path: string
  /** Index of the entry that receives each attempt. */
  entries: readonly number[]
  tokens: number
  headers: Record<string, string>
  /** Whether the caller ignores Retry-After. */
  impatient: boolean
}

export class TeamFloodScenario {
  readonly #perSecond: number
  readonly #burst: number
  readonly #slack: number
  /** The tokens of each request that was sent, by its id. */
  readonly #tokens = new Map<string, number>()
  readonly #results: RequestResult[] = []

  constructor (private readonly random: SeededRandom, private readonly log: (line: string) => void) {
    this.#perSecond = random.pick([2000, 8000, 40_000])
    this.#burst = this.#perSecond * random.pick([0, 0.5, 1])
    this.#slack = this.#perSecond * random.pick([0.5, 2.5])
  }

  /** The settings of the fleet's processes that bound quotas. */
  get bounds (): Record<string, number> {
    return { quotaWindowS: windowMs / 1000, quotaOverage: overage, quotaSlack: this.#slack }
  }

  /** The team as the routing table lists it. */
  get tenant (): unknown {
    return { name: 'flood', apiKeys: [teamKey], unit: 'tokens', plainTokens: this.#meanTokens, ratePerS: this.#perSecond, burst: this.#burst }
  }

  /** Sends the team's requests until `signal` aborts. Resolves with the responses once all have ended. */
  async run (fleet: FleetSystem, signal: AbortSignal): Promise<readonly RequestResult[]> {
    const agents = fleet.entries.map(() => new Agent({ keepAlive: true, maxSockets: maxConnections }))
    const calls: Array<Promise<void>> = []
    for (let count = 0; !signal.aborted; count++) {
      const { loads, minMs, maxMs } = phases[count % phases.length] ?? this.random.pick(phases)
      const load = this.random.pick(loads)
      const entries = this.random.chance(50) ? [...fleet.entries.keys()] : [this.random.between(0, fleet.entries.length - 1)]
      const endsAt = performance.now() + this.random.between(minMs, maxMs)
      this.log(`the team sends ${load} times its quota of ${this.#perSecond} tokens per second to entries ${entries.join(' ')}`)
      while (performance.now() < endsAt && !signal.aborted) {
        calls.push(this.#call(fleet, agents, this.#draw(entries)))
        await pause(1000 / requestsPerQuota / load)
      }
    }
    await Promise.all(calls)
    for (const agent of agents) agent.destroy()
    return this.#results
  }

  get overQuota (): number {
    return this.#results.filter(({ status }) => status === overQuotaStatus).length
  }

  /** The most tokens that reached the servers in any window, as a share of what the quota allows. */
  quotaShare (servers: readonly BackendStandIn[]): number {
    return Math.max(0, ...this.#windows(servers)) / this.#allowed
  }

  violations (servers: readonly BackendStandIn[]): string[] {
    const used = Math.max(0, ...this.#windows(servers))
    return used <= this.#allowed ? [] : [`the team used ${used} tokens within ${windowMs} ms; at most ${Math.round(this.#allowed)} are allowed`]
  }

  get #meanTokens (): number {
    return Math.round(this.#perSecond / requestsPerQuota)
  }

  get #allowed (): number {
    return (this.#perSecond * windowMs / 1000 + this.#burst) * (1 + overage) + this.#slack
  }

  #draw (entries: readonly number[]): TeamRequest {
    const { random } = this
    const path = random.pick(paths)
    const statesTokens = isEnginePath(path) || random.chance(30)
    const tokens = statesTokens ? Math.round(this.#meanTokens * random.between(20, 180) / 100) : this.#meanTokens
    const headers = {
      authorization: `Token ${teamKey}`,
      ...(statesTokens ? { 'token-usage': `${tokens - Math.round(tokens / 10)},${Math.round(tokens / 10)}` } : {}),
      ...(isEnginePath(path) ? randomModel(random) : {})
    }
    const attemptEntries = Array.from({ length: 1 + impatientRetries }, () => random.pick(entries))
    return { path, entries: attemptEntries, tokens, headers, impatient: random.chance(10) }
  }

  /** Sends the request, and sends it again if it is refused: once when told, or several times at once. */
  async #call (fleet: FleetSystem, agents: readonly Agent[], { path, entries, tokens, headers, impatient }: TeamRequest): Promise<void> {
    const endsAt = performance.now() + defaultRemainingMs
    for (const entry of impatient ? entries : entries.slice(0, 2)) {
      const id = `flood-${this.#tokens.size}`
      this.#tokens.set(id, tokens)
      const remainingMs = Math.round(endsAt - performance.now())
      const result = await send(fleet, agents, { id, path, entry, remainingMs, headers })
      this.#results.push(result)
      const remainingAfterMs = endsAt - performance.now()
      if (!refusals.has(result.status) || remainingAfterMs < 1) return
      if (!impatient) await pause(Math.min(result.retryAfterMs, remainingAfterMs * maxReturnShare))
    }
  }

  /** The tokens used in each window that begins with a request. A request counts once, when it first reaches a server. */
  #windows (servers: readonly BackendStandIn[]): number[] {
    const firstAt = new Map<string, number>()
    for (const { id, at } of servers.flatMap(server => server.arrivals)) firstAt.set(id, Math.min(at, firstAt.get(id) ?? Infinity))
    const uses = [...firstAt].flatMap(([id, at]) => this.#tokens.has(id) ? [{ at, tokens: this.#tokens.get(id) ?? 0 }] : [])
    return uses.map(first => uses.reduce((sum, { at, tokens }) => at >= first.at && at < first.at + windowMs ? sum + tokens : sum, 0))
  }
}
