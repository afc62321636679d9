/**
 * Placement: which order to give an engine next.
 *
 * A plain function of what the engine says it holds and of what is asked for. One order at a time: an engine counts
 * its orders, each order names the count that it was decided at, and so of several orders decided at the same count
 * at most one is carried out, however late it arrives. The state that a decision rests on can't have changed.
 */
import { evict, type Resident } from '@finchpitch/decisions'
import type { EngineAccount, EngineOrder } from '../ports.js'
import { parseRef, refKey } from '../server.js'
import type { EngineSpec } from '../table.js'

/** Loads that an engine takes at once. */
export const mostComing = 4

/**
 * How long a demand waits for a place before it is declined. Runs last some 300 to 500 ms here, so with 16 places in
 * use one falls free each 30 ms; a place here often spares a load from the weight store elsewhere.
 */
const placePatienceMs = 120

/** An adapter with fewer recent uses than this is let go rather than replaced when a newer version is named. */
const worthReplacing = 1

export interface Demand {
  key: string
  version?: number
  waiting: number
  priority: number
  /** Since it was first asked for. */
  waitedMs: number
}

export interface PlacementInput {
  spec: EngineSpec
  account: EngineAccount
  /** What requests wait for, the most urgent first. */
  demands: readonly Demand[]
  /** The newest version named for an adapter. */
  newest: (key: string) => number | undefined
  /** Recent uses, aged. */
  popularity: (key: string) => number
  /** Requests in progress on an adapter, and held for it. */
  uses: (key: string) => number
  /** A load from the weight store may start now. */
  mayLoad: (key: string) => boolean
}

export type Placement =
  | { type: 'order', order: EngineOrder, reason: string }
  | { type: 'declined', key: string, reason: 'no_place' | 'load_rate' | 'unknown_model' }
  | { type: 'nothing' }

interface Held {
  key: string
  version: number
}

const heldAdapters = (account: EngineAccount): Held[] => account.models.flatMap(model =>
  Object.entries(model.adapters).map(([adapter, version]) => ({ key: refKey({ model: model.name, adapter }), version })))

const nothing: Placement = { type: 'nothing' }

export const place = (input: PlacementInput): Placement => {
  if (input.account.busy) return nothing
  return placeModel(input) ?? replaceOld(input) ?? placeAdapter(input) ?? nothing
}

const ordered = (input: PlacementInput, operation: 'load' | 'unload', key: string, reason: string, version?: number): Placement =>
  ({ type: 'order', order: { operation, ...parseRef(key), version, expectedOrders: input.account.orders }, reason })

/** An empty engine gets the model that is asked for most, or the first of its service. */
const placeModel = (input: PlacementInput): Placement | undefined => {
  const { spec, account, demands } = input
  const wanted = demands.map(demand => parseRef(demand.key).model).filter(name => spec.models.some(model => model.name === name))
  const missing = wanted.find(name => !account.models.some(model => model.name === name))
  const choice = missing ?? (account.models.length === 0 ? spec.models[0]?.name : undefined)
  if (choice === undefined) return undefined
  const room = spec.weightMemoryMb - usedMemory(input)
  const size = spec.models.find(model => model.name === choice)?.memoryMb ?? Infinity
  if (size <= room) return input.mayLoad(choice) ? ordered(input, 'load', choice, 'model asked for') : undefined
  const idle = account.models.find(model => !wanted.includes(model.name) && modelUses(input, model.name) === 0)
  return idle === undefined ? undefined : ordered(input, 'unload', idle.name, `makes room for ${choice}`)
}

const modelUses = (input: PlacementInput, name: string): number => {
  const adapters = heldAdapters(input.account).filter(held => parseRef(held.key).model === name)
  return adapters.reduce((sum, held) => sum + input.uses(held.key), input.uses(name))
}

const usedMemory = ({ spec, account }: PlacementInput): number => {
  const sizes = new Map(spec.models.map(model => [model.name, model]))
  const held = account.models.reduce((sum, model) => sum + (sizes.get(model.name)?.memoryMb ?? 0), 0)
  const adapters = [...heldAdapters(account), ...account.coming]
  return adapters.reduce((sum, { key }) => sum + (sizes.get(parseRef(key).model)?.adapterMemoryMb ?? 0), held)
}

/** An adapter of which a newer version was named is replaced where it is in use, and let go where it isn't. */
const replaceOld = (input: PlacementInput): Placement | undefined => {
  const { account } = input
  for (const held of heldAdapters(account)) {
    const newest = input.newest(held.key)
    if (newest === undefined || newest <= held.version || isComing(account, held.key)) continue
    const idle = input.uses(held.key) === 0
    if (idle && input.popularity(held.key) < worthReplacing) return ordered(input, 'unload', held.key, `version ${newest} is named`)
    if (!input.mayLoad(held.key) || account.coming.length >= mostComing) continue
    if (placesFree(input) > 0) return ordered(input, 'load', held.key, `replaces version ${held.version}`, newest)
    const victim = idle ? held.key : victimOf(input)
    if (victim !== undefined) return ordered(input, 'unload', victim, `makes room for version ${newest} of ${held.key}`)
  }
  return undefined
}

const isComing = (account: EngineAccount, key: string): boolean => account.coming.some(coming => coming.key === key)

const placesFree = (input: PlacementInput): number => {
  const { spec, account } = input
  const taken = heldAdapters(account).length + account.coming.length
  const perAdapter = Math.max(1, ...spec.models.map(model => model.adapterMemoryMb))
  const byMemory = Math.floor((spec.weightMemoryMb - usedMemory(input)) / perAdapter)
  return Math.min(spec.adapterSlots - taken, byMemory)
}

/** What a load from the weight store takes; the same for all adapters, so that popularity decides. */
const loadMs = 250

const victimOf = (input: PlacementInput): string | undefined => {
  const residents: Resident[] = heldAdapters(input.account).map(({ key }) => ({
    label: key,
    pins: input.uses(key),
    popularity: input.popularity(key),
    loadMs
  }))
  return evict(residents)
}

const placeAdapter = (input: PlacementInput): Placement | undefined => {
  const { account, demands } = input
  const held = new Map(heldAdapters(account).map(each => [each.key, each.version]))
  for (const { key, version, waitedMs } of demands) {
    const ref = parseRef(key)
    if (ref.adapter === undefined || held.has(key) || isComing(account, key)) continue
    if (!account.models.some(model => model.name === ref.model)) return { type: 'declined', key, reason: 'unknown_model' }
    if (account.coming.length >= mostComing) return undefined
    if (!input.mayLoad(key)) return { type: 'declined', key, reason: 'load_rate' }
    if (placesFree(input) > 0) return ordered(input, 'load', key, 'asked for', input.newest(key) ?? version)
    const victim = victimOf(input)
    if (victim !== undefined) return ordered(input, 'unload', victim, `makes room for ${key}`)
    if (waitedMs >= placePatienceMs) return { type: 'declined', key, reason: 'no_place' }
  }
  return undefined
}
