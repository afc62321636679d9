/**
 * Asks side processes at which software version one stream began, until their answers suffice or the time is up.
 */
import { decideOrigin, type OriginAnswer, type OriginDecision } from '@finchpitch/decisions'
import type { StreamOriginReply } from '@finchpitch/wire'
import type { ReportTarget } from './attempt-reporter.js'

/** The store is read if a domain has not answered by then, as a fraction of the wait. Side processes answer within some ms. */
const proofShare = 1 / 4
/** Interval of trying again to ask those whose connection is not established yet. */
const retryMs = 20

export interface OriginQueryOptions {
  targets: readonly ReportTarget[]
  /** Failure domains that have side processes. */
  domains: number
  /** The version of streams without a record, as this process knows it. */
  unrecorded: string | undefined
  /** Whether the request names the stream, so that a record of it could be found. */
  identified: boolean
  waitMs: number
  /** Reads from the store whether all streams of the service are of one version; resolves to it, `undefined` if that is not known. */
  prove: () => Promise<string | undefined>
  /** Asks the side process at a host. Returns false if there is no connection to it yet. */
  ask: (host: string) => boolean
}

export class OriginQuery {
  /** Domains of the side processes that have not answered, by host. */
  readonly #unanswered: Map<string, string>
  readonly #answers: OriginAnswer[] = []
  #proven: string | undefined
  #hasReadStore = false
  #settle: (decision: OriginDecision) => void = () => {}

  constructor (private readonly options: OriginQueryOptions) {
    this.#unanswered = new Map(options.targets.map(({ host, domain }) => [host, domain]))
  }

  /** Side processes that have answered, of these those that would have a record, and side processes that have not. */
  get counts (): { answers: number, keepers: number, missing: number } {
    return { answers: this.#answers.length, keepers: this.#answers.filter(({ keeps }) => keeps === true).length, missing: this.#unanswered.size }
  }

  async run (): Promise<OriginDecision> {
    const { waitMs, ask } = this.options
    const unasked = new Set(this.#unanswered.keys())
    const askAll = (): void => { for (const host of unasked) if (ask(host)) unasked.delete(host) }
    const retry = setInterval(askAll, retryMs)
    // After the answers that wait in a socket, as when this process has stalled.
    const timer = setTimeout(() => setImmediate(() => this.#decide(true)), waitMs)
    const proof = setTimeout(() => { void this.#prove() }, this.#asksAllDomains ? waitMs * proofShare : 0)
    try {
      return await new Promise<OriginDecision>(resolve => {
        this.#settle = resolve
        askAll()
        this.#decide(this.#isAnswered)
      })
    } finally {
      clearTimeout(timer)
      clearTimeout(proof)
      clearInterval(retry)
    }
  }

  handleAnswer (host: string, reply: StreamOriginReply): void {
    const domain = this.#unanswered.get(host)
    if (domain === undefined) return
    this.#unanswered.delete(host)
    this.#answers.push({ domain, ...reply })
    this.#decide(this.#isAnswered)
  }

  async #prove (): Promise<void> {
    this.#proven = await this.options.prove()
    this.#hasReadStore = true
    this.#decide(this.#isAnswered)
  }

  /** Whether each domain had a side process that responds. */
  get #asksAllDomains (): boolean {
    const { targets, domains } = this.options
    return new Set(targets.map(({ domain }) => domain)).size === domains
  }

  /** Whether no further answers are expected, nor one of the store that matters. */
  get #isAnswered (): boolean {
    if (this.#unanswered.size > 0) return false
    return this.#asksAllDomains || this.#hasReadStore || this.#answers.some(({ recorded }) => recorded !== undefined)
  }

  #decide (complete: boolean): void {
    const { domains, unrecorded, identified } = this.options
    const decision = decideOrigin({ answers: this.#answers, complete, domains, unrecorded, proven: this.#proven, identified })
    if (decision.type !== 'pending') this.#settle(decision)
  }
}
