/**
 * Records at which software version streams begin, and finds it for streams that callers take up.
 *
 * What two versions write does not fit together, and a caller may come back to any entry. Records are kept here and, while a service
 * has or lately had servers of several versions, by two side processes in different failure domains, chosen by rendezvous hashing of
 * the request's id. A record is sent in the turn in which the request is written to its server, so before the first event. An entry that
 * finds no record asks all that may have one, and reads from the store whether there was a further version if some don't answer; without
 * either, the version is not known.
 */
import { hashOf, rankKeepers, rendezvousScore, selectKeepers, type OriginDecision } from '@finchpitch/decisions'
import { maxRequestIdLength, maxSoftwareVersionLength, maxStreamsPerFrame, type Channel, type StreamOriginReply, type StreamRecord } from '@finchpitch/wire'
import type { Log } from '@finchpitch/core'
import { nowMs } from '../../clock.js'
import { softwareVersionOf, unlistedVersion, type SoftwareVersions } from '../../software-versions.js'
import { StreamRecords } from '../../stream-records.js'
import type { ReportTarget } from './attempt-reporter.js'
import type { ListProver } from './list-prover.js'
import { OriginQuery } from './origin-query.js'

/** Side processes of each domain that are asked: entries may differ for a moment on which ones respond. */
const askedPerDomain = 2
/** Side processes answer within a few ms, or within 0.3 s if a connection has to be established first. */
const maxAnswerMs = 300
/** The longest wait for answers, as a fraction of the time that the caller has left. */
const maxAnswerShare = 0.2
/** Interval of trying again to send records whose keeper's connection is not established yet. */
const retryMs = 20
/** The keepers are chosen again after this time. */
const keepersMs = 200
/** A record is dropped if the connection to its keeper has not been established by then. */
const maxSendDelayMs = 2000

export interface StreamOriginsOptions {
  domain: string
  versions: SoftwareVersions
  prover: Pick<ListProver, 'listedSince'>
  sideProcesses: () => ReportTarget[]
  /** The channel to a side process; starts to open one if there is none. */
  channelTo: (host: string) => Channel | undefined
  log: Log
}

interface UnsentRecords {
  since: number
  records: StreamRecord[]
}

export class StreamOrigins {
  readonly #records = new StreamRecords()
  #chosenKeepers: ReadonlyMap<string, readonly ReportTarget[]> = new Map()
  #keepersChosenAt = -Infinity
  /** By host. */
  readonly #unsent = new Map<string, UnsentRecords>()
  #flushTimer: NodeJS.Timeout | undefined
  #isFlushScheduled = false
  /** By the stamps of their frames. Those of attempt reports are positive, and those of probes whole numbers. */
  readonly #queries = new Map<number, OriginQuery>()
  #stamp = 0.5

  constructor (private readonly options: StreamOriginsOptions) {}

  /** Called before a request for a stream is written to a server of this version. */
  record (service: string, request: string, version: string): void {
    if (!isIdentified(request) || version.length > maxSoftwareVersionLength) return
    this.#records.add(service, request, version)
    if (version !== unlistedVersion && !this.options.versions.historyOf(service).needsRecords(nowMs())) return
    for (const { host } of this.#keepersOf(request)) {
      let unsent = this.#unsent.get(host)
      if (unsent === undefined) this.#unsent.set(host, unsent = { since: nowMs(), records: [] })
      unsent.records.push([service, request, version])
    }
    if (this.#isFlushScheduled) return
    this.#isFlushScheduled = true
    // Requests that are written in the same turn of the event loop are recorded in one frame.
    setImmediate(() => this.#flush())
  }

  /** The version at which the stream of the request began; `undefined` if that is not known. `request`: empty if the caller names none. */
  async find (service: string, request: string, leftMs: number): Promise<string | undefined> {
    const own = this.#records.version(service, request)
    if (own !== undefined) return own
    const decision = await this.#ask(service, isIdentified(request) ? request : '', Math.min(maxAnswerMs, leftMs * maxAnswerShare))
    return decision.type === 'known' ? decision.version : undefined
  }

  /** Handles the answer of the side process at `host` to the frame with this stamp. */
  handleAnswer (host: string, stamp: number, reply: StreamOriginReply): void {
    this.#queries.get(stamp)?.handleAnswer(host, reply)
  }

  async #ask (service: string, request: string, waitMs: number): Promise<OriginDecision> {
    const { versions, channelTo, log } = this.options
    const byDomain = this.#rankedByDomain(request)
    const unrecorded = versions.historyOf(service).unrecorded(nowMs())
    // Without side processes, nobody but this entry can have a record.
    if (byDomain.size === 0) return unrecorded === undefined || !isIdentified(request) ? { type: 'unknown' } : { type: 'known', version: unrecorded }
    this.#stamp -= 1
    const stamp = this.#stamp
    const askedAt = nowMs()
    const query = new OriginQuery({
      targets: [...byDomain.values()].flatMap(hosts => hosts.filter(isResponsive).slice(0, askedPerDomain)),
      domains: byDomain.size,
      unrecorded,
      identified: isIdentified(request),
      waitMs,
      prove: async () => await this.#singleVersion(service),
      ask: host => channelTo(host)?.send({ type: 'crashes', stamp, crashes: [], sound: [], askStream: [service, request] }) === true
    })
    this.#queries.set(stamp, query)
    const decision = await query.run()
    this.#queries.delete(stamp)
    log.info('stream.origin', { request, service, ...decision, ...query.counts, ms: Math.round(nowMs() - askedAt) })
    return decision
  }

  /** The only version that the service has had for longer than a stream lasts, up to a moment after the call; `undefined` if that is not known. */
  async #singleVersion (service: string): Promise<string | undefined> {
    const { versions, prover } = this.options
    const single = (): string | undefined => versions.historyOf(service).single(nowMs())
    const version = single()
    if (version === undefined) return undefined
    const listed = await prover.listedSince()
    const isSingle = listed?.every(server => server.service !== service || softwareVersionOf(server) === version)
    return isSingle === true && single() === version ? version : undefined
  }

  /**
   * One side process of this failure domain and one of another, or two of this one if there is no other. The first choice of a domain
   * gets the record also while it does not respond, as it may have that of an earlier attempt.
   */
  #keepersOf (request: string): Set<ReportTarget> {
    const byDomain = this.#rankedByDomain(request)
    const own = byDomain.get(this.options.domain) ?? []
    const others = [...byDomain].filter(([domain]) => domain !== this.options.domain)
    const requestHash = hashOf(request)
    others.sort(([a], [b]) => rendezvousScore(requestHash, hashOf(a)) - rendezvousScore(requestHash, hashOf(b)))
    const [first, second] = others.map(([, hosts]) => hosts).filter(hosts => hosts.some(isResponsive))
    const near = own.find(isResponsive) ?? second?.find(isResponsive)
    const far = first?.find(isResponsive) ?? own.filter(isResponsive)[1]
    return new Set([own[0], near, first?.[0], far].filter(each => each !== undefined))
  }

  /** The keepers of each domain, in the order in which they are chosen for the request. */
  #rankedByDomain (request: string): Map<string, ReportTarget[]> {
    return new Map([...this.#keepers].map(([domain, keepers]) => [domain, rankKeepers(keepers, request)]))
  }

  /** The keepers of each domain. Choosing them looks at all side processes, which is too much for each stream. */
  get #keepers (): ReadonlyMap<string, readonly ReportTarget[]> {
    const now = nowMs()
    if (now - this.#keepersChosenAt < keepersMs) return this.#chosenKeepers
    this.#keepersChosenAt = now
    const targets = this.options.sideProcesses()
    const domains = new Set(targets.map(({ domain }) => domain))
    const keepersOf = (domain: string): ReportTarget[] => selectKeepers(targets.filter(target => target.domain === domain))
    this.#chosenKeepers = new Map([...domains].map(domain => [domain, keepersOf(domain)]))
    return this.#chosenKeepers
  }

  #flush (): void {
    this.#isFlushScheduled = false
    const now = nowMs()
    for (const [host, { since, records }] of this.#unsent) {
      const channel = this.options.channelTo(host)
      if (channel === undefined && now - since < maxSendDelayMs) continue
      this.#unsent.delete(host)
      for (let at = 0; at < records.length; at += maxStreamsPerFrame) {
        channel?.send({ type: 'crashes', stamp: now, crashes: [], sound: [], streams: records.slice(at, at + maxStreamsPerFrame) })
      }
    }
    if (this.#unsent.size === 0) return
    this.#flushTimer ??= setTimeout(() => {
      this.#flushTimer = undefined
      this.#flush()
    }, retryMs)
  }
}

const isResponsive = ({ responsive }: ReportTarget): boolean => responsive

/** Whether a record of the request's stream may be kept: not if its id is too long, or not stated by the caller that takes it up. */
const isIdentified = (request: string): boolean => request !== '' && request.length <= maxRequestIdLength
