/**
 * Measures the memory of the process while bodies pass through it, and collects buffers that are no longer used.
 *
 * Buffers lie outside the runtime's heap, so the runtime collects them late: after 64 MB or more since its last full collection. That
 * may be more than the memory limit leaves.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Log } from '@finchpitch/core'
import { bytesPerMb, isCollectionDue, isNearMemoryLimit } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'

/** Bytes that pass between two measurements. Also what chunks that have been copied may take until they are collected. */
const checkBytes = 8 * bytesPerMb
/** Near the limit, room is asked for more often than the memory changes. */
const sampleMs = 50
const logMs = 1000

export type Collector = (options?: { type: 'minor' }) => void

/** The runtime's collector. The flag is reset, as the runtime rejects the code cache of its own modules where flags differ. */
const exposeCollector = (): Collector => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as Collector
  setFlagsFromString('--no-expose-gc')
  return collect
}

export interface KeptSums {
  request_bodies: number
  responses: number
  unread: number
  reserved: number
  waiting: number
}

export interface ProcessMemoryOptions {
  /** Memory limit of the process. */
  memoryMb: () => number | undefined
  /** How many bytes may be kept. */
  limit: () => number
  kept: () => KeptSums
  log: Log
}

export class ProcessMemory {
  #passedBytes = 0
  #nearLimit = false
  #sampledAt = -Infinity
  /** What the last collection could not free, as it is still being written. */
  #heldBytes = 0
  #loggedAt = -Infinity
  #collector: Collector | undefined

  constructor (private readonly options: ProcessMemoryOptions) {}

  /** Counts bytes of buffers that were read into memory, or are no longer used. */
  notePassed (bytes: number): void {
    this.#passedBytes += bytes
    if (this.#passedBytes < checkBytes) return
    this.#passedBytes = 0
    this.#collector ??= exposeCollector()
    this.#collector({ type: 'minor' })
    this.#measure()
  }

  /** Whether the resident memory is near the limit, as of at most a few ms ago. */
  get nearLimit (): boolean {
    if (this.#nearLimit && nowMs() - this.#sampledAt >= sampleMs) this.#measure()
    return this.#nearLimit
  }

  get residentBytes (): number {
    return process.memoryUsage.rss()
  }

  #measure (): void {
    const { memoryMb, limit, kept } = this.options
    this.#sampledAt = nowMs()
    const { rss, arrayBuffers } = process.memoryUsage()
    const { request_bodies: bodies, responses, unread } = kept()
    const nearLimit = isNearMemoryLimit(rss, memoryMb())
    const untracked = arrayBuffers - bodies - responses - unread
    this.#heldBytes = Math.min(this.#heldBytes, Math.max(0, untracked))
    const garbage = untracked - this.#heldBytes
    const collect = isCollectionDue(garbage, limit()) || (nearLimit && garbage > checkBytes)
    if (collect) this.#heldBytes = Math.max(0, untracked - this.#collect())
    this.#nearLimit = collect ? isNearMemoryLimit(this.residentBytes, memoryMb()) : nearLimit
    if (nearLimit) this.#logNearLimit(rss, arrayBuffers, collect)
  }

  /** Returns how many bytes of buffers were freed. */
  #collect (): number {
    const { arrayBuffers } = process.memoryUsage()
    this.#collector ??= exposeCollector()
    this.#collector()
    return arrayBuffers - process.memoryUsage().arrayBuffers
  }

  #logNearLimit (rss: number, arrayBuffers: number, collected: boolean): void {
    if (this.#sampledAt - this.#loggedAt < logMs) return
    this.#loggedAt = this.#sampledAt
    const { memoryMb, limit, kept, log } = this.options
    log.warn('memory.near_limit', { residentMb: toMb(rss), memoryMb: memoryMb(), buffersMb: toMb(arrayBuffers), collected, limit: limit(), ...kept() })
  }
}

export const toMb = (bytes: number): number => Math.round(bytes / bytesPerMb)
