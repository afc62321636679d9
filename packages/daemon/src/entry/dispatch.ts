/**
 * Dispatch: getting one request run, by the rules of its kind.
 *
 * - Work that may be repeated is tried elsewhere until an answer has begun, within the retry budget.
 * - Work without a key that may not be repeated is tried elsewhere only while it is proved not run.
 * - Work with a key is bound to one incarnation first, and only that one is asked. After a proved refusal it may
 *   be bound anew; the store decides between entries that do so at once.
 */
import { backoff, notRun, pause, randomToken, servingOf, targetLabel, unknown, type Answer, type Binding, type Failure, type Log, type Random, type Service, type Work } from '@finchpitch/core'
import type { Once } from '@finchpitch/callers'
import { RetryBudget } from '@finchpitch/decisions'
import { claimId, type Catalog, type Claims, type StoreFault } from '@finchpitch/store'
import { err, ok, type Result } from 'neverthrow'
import type { ChosenSide, Sides } from './sides.js'
import { bindingOf, isTicket, issueTicket, readTicket } from './ticket.js'

export interface DispatchOptions {
  sides: Sides
  claims: Claims
  catalog: Catalog
  /** Brings the catalog up to a revision that a side process has seen. */
  catchUp: () => Promise<void>
  log: Log
  random: Random
}

/** A try's end together with whether work that may be repeated should be tried again. */
type Tried = Result<Answer, Failure>

const mostTries = 4
const storeRetryMs = 1000

/** Refusals that another process, or the same one a little later, may not give. */
const elsewhere = new Set<Failure['code']>(['not_sent', 'leaving', 'overloaded', 'no_backend', 'stale_revision', 'load_failed', 'backend_unreachable', 'backend_refused', 'engine_restarted', 'keys_full'])

/**
 * An adapter has one list of preferred side processes, as it should be loaded at few. A plain service has nothing
 * to load: its requests are spread over as many lists as there are first characters of a request's id.
 */
const preferenceKey = ({ id, target }: Pick<Work, 'id' | 'target'>): string =>
  target.kind === 'adapter' ? targetLabel(target) : `${targetLabel(target)}/${id.charAt(0)}`

export class Dispatch {
  readonly #budget = new RetryBudget()

  constructor (private readonly options: DispatchOptions) {}

  /** Runs work that has no key. */
  async run (work: Work, repeatable: boolean, signal: AbortSignal): Promise<Tried> {
    this.#budget.deposit()
    const tried = new Set<string>()
    let failure = notRun('no_backend', { retryAfterMs: storeRetryMs })
    for (let tries = 0; tries < mostTries; tries++) {
      const side = await this.#choose(work, tried)
      if (side === undefined) return err(failure)
      const answer = await side.peer.run({ ...work, revision: this.options.catalog.revision }, signal)
      if (answer.isOk()) return answer
      failure = answer.error
      if (!await this.#mayGoOn(failure, repeatable, tried, side, signal)) return err(failure)
    }
    return err(failure)
  }

  /** Runs work with a key, at most once over all its tries. */
  async runOnce (work: Work, once: Once, signal: AbortSignal): Promise<Tried> {
    this.#budget.deposit()
    return isTicket(once.key) ? await this.#runTicket(work, once, signal) : await this.#runClaimed(work, once, signal)
  }

  /** A ticket for the work's target; `undefined` while no process can take it. */
  async ticket (work: Pick<Work, 'id' | 'target'>): Promise<Once['key'] | undefined> {
    const side = await this.#choose(work, new Set())
    return side === undefined ? undefined : issueTicket(side.process, side.peer.incarnation, side.peer.epoch)
  }

  #choose (work: Pick<Work, 'id' | 'target'>, tried: ReadonlySet<string>): Promise<ChosenSide | undefined> {
    return this.options.sides.choose(servingOf(work.target), preferenceKey(work), tried)
  }

  async #mayGoOn (failure: Failure, repeatable: boolean, tried: Set<string>, side: ChosenSide, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false
    const harmless = failure.outcome === 'not_run' ? elsewhere.has(failure.code) : repeatable
    if (!harmless || !this.#budget.withdraw()) return false
    if (failure.code === 'stale_revision') await this.options.catchUp()
    else tried.add(side.process)
    return true
  }

  async #runTicket (work: Work, once: Once, signal: AbortSignal): Promise<Tried> {
    const ticket = readTicket(once.key)
    if (ticket === undefined) return err(notRun('invalid_header', { detail: 'The Idempotency-Key is not a ticket of this system.' }))
    const address = this.options.sides.addressOf(ticket.process)
    if (address === undefined) return err(unknown('incarnation_gone'))
    const answer = await this.#ask(work, once, bindingOf(ticket, address), signal)
    if (answer.isErr() && answer.error.code === 'stale_revision') await this.options.catchUp()
    return answer
  }

  async #runClaimed (work: Work, once: Once, signal: AbortSignal): Promise<Tried> {
    const id = claimId(work.team, once.key)
    const tried = new Set<string>()
    const first = await this.#bindFirst(work, id)
    if (first.isErr()) return err(await this.#claimFailure(work, once, first.error))
    let binding = first.value
    for (let tries = 1; ; tries++) {
      const answer = await this.#ask(work, once, binding, signal)
      if (answer.isOk() || answer.error.outcome === 'unknown') return answer
      const next = tries < mostTries ? await this.#bindNext(work, id, binding, answer.error, tried, signal) : undefined
      // Only a binding that was asked and has refused may be confirmed as not run.
      if (next === undefined) return err(await this.#confirm(id, binding, answer.error))
      binding = next
    }
  }

  async #bindFirst (work: Work, id: string): Promise<Result<Binding, StoreFault | Failure>> {
    const bound = await this.#bind(work, id, undefined, new Set())
    if (bound.isOk() || !('outcome' in bound.error)) return bound
    // No process can take it now, but an earlier try may have been bound.
    const found = await this.options.claims.read(id)
    return found.isOk() && found.value !== undefined ? ok(found.value) : bound
  }

  /** Binds the key anew after a refusal; `undefined` where that makes no sense or can't be done. */
  async #bindNext (work: Work, id: string, binding: Binding, refusal: Failure, tried: Set<string>, signal: AbortSignal): Promise<Binding | undefined> {
    if (!elsewhere.has(refusal.code) || signal.aborted) return undefined
    if (refusal.code === 'stale_revision') await this.options.catchUp()
    else tried.add(binding.process)
    const next = await this.#bind(work, id, binding.nonce, tried)
    return next.isOk() ? next.value : undefined
  }

  /** Binds the key to the best side process; `from` names a binding that was refused for good. */
  async #bind (work: Work, id: string, from: string | undefined, tried: ReadonlySet<string>): Promise<Result<Binding, StoreFault | Failure>> {
    const side = await this.#choose(work, tried)
    if (side === undefined) return err(notRun('no_backend', { retryAfterMs: storeRetryMs }))
    const { process, address, peer } = side
    const binding = { process, address, incarnation: peer.incarnation, epoch: peer.epoch, nonce: randomToken() }
    return from === undefined ? await this.options.claims.bind(id, binding) : await this.options.claims.rebind(id, from, binding)
  }

  /**
   * A refusal is the key's last word only while its binding is the last one: another entry may have bound the key
   * anew and had it run.
   */
  async #confirm (id: string, binding: Binding, refusal: Failure): Promise<Failure> {
    const found = await this.options.claims.read(id)
    if (found.isOk() && found.value?.nonce === binding.nonce) return refusal
    const detail = 'Another try of this key may have been run. Ask again with the same key.'
    return unknown(refusal.code, { detail, retryAfterMs: refusal.retryAfterMs ?? storeRetryMs })
  }

  /** Asks the bound incarnation, over a second connection if the first is lost; it answers a key once. */
  async #ask (work: Work, once: Once, binding: Binding, signal: AbortSignal): Promise<Tried> {
    let failure: Failure = unknown('incarnation_gone')
    for (let failures = 0; failures < mostTries && !signal.aborted; failures++) {
      if (failures > 0) await pause(backoff(failures, this.options.random), signal)
      const peer = await this.options.sides.reach(binding.process, binding.address)
      if (peer === undefined) continue
      if (peer.incarnation !== binding.incarnation) return err(unknown('incarnation_gone'))
      const bound = { ...work, revision: this.options.catalog.revision, once: { key: once.key, binding } }
      const answer = await peer.run(bound, signal)
      if (answer.isOk()) return answer
      // Not having sent it this time refuses nothing: an earlier ask, or another entry's, may have arrived.
      if (answer.error.code === 'not_sent') continue
      if (answer.error.code !== 'connection_lost') return answer
      failure = answer.error
    }
    return err(failure)
  }

  async #claimFailure (work: Work, once: Once, fault: StoreFault | Failure): Promise<Failure> {
    if (!('outcome' in fault)) return await this.#storeFailure(work, once, fault)
    return once.firstTry ? fault : unknown(fault.code, { retryAfterMs: storeRetryMs })
  }

  /** Without the store only a first try is known not to have run; any other may have, in an earlier try. */
  async #storeFailure (work: Work, once: Once, fault: StoreFault): Promise<Failure> {
    this.options.log.warn('claim.failed', { request: work.id, fault: fault.code, detail: fault.detail })
    const more = { retryAfterMs: storeRetryMs }
    if (!once.firstTry) return unknown('store_unavailable', { ...more, detail: 'This try was not run; an earlier one may have been. Ask again with the same key.' })
    const ticket = this.#service(work)?.onStoreOutage === 'ticket' ? await this.ticket(work) : undefined
    return notRun('store_unavailable', { ...more, ...(ticket === undefined ? {} : { ticket, detail: 'Ask again with the ticket as the key.' }) })
  }

  #service ({ target }: Work): Service | undefined {
    return target.kind === 'service' ? this.options.catalog.service(target.service) : undefined
  }
}
