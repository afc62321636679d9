/**
 * An in-memory stand-in for a model engine with adapter slots, continuous batching and token streams.
 *
 * Time per token grows with the number of running sequences and of loaded adapters. The engine records the requests that it ran and,
 * as violations, orders to unload an adapter that requests still used; tests read both.
 */
import { createHash } from 'node:crypto'
import { EventEmitter, on } from 'node:events'
import { ResponseError, onAbort, pause, randomToken, outcomeUnknown } from '@finchpitch/core'
import { backendError, type BackendError, type CacheEvent, type Engine, type EngineOrder, type EngineReport, type EngineResponse, type GenerationRequest } from '@finchpitch/backend'
import { err, ok, type Result } from 'neverthrow'
import type { WeightStore } from './weight-store.js'

export interface MemoryEngineOptions {
  slots: number
  capacity: number
  tokenMs: number
  weights: WeightStore
  checksFences: boolean
}

export interface EngineRun {
  id: string
  label: string
  boot: string
  prompt: string
}

interface ActiveRequest {
  id: string
  controller: AbortController
  ended: Promise<void>
  end: () => void
}

/** The label recorded for a request that ran on the base model because its adapter was not loaded. */
export const baseLabel = 'base'

const defaultTokens = 8
const slowdownPerSequence = 0.01
const slowdownPerAdapter = 0.05

interface PromptBody {
  stream?: boolean
  max_tokens?: number
  prompt?: string
  messages?: Array<{ content?: string }>
}

export class MemoryEngine implements Engine {
  readonly runs: EngineRun[] = []
  readonly violations: string[] = []
  /** Emits `run` when a request starts and `end` when it ends, both with the request's id, and `cache` with each cache event. */
  readonly events = new EventEmitter()
  /** Number of next requests that run, but whose responses are lost. */
  responsesToLose = 0
  /** Delay before the response head. */
  delayMs = 0
  /** Base time per token, before the slowdown for running sequences and loaded adapters. */
  tokenMs: number
  /** Runs the base model instead of an adapter that is not loaded, as some engines do. */
  fallsBackToBaseModel = false
  /** Orders, requests and reports fail as if the engine could not be reached. */
  down = false
  #boot = randomToken()
  #cacheSequence = 0
  #fence = 0
  readonly #loaded = new Map<string, number>()
  readonly #active = new Map<string, ActiveRequest>()
  #running = 0

  constructor (private readonly options: MemoryEngineOptions) {
    this.tokenMs = options.tokenMs
  }

  get boot (): string {
    return this.#boot
  }

  get running (): number {
    return this.#running
  }

  get loaded (): string[] {
    return [...this.#loaded.keys()]
  }

  /** Restarts without loaded adapters and with a new boot id; every stream in progress is cut off. */
  restart (): void {
    this.#boot = randomToken()
    this.#cacheSequence = 0
    this.#loaded.clear()
  }

  async report (): Promise<Result<EngineReport, BackendError>> {
    if (this.down) return err(this.#unreachable())
    const { capacity, slots } = this.options
    return ok({ boot: this.#boot, running: this.#running, waiting: 0, capacity, slots, loaded: this.loaded, using: [...this.#loaded].filter(([, count]) => count > 0).map(([label]) => label) })
  }

  async load ({ label, fence, source }: EngineOrder & { source: string }): Promise<Result<string, BackendError>> {
    const refusal = this.#rejection(fence)
    if (refusal !== undefined) return err(refusal)
    const boot = this.#boot
    if (!this.#loaded.has(label) && this.#loaded.size >= this.options.slots) return err(backendError('refused', 'no free slot', boot))
    if (!await this.options.weights.fetch(source)) return err(backendError('refused', `weights ${source} can't be loaded`, boot))
    if (boot !== this.#boot) return err(backendError('lost', 'the engine restarted', this.#boot))
    this.#loaded.set(label, this.#loaded.get(label) ?? 0)
    return ok(boot)
  }

  async unload ({ label, fence }: EngineOrder): Promise<Result<void, BackendError>> {
    const refusal = this.#rejection(fence)
    if (refusal !== undefined) return err(refusal)
    const useCount = this.#loaded.get(label)
    if (useCount === undefined) return err(backendError('not_loaded', label, this.#boot))
    if (useCount > 0) this.violations.push(`${label} was unloaded while ${useCount} requests used it`)
    this.#loaded.delete(label)
    return ok(undefined)
  }

  async cancel ({ id, fence }: { id: string, fence: number }): Promise<Result<void, BackendError>> {
    const refusal = this.#rejection(fence)
    if (refusal !== undefined) return err(refusal)
    const active = this.#active.get(id)
    active?.controller.abort()
    await active?.ended
    return ok(undefined)
  }

  /** Yields events from now on. Events published earlier are not replayed, so a new subscriber starts with a gap. */
  async * cacheEvents (signal: AbortSignal): AsyncGenerator<CacheEvent> {
    try {
      for await (const [event] of on(this.events, 'cache', { signal })) yield event as CacheEvent
    } catch (error) {
      if (!signal.aborted) throw error
    }
  }

  async generate (request: GenerationRequest): Promise<Result<EngineResponse, BackendError>> {
    const refusal = this.#rejection(request.fence)
    if (refusal !== undefined) return err(refusal)
    const { id, label, call, signal } = request
    const boot = this.#boot
    const useCount = this.#loaded.get(label) ?? 0
    if (!this.#loaded.has(label) && !this.fallsBackToBaseModel) return err(backendError('not_loaded', label, boot))
    const executedLabel = this.#loaded.has(label) ? label : baseLabel
    const body = JSON.parse(Buffer.from(call.body).toString()) as PromptBody
    this.runs.push({ id, label: executedLabel, boot, prompt: promptOf(body) })
    this.events.emit('run', id)
    const block = createHash('sha256').update(promptOf(body)).digest('base64url')
    this.events.emit('cache', { type: 'stored', boot, sequence: this.#cacheSequence++, salt: request.salt, blocks: [block] })
    if (executedLabel === label) this.#loaded.set(label, useCount + 1)
    this.#running += 1
    const tokens = this.#tokens(executedLabel, boot, body.max_tokens ?? defaultTokens, this.#startRequest(id, executedLabel, boot, signal))
    if (this.delayMs > 0) await pause(this.delayMs)
    if (this.responsesToLose > 0) {
      this.responsesToLose -= 1
      void this.#discard(tokens)
      return err(backendError('lost', 'the response was lost'))
    }
    return body.stream === true ? ok(this.#eventStream(tokens, boot)) : ok(this.#jsonResponse(tokens, boot, executedLabel))
  }

  #rejection (fence: number): BackendError | undefined {
    if (this.down) return this.#unreachable()
    if (this.options.checksFences && fence < this.#fence) return backendError('fenced', `fence ${this.#fence} is held`, this.#boot)
    this.#fence = Math.max(this.#fence, fence)
    return undefined
  }

  #unreachable (): BackendError {
    return backendError('unreachable', 'the engine is down')
  }

  /** Registers the request in the batch; it is removed when it ends or is cancelled. */
  #startRequest (id: string, label: string, boot: string, signal: AbortSignal): ActiveRequest {
    const controller = new AbortController()
    let resolveEnded = (): void => {}
    const ended = new Promise<void>(resolve => { resolveEnded = resolve })
    const end = (): void => {
      if (this.#active.get(id) !== active) return
      this.#active.delete(id)
      this.#running -= 1
      const useCount = this.#loaded.get(label)
      if (useCount !== undefined && boot === this.#boot) this.#loaded.set(label, useCount - 1)
      resolveEnded()
      this.events.emit('end', id)
    }
    const active = { id, controller, ended, end }
    this.#active.set(id, active)
    controller.signal.addEventListener('abort', end)
    onAbort(signal, () => controller.abort())
    return active
  }

  async * #tokens (label: string, boot: string, count: number, active: ActiveRequest): AsyncGenerator<string> {
    const { signal } = active.controller
    try {
      for (let token = 0; token < count; token++) {
        const slowdown = 1 + slowdownPerSequence * this.#running + slowdownPerAdapter * this.#loaded.size
        await pause(this.tokenMs * slowdown, signal)
        if (boot !== this.#boot) throw new ResponseError(outcomeUnknown('answer_cut', { detail: 'the engine restarted' }))
        if (signal.aborted) return
        yield `${label}:${token} `
      }
    } finally {
      active.end()
    }
  }

  async #discard (tokens: AsyncGenerator<string>): Promise<void> {
    try {
      while ((await tokens.next()).done !== true) { /* the request runs to completion, its output is discarded */ }
    } catch (error) {
      if (!(error instanceof ResponseError)) throw error
    }
  }

  #eventStream (tokens: AsyncGenerator<string>, boot: string): EngineResponse {
    const events = async function * (): AsyncGenerator<Uint8Array> {
      let id = 0
      for await (const text of tokens) yield Buffer.from(`id: ${id++}\ndata: ${JSON.stringify({ choices: [{ text }] })}\n\n`)
      yield Buffer.from(`id: ${id}\ndata: [DONE]\n\n`)
    }
    return { status: 200, headers: { 'content-type': 'text/event-stream' }, boot, body: events() }
  }

  #jsonResponse (tokens: AsyncGenerator<string>, boot: string, label: string): EngineResponse {
    const body = async function * (): AsyncGenerator<Uint8Array> {
      let text = ''
      for await (const token of tokens) text += token
      yield Buffer.from(JSON.stringify({ model: label, choices: [{ text }] }))
    }
    return { status: 200, headers: { 'content-type': 'application/json' }, boot, body: body() }
  }
}

const promptOf = ({ prompt, messages }: PromptBody): string => prompt ?? messages?.at(-1)?.content ?? ''
