/**
 * A model engine, as the side process beside it uses it.
 */
import type { Answer, Call } from '@finchpitch/core'
import type { Result } from 'neverthrow'
import type { CacheEvent } from './cache-event.js'
import type { BackendFault } from './fault.js'

export interface Generation {
  /** Names this try at the engine, for resuming and cancelling. */
  id: string
  /** The adapter's label, as it was loaded. */
  label: string
  call: Call
  /** Lower goes first. */
  priority: number
  /** Keeps teams from sharing cached prefixes. */
  salt: string
  fence: number
  signal: AbortSignal
}

export interface GeneratedAnswer extends Answer {
  /** The engine run that answers; it changes when the engine restarts. */
  boot: string
}

export interface EngineReport {
  boot: string
  running: number
  waiting: number
  /** Sequences in one batch. */
  capacity: number
  slots: number
  /** Labels of the adapters that it holds. */
  loaded: string[]
  /** Labels with requests in progress; the report lags, so only what stays away for a while is idle. */
  using: string[]
}

export interface EngineOrder {
  label: string
  fence: number
}

export interface Engine {
  report: () => Promise<Result<EngineReport, BackendFault>>
  /** Gives the boot that now holds the adapter. */
  load: (order: EngineOrder & { source: string }) => Promise<Result<string, BackendFault>>
  unload: (order: EngineOrder) => Promise<Result<void, BackendFault>>
  /** Resolves `Ok` once the request surely no longer runs; one that isn't known doesn't. */
  cancel: (order: { id: string, fence: number }) => Promise<Result<void, BackendFault>>
  /** Events until the connection ends or `signal` aborts. */
  cacheEvents: (signal: AbortSignal) => AsyncIterable<CacheEvent>
  generate: (generation: Generation) => Promise<Result<GeneratedAnswer, BackendFault>>
}
