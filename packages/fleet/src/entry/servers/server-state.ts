/**
 * What an entry knows of one backend server from its own requests, and of an engine also from the reports of its side process.
 */
import type { Agent } from 'node:http'
import { OutlierDetector, ResponsePace, ServerBackoff, hashOf, type OutlierLimits, type Pace, type PaceSums } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import { createServerAgent } from './server-agent.js'
import { PrefillRate } from './prefill-rate.js'

/** Three failures in a row, or a failure rate of 0.4 over some ten requests, are far above what healthy servers show (0.14). */
const outlierLimits: OutlierLimits = { inRow: 3, share: 0.4, least: 8, firstMs: 600, limitMs: 4000 }

/** Load added to a server for each refusal, as it is fuller than was thought. */
const refusalLoad = 2
/** How long it is added: about as long as a request runs, as a plain server never reports that it has capacity again. */
const refusalMs = 250

/** The last report of an engine by its side process. */
export interface EngineReport {
  /** When it arrived, on the monotonic clock. */
  at: number
  reachable: boolean
  /** Loaded keys and their versions. */
  held: ReadonlyMap<string, number>
  /** Keys that are being loaded. */
  coming: ReadonlySet<string>
  waiting: number
  running: number
  /** Prompt tokens of requests from other entries that the engine has not prefilled yet. */
  unread: number
  /** Adapters that the engine could load; `undefined` if its side process has not reported it. */
  room?: number | undefined
  /** Expected time until one more demand gets a slot, while there is no room. */
  slotMs?: number
  /** Its pace as measured by all entries; `undefined` if unknown. */
  pace?: Pace | undefined
}

/** A request that is about to be sent. */
export interface RequestStart {
  key: string | undefined
  /** How long the server may take to send its first byte before it counts as unresponsive. */
  patienceMs: number
  /** Prompt length in tokens; 0 if it has no prompt. */
  tokens: number
  priority: number
}

/** A request in progress at a server. */
export interface PendingRequest {
  sentAt: number
  /** Prompt length in tokens, and the tokens ahead of it that were not prefilled yet. */
  tokens: number
  tokensAhead: number
  priority: number
  /** How long the server may take to send its first byte before it counts as unresponsive. */
  patienceMs: number
  firstByteAt?: number
}

/** `urgent`: the last use of an adapter has ended at an engine without room, where demands may wait for its slot. */
export type UsesListener = (id: string, urgent?: boolean) => void

export class ServerState {
  readonly agent: Agent
  readonly outlier = new OutlierDetector(outlierLimits)
  readonly backoff = new ServerBackoff()
  /** Response times of a plain server. */
  readonly pace = new ResponsePace()
  readonly #pending = new Set<PendingRequest>()
  readonly #awaitingFirstByte = new Set<PendingRequest>()
  readonly hash: number
  /** Requests in progress per adapter, and those started since the last report to its side process. */
  readonly uses = new Map<string, { started: number, running: number }>()
  engineReport: EngineReport | undefined
  /** Requests sent since the last report. */
  #sentSinceReport = 0
  /** Prompt tokens of own requests that the server has not prefilled yet. */
  #ownUnread = 0
  /** What was observed of its pace since the last report to its side process. */
  #observed: [promptTokens: number, prefillMs: number, outputTokens: number, runMs: number] = [0, 0, 0, 0]
  #assumedPace: Pace | undefined
  /** Tokens not prefilled yet, as last computed; `at` is the time that they were computed for. */
  readonly #unreadFigure = { at: -Infinity, value: 0 }
  /** The same for the prefill time per token, by priority. */
  readonly #prefillFigures = new Map<number, { at: number, value: number }>()
  readonly #prefillRate = new PrefillRate()
  /** Engines prefill the prompts of urgent requests first, so each priority has a prefill rate of its own. */
  readonly #ratesByPriority = new Map<number, PrefillRate>()
  #refusedLoad = 0
  #refusedUntil = -Infinity

  /** `onUsesChange`: called when its adapter use changes, which has to be reported to its side process. */
  constructor (readonly id: string, maxConnections: number, private readonly onUsesChange: UsesListener = () => {}, readonly bornAt?: number) {
    this.hash = hashOf(id)
    this.agent = createServerAgent(maxConnections)
  }

  /** Applies the limit of the routing table, which may arrive after the server was registered. */
  limitConnections (maxConnections: number): void {
    this.agent.maxSockets = maxConnections
    this.agent.maxFreeSockets = maxConnections
  }

  get inFlight (): number {
    return this.#pending.size
  }

  /** Requests in progress or queued at the server, as reported and sent since; at least the own ones. */
  get load (): number {
    return this.loadAt(nowMs())
  }

  loadAt (now: number): number {
    const reported = this.engineReport === undefined ? 0 : this.engineReport.running + this.engineReport.waiting
    const refused = now < this.#refusedUntil ? this.#refusedLoad : 0
    return Math.max(this.#pending.size, reported + this.#sentSinceReport) + refused
  }

  /** Records that it refused a request because it is full. */
  recordRefusal (): void {
    const now = nowMs()
    if (now >= this.#refusedUntil) this.#refusedLoad = 0
    this.#refusedLoad += refusalLoad
    this.#refusedUntil = now + refusalMs
    this.pace.recordRefusal(now)
  }

  /** Prompt tokens of own requests that the server has not prefilled yet. */
  get unread (): number {
    return this.#ownUnread
  }

  /** Estimated time to the first token of a request with so many prompt tokens, if it were sent now. */
  expectedMs (tokens: number, priority: number, now: number): number {
    return (this.#unreadTokensAt(now) + tokens) * this.#msPerTokenOf(priority, now)
  }

  /** Its pace as published, or the mean of its service's engines; `undefined` while these are about equally quick. */
  get assumedPace (): Pace | undefined {
    return this.#assumedPace
  }

  assumePace (pace: Pace | undefined): void {
    if (pace === this.#assumedPace) return
    this.#assumedPace = pace
    this.#forgetFigures()
  }

  /** Called when what the figures are computed from changes. */
  #forgetFigures (): void {
    this.#unreadFigure.at = -Infinity
    for (const figure of this.#prefillFigures.values()) figure.at = -Infinity
  }

  #msPerTokenOf (priority: number, now: number): number {
    let figure = this.#prefillFigures.get(priority)
    if (figure === undefined) this.#prefillFigures.set(priority, figure = { at: -Infinity, value: 0 })
    if (figure.at === now) return figure.value
    figure.at = now
    figure.value = this.#msPerToken(this.#rateOf(priority), now)
    return figure.value
  }

  #msPerToken (rate: PrefillRate, now: number): number {
    return this.#assumedPace === undefined ? rate.msPerToken(now) : rate.msPerToken(now, this.#assumedPace.prefillMs / 1000)
  }

  /** Expected time from the first to the last of so many output tokens; 0 while the engines of its service are about equally quick. */
  runMs (outputTokens: number): number {
    return outputTokens * (this.#assumedPace?.tokenMs ?? 0)
  }

  #rateOf (priority: number): PrefillRate {
    const known = this.#ratesByPriority.get(priority)
    if (known !== undefined) return known
    const rate = new PrefillRate()
    this.#ratesByPriority.set(priority, rate)
    return rate
  }

  /**
   * All prompt tokens that the server has not prefilled yet. It is assumed to have prefilled those of other entries since the last
   * report, at its usual rate.
   */
  #unreadTokensAt (now: number): number {
    const { engineReport } = this
    if (engineReport === undefined || engineReport.unread === 0) return this.#ownUnread
    const figure = this.#unreadFigure
    if (figure.at === now) return figure.value
    const prefilledSince = Math.max(0, now - engineReport.at) / this.#msPerToken(this.#prefillRate, now)
    figure.at = now
    figure.value = this.#ownUnread + Math.max(0, engineReport.unread - prefilledSince)
    return figure.value
  }

  begin ({ key, patienceMs, tokens, priority }: RequestStart): PendingRequest {
    const now = nowMs()
    const pending = { sentAt: now, patienceMs, tokens, tokensAhead: this.#unreadTokensAt(now), priority }
    this.#ownUnread += tokens
    this.#forgetFigures()
    this.#pending.add(pending)
    this.#awaitingFirstByte.add(pending)
    this.#sentSinceReport += 1
    if (key !== undefined) {
      const uses = this.uses.get(key) ?? { started: 0, running: 0 }
      uses.started += 1
      uses.running += 1
      this.uses.set(key, uses)
      this.onUsesChange(this.id)
    }
    return pending
  }

  /** Records that the first byte of the response arrived. */
  recordFirstByte (pending: PendingRequest): void {
    if (!this.#awaitingFirstByte.delete(pending)) return
    this.#ownUnread -= pending.tokens
    this.#forgetFigures()
    const now = nowMs()
    pending.firstByteAt = now
    if (pending.tokens === 0) return
    this.onUsesChange(this.id)
    const tokens = pending.tokensAhead + pending.tokens
    this.#observed[0] += tokens
    this.#observed[1] += now - pending.sentAt
    this.#prefillRate.add(now - pending.sentAt, tokens, now)
    this.#rateOf(pending.priority).add(now - pending.sentAt, tokens, now)
  }

  /** Records that a stream with at most so many output tokens was received to its end. */
  recordRun ({ firstByteAt }: PendingRequest, outputTokens: number): void {
    if (firstByteAt === undefined || outputTokens === 0) return
    this.#observed[2] += outputTokens
    this.#observed[3] += nowMs() - firstByteAt
  }

  /** Returns what was observed of its pace since the last call; `undefined` if nothing was. */
  takePace (): PaceSums | undefined {
    const observed = this.#observed
    if (observed[0] === 0 && observed[2] === 0) return undefined
    this.#observed = [0, 0, 0, 0]
    return observed
  }

  end (key: string | undefined, pending: PendingRequest): void {
    this.#pending.delete(pending)
    if (this.#awaitingFirstByte.delete(pending)) {
      this.#ownUnread -= pending.tokens
      this.#forgetFigures()
    }
    this.#sentSinceReport = Math.max(0, this.#sentSinceReport - 1)
    if (key === undefined) return
    const uses = this.uses.get(key)
    if (uses !== undefined) uses.running -= 1
    this.onUsesChange(this.id, uses?.running === 0 && this.engineReport?.room === 0)
  }

  /** Response time to expect of a plain server: the recent one, or the age of a request that it has not answered yet, if that is longer. */
  responseMs (now: number): number | undefined {
    const recent = this.pace.at(now)
    const [oldest] = this.#awaitingFirstByte
    return recent === undefined || oldest === undefined ? recent : Math.max(recent, now - oldest.sentAt)
  }

  /** Whether a request has waited for its first byte for longer than its `patienceMs`. */
  isUnresponsive (now: number): boolean {
    if (this.#awaitingFirstByte.size === 0) return false
    for (const pending of this.#awaitingFirstByte) {
      if (now - pending.sentAt > pending.patienceMs) return true
    }
    return false
  }

  applyReport (report: EngineReport): void {
    this.engineReport = report
    this.#sentSinceReport = 0
    this.#forgetFigures()
    this.#refusedUntil = -Infinity
  }

  close (): void {
    this.agent.destroy()
  }
}
