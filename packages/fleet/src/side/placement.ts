/**
 * Placement: decides which order to send to an engine next.
 *
 * A pure function of the engine's status and of the current demands. It decides one order at a time: the engine
 * counts the orders that it accepts, and each order names the count at which it was decided. Of several orders decided at the
 * same count, the engine carries out at most one, however late it arrives. So the state that a decision is based on can't
 * have changed when the order is carried out.
 */
import { selectVictim, type EvictionCandidate } from '@finchpitch/decisions'
import type { EngineStatus, EngineOrder } from '../ports.js'
import { parseRef } from '../server.js'
import type { EngineSpec } from '../table.js'
import { contentsOf } from './engine-contents.js'

/** Maximum number of concurrent loads of an engine. */
export const maxConcurrentLoads = 4
/** With this many, the loads of all engines together no longer slow each other down, and each engine still loads without a pause. */
export const minConcurrentLoads = 2

/**
 * How long a demand waits for a free slot before it is declined, unless it is to be kept. Requests run for some 300 to 500 ms, so with 16 slots in use
 * one becomes free every 30 ms, and waiting for it often saves a load from the weight store by another engine.
 */
const slotWaitMs = 120

/** When a newer version is named, an idle adapter with fewer recent uses than this is unloaded rather than replaced. */
const minReplaceUses = 1

export interface Demand {
  key: string
  version?: number
  /** Number of requests that wait for it. */
  waiting: number
  /** Rank of the most urgent of them. */
  priority: number
  /** It is not declined while it waits for a slot: an entry knows that there is none, and withdraws it once another engine is quicker. */
  keep?: boolean
  /** Time since it was first requested. */
  waitedMs: number
}

/** What an engine has loaded, and what of it is in use. */
export interface EngineOccupancy {
  spec: EngineSpec
  status: EngineStatus
  /** Requests in progress on an adapter, plus one while it has just been loaded. */
  uses: (key: string) => number
}

export interface PlacementInput extends EngineOccupancy {
  /** Pending demands, the most urgent first. */
  demands: readonly Demand[]
  /** The newest version that the store names for an adapter. */
  newestVersion: (key: string) => number | undefined
  /** Number of recent uses, decayed with time. */
  popularity: (key: string) => number
  /** How many loads may be in progress. */
  maxLoads?: number
  /** Whether the rate limit of the weight store lets a load of the key start now. */
  canLoad: (key: string) => boolean
}

export type Placement =
  | { type: 'order', order: EngineOrder, reason: string }
  | { type: 'declined', key: string, reason: 'no_place' | 'load_rate' | 'unknown_model' }
  | { type: 'nothing' }

const none: Placement = { type: 'nothing' }

export const decidePlacement = (input: PlacementInput): Placement => {
  if (input.status.busy) return none
  return placeModel(input) ?? replaceOutdated(input) ?? placeAdapter(input) ?? none
}

const orderTo = (input: PlacementInput, operation: 'load' | 'unload', key: string, reason: string, version?: number): Placement =>
  ({ type: 'order', order: { operation, ...parseRef(key), version, expectedOrders: input.status.orders }, reason })

/**
 * Loads the most urgent demanded model that is missing. An engine without models and demands gets the first of its service. If
 * memory is short, a model that is neither in use nor demanded is unloaded first.
 */
const placeModel = (input: PlacementInput): Placement | undefined => {
  const { spec, status, demands } = input
  const demanded = demands.map(demand => parseRef(demand.key).model).filter(name => spec.models.some(model => model.name === name))
  const missing = demanded.find(name => !status.models.some(model => model.name === name))
  const choice = missing ?? (status.models.length === 0 ? spec.models[0]?.name : undefined)
  if (choice === undefined) return undefined
  const freeMb = spec.weightMemoryMb - usedMemoryMb(input)
  const sizeMb = spec.models.find(model => model.name === choice)?.memoryMb ?? Infinity
  if (sizeMb <= freeMb) return input.canLoad(choice) ? orderTo(input, 'load', choice, 'model asked for') : undefined
  const idle = status.models.find(model => !demanded.includes(model.name) && modelUses(input, model.name) === 0)
  return idle === undefined ? undefined : orderTo(input, 'unload', idle.name, `makes room for ${choice}`)
}

const modelUses = (input: PlacementInput, name: string): number => {
  const adapters = contentsOf(input.status).adapters.filter(held => parseRef(held.key).model === name)
  return adapters.reduce((sum, held) => sum + input.uses(held.key), input.uses(name))
}

const usedMemoryMb = ({ spec, status }: EngineOccupancy): number => {
  const sizes = new Map(spec.models.map(model => [model.name, model]))
  const held = status.models.reduce((sum, model) => sum + (sizes.get(model.name)?.memoryMb ?? 0), 0)
  const adapters = [...contentsOf(status).adapters, ...status.coming]
  return adapters.reduce((sum, { key }) => sum + (sizes.get(parseRef(key).model)?.adapterMemoryMb ?? 0), held)
}

/** Replaces an adapter for which a newer version is named if it is in use or popular, otherwise unloads it. */
const replaceOutdated = (input: PlacementInput): Placement | undefined => {
  const { status, maxLoads = maxConcurrentLoads } = input
  for (const held of contentsOf(status).adapters) {
    const newest = input.newestVersion(held.key)
    if (newest === undefined || newest <= held.version || isLoading(status, held.key)) continue
    const idle = input.uses(held.key) === 0
    if (idle && input.popularity(held.key) < minReplaceUses) return orderTo(input, 'unload', held.key, `version ${newest} is named`)
    if (!input.canLoad(held.key) || status.coming.length >= maxLoads) continue
    if (freeSlots(input) > 0) return orderTo(input, 'load', held.key, `replaces version ${held.version}`, newest)
    const victim = idle ? held.key : chooseVictim(input)
    if (victim !== undefined) return orderTo(input, 'unload', victim, `makes room for version ${newest} of ${held.key}`)
  }
  return undefined
}

const isLoading = (status: EngineStatus, key: string): boolean => status.coming.some(coming => coming.key === key)

/** Kept with the status, for the specification with which they were computed. */
const freeSlotsByStatus = new WeakMap<EngineStatus, { spec: EngineSpec, slots: number }>()

const freeSlots = (input: EngineOccupancy): number => {
  const { spec, status } = input
  const known = freeSlotsByStatus.get(status)
  if (known?.spec === spec) return known.slots
  const taken = contentsOf(status).adapters.length + status.coming.length
  const perAdapter = Math.max(1, ...spec.models.map(model => model.adapterMemoryMb))
  const byMemory = Math.floor((spec.weightMemoryMb - usedMemoryMb(input)) / perAdapter)
  const slots = Math.min(spec.adapterSlots - taken, byMemory)
  freeSlotsByStatus.set(status, { spec, slots })
  return slots
}

/** How many further adapters the engine could load now, and how many demands wait for a slot. */
export interface EngineRoom {
  room: number
  queued: number
}

/** `demandedKeys`: pending demands. Each takes a free slot or that of an idle adapter once it is met. */
export const roomIn = (occupancy: EngineOccupancy, demandedKeys: Iterable<string>): EngineRoom => {
  const { status, uses } = occupancy
  const { adapters, held } = contentsOf(status)
  let idle = 0
  for (const { key } of adapters) if (uses(key) === 0) idle += 1
  let queued = 0
  for (const key of demandedKeys) if (parseRef(key).adapter !== undefined && !held.has(key) && !isLoading(status, key)) queued += 1
  return { room: Math.max(0, freeSlots(occupancy) + idle - queued), queued }
}

/** Load time assumed for every adapter. It is the same for all, so popularity alone decides which one is evicted. */
const assumedLoadMs = 250

const chooseVictim = (input: PlacementInput): string | undefined => {
  const candidates: EvictionCandidate[] = contentsOf(input.status).adapters.map(({ key }) => ({
    label: key,
    pins: input.uses(key),
    popularity: input.popularity(key),
    loadMs: assumedLoadMs
  }))
  return selectVictim(candidates)
}

const placeAdapter = (input: PlacementInput): Placement | undefined => {
  const { status, demands, maxLoads = maxConcurrentLoads } = input
  if (demands.length === 0) return undefined
  const { held } = contentsOf(status)
  for (const { key, version, keep, waitedMs } of demands) {
    const ref = parseRef(key)
    if (ref.adapter === undefined || held.has(key) || isLoading(status, key)) continue
    if (!status.models.some(model => model.name === ref.model)) return { type: 'declined', key, reason: 'unknown_model' }
    if (status.coming.length >= maxLoads) return undefined
    if (!input.canLoad(key)) return { type: 'declined', key, reason: 'load_rate' }
    if (freeSlots(input) > 0) return orderTo(input, 'load', key, 'asked for', input.newestVersion(key) ?? version)
    const victim = chooseVictim(input)
    if (victim !== undefined) return orderTo(input, 'unload', victim, `makes room for ${key}`)
    if (waitedMs >= slotWaitMs && keep !== true) return { type: 'declined', key, reason: 'no_place' }
  }
  return undefined
}
