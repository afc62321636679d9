/**
 * One request from its arrival to its end at an entry.
 *
 * It is matched against the table in force at the moment of each sending, waits for a place or an adapter while
 * that can still help its caller, and is sent. What may follow a failed try depends on whether it may have run:
 * refused or never sent, it may go elsewhere; otherwise only what is repeatable may, inside the retry budget.
 * Given up, it gets its last answer at once: 503 and when to come back if it has surely not run, else 502 or 504.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Log } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { Facts } from '../facts.js'
import type { HeaderNames } from '../ports.js'
import type { BackendServer } from '../server.js'
import type { FleetService, Route } from '../table.js'
import { attempt, type AttemptEnd, type Outgoing } from './attempt.js'
import type { Asked, Balancer } from './balancer.js'
import type { Choice } from './choice.js'
import type { EntryCounters } from './counters.js'
import { Delivery, passedHeaders } from './delivery.js'
import { EventCutter } from './event-stream.js'
import type { RetryBudget } from './retry-budget.js'
import type { WaitingRoom } from './waiting-room.js'

/** Connections come up in a few milliseconds here; a machine that is dark says nothing. */
const connectMs = 200
/** Tries of one request that come as far as a server, whatever their end. */
const mostArrivals = 4
/** All its tries, those that could not be sent too: a whole failure domain of servers may be out of reach. */
const mostTries = 12
/** Part of the time left for which a request may wait; the rest serves it, or a second try by its caller. */
const waitShare = 0.45
/** Part of the objective after which a request is refused that nobody could take. */
const nobodyShare = 0.2
/** When callers are told to come back: after something may have been loaded or have ended. */
const retryAfterMs = 250
/** Silence beyond this many objectives is out of the ordinary. */
const silentObjectives = 1.5
/** A caller that states no time. */
const defaultRemainingMs = 10_000
/** A stream under way at its time limit is ended by its server; this much later by the entry. */
const streamSlackMs = 200
/** Below this, a try can't end in time. */
const leastRemainingMs = 5

export interface ServiceRequestOptions {
  facts: Facts
  balancer: Balancer
  room: WaitingRoom
  budget: RetryBudget
  names: HeaderNames
  counters: EntryCounters
  /** This entry's failure domain. */
  domain: string
  log: Log
  /** Whether the connection should end with this answer. */
  lastAnswer: () => boolean
}

type Verdict = { type: 'again' } | { type: 'done', outcome: string }

export class ServiceRequest {
  readonly #arrived = nowMs()
  readonly #delivery: Delivery
  readonly #left = new AbortController()
  readonly #excluded = new Set<string>()
  readonly #id: string
  #route: Route | undefined
  #deadline = Infinity
  #tries = 0
  /** Tries that came as far as a server; only those weigh on the retry budget. */
  #arrivals = 0
  #ran = 0
  #mayHaveRun = false
  #waitedMs = 0
  #firstByteMs: number | undefined
  #server: BackendServer | undefined
  #reason = ''
  #cutter: EventCutter | undefined
  #expired = false

  constructor (private readonly options: ServiceRequestOptions, private readonly request: IncomingMessage, private readonly response: ServerResponse) {
    this.#id = this.#header(options.names.requestId) ?? ''
    this.#delivery = new Delivery(response, options.lastAnswer)
    response.on('close', () => { if (!response.writableFinished) this.#left.abort() })
  }

  async serve (): Promise<void> {
    const outcome = await this.#serve()
    this.#tell(outcome)
  }

  async #serve (): Promise<string> {
    const { facts } = this.options
    const routes = facts.routes
    if (routes === undefined) return this.#refuse('no_table')
    const route = this.#match()
    if (route === undefined) return this.#end(404, 'no_route', 'no such route')
    this.#route = route
    this.#deadline = this.#arrived + Math.min(this.#remaining(), route.timeoutMs)
    const body = await this.#readBody(routes.table.limits.bodyBytes)
    if (typeof body === 'string') return body
    this.#cutter = route.kind === 'stream' && route.resumable ? new EventCutter() : undefined
    const timer = setTimeout(() => this.#expire(), Math.max(0, this.#deadline - nowMs()))
    try {
      return await this.#tryUntilDone(body)
    } finally {
      clearTimeout(timer)
    }
  }

  async #tryUntilDone (body: Buffer): Promise<string> {
    for (;;) {
      const route = this.#match()
      if (route === undefined) return this.#mayHaveRun ? this.#fail(502, 'route_removed') : this.#end(404, 'no_route', 'no such route')
      this.#route = route
      const service = this.#serviceOf(route)
      if (service === undefined) return this.#refuse('no_service')
      const asked = this.#asked(service, route)
      const choice = await this.#choose(asked, route)
      if (typeof choice === 'string') return choice
      const server = this.options.facts.servers.get(choice.id)
      if (server === undefined) continue
      const verdict = await this.#try(server, asked, route, body, choice.reason)
      if (verdict.type === 'done') return verdict.outcome
    }
  }

  #match (): Route | undefined {
    const path = (this.request.url ?? '/').split('?')[0] ?? '/'
    const host = (this.request.headers.host ?? '').replace(/:\d+$/, '')
    return this.options.facts.routes?.find(host, path)
  }

  /** A weighted draw, the same for all tries of the request. */
  #serviceOf (route: Route): FleetService | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
    let left = this.#draw * total
    const target = route.targets.find(each => (left -= each.weight) < 0) ?? route.targets.at(-1)
    return target === undefined ? undefined : this.options.facts.routes?.service(target.service)
  }

  readonly #draw = Math.random()

  #asked (service: FleetService, route: Route): Asked {
    const key = service.engine === undefined ? undefined : this.#header(this.options.names.model)
    const promptTokens = Number.parseInt(this.#header(this.options.names.tokens) ?? '0', 10) || 0
    return { service, key, affinityKey: key ?? '', promptTokens, priority: route.priority, excluded: this.#excluded }
  }

  #header (name: string): string | undefined {
    const value = this.request.headers[name]
    return Array.isArray(value) ? value[0] : value
  }

  #remaining (): number {
    const stated = Number(this.#header(this.options.names.remainingMs) ?? NaN)
    return Number.isFinite(stated) && stated >= 0 ? stated : defaultRemainingMs
  }

  /** The whole body, or the outcome if there is none to be had. */
  #readBody (limit: number): Promise<Buffer | string> {
    const { request } = this
    const pieces: Buffer[] = []
    let size = 0
    return new Promise(resolve => {
      request.on('data', (piece: Buffer) => {
        size += piece.length
        if (size <= limit) pieces.push(piece)
        else resolve(this.#end(413, 'too_large', 'the body is too large'))
      })
      request.on('end', () => resolve(pieces.length === 1 ? pieces[0] ?? noBytes : Buffer.concat(pieces)))
      request.on('error', () => resolve('caller_left'))
      request.on('close', () => resolve('caller_left'))
    })
  }

  #expire (): void {
    this.#expired = true
    if (!this.#delivery.started) this.#left.abort()
    else setTimeout(() => this.#left.abort(), streamSlackMs)
  }

  async #choose (asked: Asked, route: Route): Promise<Extract<Choice, { type: 'send' }> | string> {
    const { balancer, room, counters } = this.options
    if (this.#left.signal.aborted) return this.#abandoned(false)
    const first = balancer.choose(asked)
    if (first.type === 'send') return first
    const started = nowMs()
    const share = first.type === 'none' ? route.objectiveMs * nobodyShare : (this.#deadline - started) * waitShare
    const end = await room.wait({
      key: asked.key ?? asked.service.name,
      priority: route.priority,
      until: started + share,
      choose: () => balancer.choose(asked),
      bring: (ask, waiting) => balancer.bring(ask, asked.key ?? '', waiting, route.priority)
    }, first, this.#left.signal)
    this.#waitedMs += nowMs() - started
    counters.waited.observe({ for: first.type }, (nowMs() - started) / 1000)
    if (end.type === 'chosen') return end.choice
    if (end.type === 'left') return this.#abandoned(false)
    return this.#mayHaveRun ? this.#fail(502, `gave_up: ${end.last.reason}`) : this.#refuse(end.last.reason)
  }

  async #try (server: BackendServer, asked: Asked, route: Route, body: Buffer, reason: string): Promise<Verdict> {
    const { balancer, budget, names, counters } = this.options
    const remaining = Math.floor(this.#deadline - nowMs())
    if (remaining < leastRemainingMs) return { type: 'done', outcome: this.#mayHaveRun ? this.#fail(504, 'timed_out') : this.#refuse('too_late') }
    if (this.#tries === 0) budget.first(asked.service.name)
    if (this.#arrivals > 0 && !budget.repeat(asked.service.name)) return { type: 'done', outcome: this.#mayHaveRun ? this.#fail(502, 'no_retry_left') : this.#refuse('no_retry_left') }
    this.#tries += 1
    this.#server = server
    this.#reason = reason
    const state = balancer.state(server)
    const pending = state.begin(asked.key, route.objectiveMs * silentObjectives)
    const end = await attempt({
      agent: state.agent,
      address: server.address,
      outgoing: this.#outgoing(server, asked, route, body, remaining),
      requestId: this.#id,
      serverId: server.id,
      names,
      connectMs: Math.min(connectMs, remaining),
      stream: route.kind === 'stream',
      cutter: this.#cutter,
      delivery: this.#delivery,
      signal: this.#left.signal,
      heard: () => {
        state.heard(pending)
        this.#firstByteMs ??= nowMs() - this.#arrived
      }
    })
    state.end(asked.key, pending)
    if (end.type !== 'not_sent') this.#arrivals += 1
    counters.attempts.inc({ end: end.type })
    if (server.domain !== this.options.domain) balancer.sentAcross(asked)
    this.options.room.pokeFull()
    return this.#judge(end, server, asked, route)
  }

  #outgoing (server: BackendServer, asked: Asked, route: Route, body: Buffer, remaining: number): Outgoing {
    const { names, balancer } = this.options
    const headers = passedHeaders(this.request.rawHeaders, this.#notPassed())
    headers.push(names.remainingMs, String(remaining), names.expectedServer, server.id)
    if (asked.key !== undefined) {
      headers.push(names.priority, String(Math.min(route.priority, leastUrgent)))
      const version = balancer.heldVersion(server, asked.key)
      if (version !== undefined) headers.push(names.expectedVersion, String(version))
    }
    const resumeAt = this.#cutter?.lastId
    if (resumeAt !== undefined) headers.push(names.lastEventId, resumeAt)
    if (body.length > 0 || this.request.headers['content-length'] !== undefined || this.request.headers['transfer-encoding'] !== undefined) {
      headers.push('Content-Length', String(body.length))
    }
    return { method: this.request.method ?? 'GET', path: this.request.url ?? '/', headers, body }
  }

  #notPassed (): ReadonlySet<string> {
    const { names } = this.options
    const set = new Set([...names.reserved, names.remainingMs, 'content-length', 'expect'])
    if (this.#cutter?.lastId !== undefined) set.add(names.lastEventId)
    return set
  }

  /** What follows from a try's end. */
  #judge (end: AttemptEnd, server: BackendServer, asked: Asked, route: Route): Verdict {
    const { balancer } = this.options
    const { outlier } = balancer.state(server)
    const repeatable = route.kind === 'repeatable' || (route.kind === 'stream' && route.resumable)
    const again: Verdict = { type: 'again' }
    const done = (outcome: string): Verdict => ({ type: 'done', outcome })
    const left = this.#arrivals < mostArrivals && this.#tries < mostTries
    switch (end.type) {
      case 'streamed':
        outlier.succeeded()
        this.#delivery.finish()
        return done('streamed')
      case 'answer':
        if (end.status >= 500) this.#failed(server, `status ${end.status}`)
        else outlier.succeeded()
        this.#ran += 1
        if (end.status >= 500 && repeatable && left && this.#ran < route.maxAttempts && this.#mayRepeat(server, asked)) return again
        this.#delivery.whole(end.status, end.headers, end.body, this.request.method === 'HEAD' || end.status === 204 || end.status === 304)
        return done(`answered ${end.status}`)
      case 'not_sent':
        this.#unreachable(server, end.detail)
        this.#excluded.add(server.id)
        return left ? again : done(this.#mayHaveRun ? this.#fail(502, 'not_sent') : this.#refuse('not_sent'))
      case 'not_run':
        this.#refused(end, server, asked)
        return left ? again : done(this.#mayHaveRun ? this.#fail(502, 'refused') : this.#refuse('refused'))
      case 'cancelled':
        return done(this.#abandoned(end.sent))
      case 'broken':
        this.#failed(server, end.detail)
        this.#mayHaveRun = true
        this.#ran += 1
        if (repeatable && left && this.#ran < route.maxAttempts && this.#mayRepeat(server, asked)) return again
        return done(this.#fail(502, 'broken'))
      case 'interrupted':
        this.#failed(server, end.detail)
        this.#mayHaveRun = true
        this.#ran += 1
        if (repeatable && left && this.#ran < route.maxAttempts && !this.#left.signal.aborted && this.#mayRepeat(server, asked)) return again
        this.#delivery.cut()
        return done('interrupted')
    }
  }

  /** Whether another server could take the request. */
  #mayRepeat (server: BackendServer, asked: Asked): boolean {
    this.#excluded.add(server.id)
    return this.options.balancer.choose(asked).type === 'send'
  }

  #refused (end: Extract<AttemptEnd, { type: 'not_run' }>, server: BackendServer, asked: Asked): void {
    const { balancer, log } = this.options
    const { cause, status } = end
    log.info('request.not_run', { request: this.#id, server: server.id, status, cause, key: asked.key, tries: this.#tries })
    const state = balancer.state(server)
    const refusals = {
      another_server: () => {
        state.outlier.eject(nowMs())
        this.#excluded.add(server.id)
      },
      // The engine itself is sound and may be asked to bring the adapter back.
      not_held: () => {
        if (asked.key === undefined) this.#excluded.add(server.id)
        else balancer.notHeld(server, asked.key)
      },
      full: () => {
        state.sentSince += refusedLoad
        this.#excluded.add(server.id)
      }
    }
    refusals[cause]()
  }

  #failed (server: BackendServer, detail: string): void {
    const { balancer, counters, log } = this.options
    log.info('server.failed', { request: this.#id, server: server.id, detail })
    if (!balancer.state(server).outlier.failed(nowMs())) return
    counters.ejections.inc()
    log.warn('server.ejected', { server: server.id, request: this.#id, detail, ms: Math.round(balancer.state(server).outlier.until - nowMs()) })
  }

  #unreachable (server: BackendServer, detail: string): void {
    const { balancer, counters, log } = this.options
    if (!balancer.state(server).outlier.eject(nowMs())) return
    counters.ejections.inc()
    log.warn('server.unreachable', { server: server.id, request: this.#id, detail, ms: Math.round(balancer.state(server).outlier.until - nowMs()) })
  }

  /** The caller left, or the time is up. */
  #abandoned (sent: boolean): string {
    if (!this.#expired) return 'caller_left'
    if (this.#delivery.started) {
      this.#delivery.cut()
      return 'timed_out'
    }
    return sent || this.#mayHaveRun ? this.#fail(504, 'timed_out') : this.#refuse('timed_out')
  }

  /** It has surely not run, and may be asked again. */
  #refuse (reason: string): string {
    this.#reason = reason
    this.#delivery.own(503, { [this.options.names.retryAfter]: String(retryAfterMs / 1000) }, `not run: ${reason}`)
    return 'refused'
  }

  /** It may have run. */
  #fail (status: 502 | 504, reason: string): string {
    this.#reason = reason
    this.#delivery.own(status, {}, `may have run: ${reason}`)
    return 'failed'
  }

  #end (status: number, outcome: string, message: string): string {
    this.request.resume()
    this.#delivery.own(status, {}, message)
    return outcome
  }

  #tell (outcome: string): void {
    const { counters, log, facts, balancer } = this.options
    const kind = this.#route?.kind ?? 'none'
    const ms = nowMs() - this.#arrived
    const label = outcome.split(' ')[0] ?? outcome
    counters.ended.inc({ kind, outcome: label })
    counters.duration.observe({ kind, outcome: label }, ms / 1000)
    if (this.#firstByteMs !== undefined) counters.firstByte.observe({ kind }, this.#firstByteMs / 1000)
    const holding = this.#server === undefined ? undefined : balancer.states.get(this.#server.id)?.holding
    log.info('request.ended', {
      request: this.#id,
      route: this.#route?.name,
      table: facts.routes?.table.version,
      key: this.#header(this.options.names.model),
      server: this.#server?.id,
      domain: this.#server?.domain,
      reason: this.#reason,
      outcome,
      tries: this.#tries,
      waitedMs: Math.round(this.#waitedMs),
      firstByteMs: this.#firstByteMs === undefined ? undefined : Math.round(this.#firstByteMs),
      ms: Math.round(ms),
      leftMs: Math.round(this.#deadline - nowMs()),
      holdingAgeMs: holding === undefined ? undefined : Math.round(nowMs() - holding.at)
    })
  }
}

const noBytes = Buffer.alloc(0)
/** The least urgent rank that engines know. */
const leastUrgent = 9
/** A server that refused is fuller than it was thought to be. */
const refusedLoad = 2
