/**
 * Dispatches one request to a side process and retries it as far as that is safe.
 *
 * - A repeatable request is retried at other side processes until a response has begun, within the retry budget.
 * - A non-repeatable request without an idempotency key is retried only after a refusal that proves that it has not run.
 * - A request with an idempotency key is first bound to one incarnation of a side process, and only that one may run it. After a
 *   refusal it may be bound to another one; if several entries do so concurrently, the store's conditional update lets one win.
 */
import { backoff, notRun, pause, randomToken, servingOf, targetLabel, outcomeUnknown, type HttpResponse, type Binding, type Failure, type Log, type Random, type Service, type Work } from '@finchpitch/core'
import type { Idempotency } from '@finchpitch/callers'
import { RetryBudget } from '@finchpitch/decisions'
import { claimId, type Catalog, type Claims, type StoreError } from '@finchpitch/store'
import { err, ok, type Result } from 'neverthrow'
import type { ChosenSide, SidePool } from './side-pool.js'
import { bindingOf, isTicket, issueTicket, parseTicket } from './ticket.js'

export interface DispatcherOptions {
  sides: SidePool
  claims: Claims
  catalog: Catalog
  /** Brings the catalog up to date, after a side process has refused a request with a stale revision. */
  catchUp: () => Promise<void>
  log: Log
  random: Random
}

/** The response, once its head has arrived, or why there is none. */
type DispatchResult = Result<HttpResponse, Failure>

const maxAttempts = 4
const defaultRetryAfterMs = 1000

/** Refusals that are worth a retry: another process, or the same one a little later, may accept the request. */
const retryableRefusals = new Set<Failure['code']>(['not_sent', 'leaving', 'overloaded', 'no_backend', 'stale_revision', 'load_failed', 'backend_unreachable', 'backend_refused', 'engine_restarted', 'keys_full'])

/**
 * The key for rendezvous hashing. All requests for an adapter share one list of preferred side processes, since it should be loaded
 * at few of them. A plain service has nothing to load: its requests are spread over one list for each first character of a
 * request id.
 */
const preferenceKey = ({ id, target }: Pick<Work, 'id' | 'target'>): string =>
  target.kind === 'adapter' ? targetLabel(target) : `${targetLabel(target)}/${id.charAt(0)}`

export class Dispatcher {
  readonly #retryBudget = new RetryBudget()

  constructor (private readonly options: DispatcherOptions) {}

  /** Runs a request without an idempotency key. */
  async run (work: Work, repeatable: boolean, signal: AbortSignal): Promise<DispatchResult> {
    this.#retryBudget.deposit()
    const tried = new Set<string>()
    let failure = notRun('no_backend', { retryAfterMs: defaultRetryAfterMs })
    for (let attempts = 0; attempts < maxAttempts; attempts++) {
      const side = await this.#selectSide(work, tried)
      if (side === undefined) return err(failure)
      const response = await side.peer.run({ ...work, revision: this.options.catalog.revision }, signal)
      if (response.isOk()) return response
      failure = response.error
      if (!await this.#prepareRetry(failure, repeatable, tried, side, signal)) return err(failure)
    }
    return err(failure)
  }

  /** Runs a request with an idempotency key, at most once over all its attempts. */
  async runOnce (work: Work, once: Idempotency, signal: AbortSignal): Promise<DispatchResult> {
    this.#retryBudget.deposit()
    return isTicket(once.key) ? await this.#runTicket(work, once, signal) : await this.#runClaimed(work, once, signal)
  }

  /** Issues a ticket for the request's target; `undefined` while no side process is available. */
  async ticket (work: Pick<Work, 'id' | 'target'>): Promise<Idempotency['key'] | undefined> {
    const side = await this.#selectSide(work, new Set())
    return side === undefined ? undefined : issueTicket(side.process, side.peer.incarnation, side.peer.epoch)
  }

  #selectSide (work: Pick<Work, 'id' | 'target'>, tried: ReadonlySet<string>): Promise<ChosenSide | undefined> {
    return this.options.sides.choose(servingOf(work.target), preferenceKey(work), tried)
  }

  /** Whether the request may be retried; takes the retry from the budget and prepares for it. */
  async #prepareRetry (failure: Failure, repeatable: boolean, tried: Set<string>, side: ChosenSide, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false
    const isSafe = failure.outcome === 'not_run' ? retryableRefusals.has(failure.code) : repeatable
    if (!isSafe || !this.#retryBudget.withdraw()) return false
    if (failure.code === 'stale_revision') await this.options.catchUp()
    else tried.add(side.process)
    return true
  }

  async #runTicket (work: Work, once: Idempotency, signal: AbortSignal): Promise<DispatchResult> {
    const ticket = parseTicket(once.key)
    if (ticket === undefined) return err(notRun('invalid_header', { detail: 'The Idempotency-Key is not a ticket of this system.' }))
    const address = this.options.sides.addressOf(ticket.process)
    if (address === undefined) return err(outcomeUnknown('incarnation_gone'))
    const response = await this.#runBound(work, once, bindingOf(ticket, address), signal)
    if (response.isErr() && response.error.code === 'stale_revision') await this.options.catchUp()
    return response
  }

  async #runClaimed (work: Work, once: Idempotency, signal: AbortSignal): Promise<DispatchResult> {
    const id = claimId(work.team, once.key)
    const tried = new Set<string>()
    const first = await this.#bindFirst(work, id)
    if (first.isErr()) return err(await this.#claimFailure(work, once, first.error))
    let binding = first.value
    for (let attempts = 1; ; attempts++) {
      const response = await this.#runBound(work, once, binding, signal)
      if (response.isOk() || response.error.outcome === 'unknown') return response
      const next = attempts < maxAttempts ? await this.#rebind(work, id, binding, response.error, tried, signal) : undefined
      // A refusal proves `not_run` only for the binding whose side process sent it, so that binding is the one to confirm.
      if (next === undefined) return err(await this.#confirmRefusal(id, binding, response.error))
      binding = next
    }
  }

  async #bindFirst (work: Work, id: string): Promise<Result<Binding, StoreError | Failure>> {
    const bound = await this.#bind(work, id, undefined, new Set())
    if (bound.isOk() || !('outcome' in bound.error)) return bound
    // No side process is available now, but an earlier attempt may have bound the key.
    const found = await this.options.claims.read(id)
    return found.isOk() && found.value !== undefined ? ok(found.value) : bound
  }

  /** Binds the key to another side process after a refusal; `undefined` if a retry is useless or the binding fails. */
  async #rebind (work: Work, id: string, binding: Binding, refusal: Failure, tried: Set<string>, signal: AbortSignal): Promise<Binding | undefined> {
    if (!retryableRefusals.has(refusal.code) || signal.aborted) return undefined
    if (refusal.code === 'stale_revision') await this.options.catchUp()
    else tried.add(binding.process)
    const next = await this.#bind(work, id, binding.nonce, tried)
    return next.isOk() ? next.value : undefined
  }

  /** Binds the key to the preferred side process. `from` is the nonce of a binding whose refusal is final, to be replaced. */
  async #bind (work: Work, id: string, from: string | undefined, tried: ReadonlySet<string>): Promise<Result<Binding, StoreError | Failure>> {
    const side = await this.#selectSide(work, tried)
    if (side === undefined) return err(notRun('no_backend', { retryAfterMs: defaultRetryAfterMs }))
    const { process, address, peer } = side
    const binding = { process, address, incarnation: peer.incarnation, epoch: peer.epoch, nonce: randomToken() }
    return from === undefined ? await this.options.claims.bind(id, binding) : await this.options.claims.rebind(id, from, binding)
  }

  /**
   * A refusal is reported as `not_run` only while its binding is still the current one: another entry may have bound the key to
   * another side process, where the request ran.
   */
  async #confirmRefusal (id: string, binding: Binding, refusal: Failure): Promise<Failure> {
    const found = await this.options.claims.read(id)
    if (found.isOk() && found.value?.nonce === binding.nonce) return refusal
    const detail = 'Another try of this key may have been run. Ask again with the same key.'
    return outcomeUnknown(refusal.code, { detail, retryAfterMs: refusal.retryAfterMs ?? defaultRetryAfterMs })
  }

  /** Sends the request to the bound incarnation, which runs a key once; reconnects and repeats it if the connection is lost. */
  async #runBound (work: Work, once: Idempotency, binding: Binding, signal: AbortSignal): Promise<DispatchResult> {
    let failure: Failure = outcomeUnknown('incarnation_gone')
    for (let failures = 0; failures < maxAttempts && !signal.aborted; failures++) {
      if (failures > 0) await pause(backoff(failures, this.options.random), signal)
      const peer = await this.options.sides.reach(binding.process, binding.address)
      if (peer === undefined) continue
      if (peer.incarnation !== binding.incarnation) return err(outcomeUnknown('incarnation_gone'))
      const bound = { ...work, revision: this.options.catalog.revision, once: { key: once.key, binding } }
      const response = await peer.run(bound, signal)
      if (response.isOk()) return response
      // Not a refusal: an earlier attempt, or one of another entry, may have arrived.
      if (response.error.code === 'not_sent') continue
      if (response.error.code !== 'connection_lost') return response
      failure = response.error
    }
    return err(failure)
  }

  /** The failure of a request whose key could not be bound, because of the store or for lack of a side process. */
  async #claimFailure (work: Work, once: Idempotency, error: StoreError | Failure): Promise<Failure> {
    if (!('outcome' in error)) return await this.#storeFailure(work, once, error)
    return once.firstTry ? error : outcomeUnknown(error.code, { retryAfterMs: defaultRetryAfterMs })
  }

  /** While the store is down, only a first attempt is known not to have run; for a retry, an earlier attempt may have. */
  async #storeFailure (work: Work, once: Idempotency, error: StoreError): Promise<Failure> {
    this.options.log.warn('claim.failed', { request: work.id, fault: error.code, detail: error.detail })
    const more = { retryAfterMs: defaultRetryAfterMs }
    if (!once.firstTry) return outcomeUnknown('store_unavailable', { ...more, detail: 'This try was not run; an earlier one may have been. Ask again with the same key.' })
    const ticket = this.#serviceOf(work)?.onStoreOutage === 'ticket' ? await this.ticket(work) : undefined
    return notRun('store_unavailable', { ...more, ...(ticket === undefined ? {} : { ticket, detail: 'Ask again with the ticket as the key.' }) })
  }

  #serviceOf ({ target }: Work): Service | undefined {
    return target.kind === 'service' ? this.options.catalog.service(target.service) : undefined
  }
}
