/**
 * The interface through which a side process uses its model engine.
 */
import type { HttpResponse, HttpRequest } from '@finchpitch/core'
import type { Result } from 'neverthrow'
import type { CacheEvent } from './cache-event.js'
import type { BackendError } from './backend-error.js'

export interface GenerationRequest {
  /** Identifies this attempt at the engine, to resume or cancel it. */
  id: string
  /** The label under which the adapter was loaded. */
  label: string
  call: HttpRequest
  /** Requests with lower values are scheduled first. */
  priority: number
  /** Separates the cached prefixes of teams. */
  salt: string
  /** Fencing token of the side process. */
  fence: number
  signal: AbortSignal
}

export interface EngineResponse extends HttpResponse {
  /** Identifies the run of the engine that responded; it changes when the engine restarts. */
  boot: string
}

export interface EngineReport {
  boot: string
  running: number
  waiting: number
  /** Maximum number of sequences in a batch. */
  capacity: number
  /** Number of adapters that can be loaded at once. */
  slots: number
  /** Labels of the loaded adapters. */
  loaded: string[]
  /** Labels of adapters with requests in progress. The report lags, so an adapter is idle only after being absent for a while. */
  using: string[]
}

export interface EngineOrder {
  label: string
  fence: number
}

export interface Engine {
  report: () => Promise<Result<EngineReport, BackendError>>
  /** Returns the boot id of the engine run that has loaded the adapter. */
  load: (order: EngineOrder & { source: string }) => Promise<Result<string, BackendError>>
  unload: (order: EngineOrder) => Promise<Result<void, BackendError>>
  /** Succeeds once the request is certain not to run any more, or if the engine doesn't know its id. */
  cancel: (order: { id: string, fence: number }) => Promise<Result<void, BackendError>>
  /** Yields events until the connection ends or `signal` aborts. */
  cacheEvents: (signal: AbortSignal) => AsyncIterable<CacheEvent>
  generate: (request: GenerationRequest) => Promise<Result<EngineResponse, BackendError>>
}
