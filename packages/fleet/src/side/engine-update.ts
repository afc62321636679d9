/**
 * State updates of an engine, and the rules for when a subscriber has to receive one.
 *
 * Updates are deltas to the state that the subscriber received last. Subscribers with the same last state receive the same
 * bytes, encoded once: a side process sends to some ten entries of its failure domain, and in a large deployment each entry
 * receives updates of every engine.
 */
import { encodeFrame, type EngineUpdateFrame } from '@finchpitch/wire'
import type { LoadedVersions } from '../engine-mirror.js'
import { isUnreadChangeSignificant } from '../unread.js'
import { isSameList } from './engine-contents.js'

/** The state of an engine at one moment, as it is published. */
export interface EngineSnapshot {
  host: string
  /** Incremented with each change of `held` or `coming`. */
  changes: number
  /** Keys that are loaded. */
  held: LoadedVersions
  /** Keys that are being loaded. */
  coming: readonly string[]
  /** Adapters that were unloaded and are still cached in the engine's memory. */
  warm: () => Array<[key: string, version: number]>
  reachable: boolean
  /** The engine's id, if known. */
  server: string | undefined
  /** Start time of the engine in Unix ms. */
  bornAt?: number | undefined
  /** The engine reports that it is draining. */
  leaving?: boolean
  waiting: number
  running: number
  /** Prompt tokens of all entries' requests that the engine has not prefilled yet. */
  unread: number
  /** Adapters that the engine could load now; `undefined` where the side process has not reported it. */
  room?: number | undefined
  /** Expected time in ms until one more demand gets a slot, while there is no room. */
  slotMs?: number | undefined
  /** The engine's pace: ms per 1000 prompt tokens and per output token. Changes that are not significant are left out. */
  prefillMs?: number | undefined
  tokenMs?: number | undefined
  /** Entries of the engine's own failure domain that are connected to its side process. */
  entries: number
  /** Entries of other failure domains that subscribe to the engine directly. */
  strangers: number
  /** The side process that relays the updates has lost its connection to the engine's side process. */
  lost?: boolean
  /** Maximum number of concurrent requests. Not sent, since subscribers know it from the server list. */
  batchSize?: number | undefined
}

export class EngineUpdate {
  /** Encoded frames by the update that the subscriber received before. Weak, as each update would keep all earlier ones alive. */
  readonly #frames = new WeakMap<EngineUpdate, Buffer>()
  #fullFrame: Buffer | undefined

  constructor (readonly snapshot: EngineSnapshot) {}

  /** Whether subscribers would receive the same from an update of this state. */
  hasSameState (snapshot: EngineSnapshot): boolean {
    return this.snapshot.changes === snapshot.changes && this.snapshot.batchSize === snapshot.batchSize && scalarFields.every(field => this.snapshot[field] === snapshot[field])
  }

  /** Encoded frame for a subscriber that last received `previous`, or nothing yet. */
  encodeSince (previous: EngineUpdate | undefined): Buffer {
    const cached = previous === undefined ? this.#fullFrame : this.#frames.get(previous)
    if (cached !== undefined) return cached
    const frame = encodeFrame(this.#deltaFrom(previous?.snapshot))
    if (previous === undefined) this.#fullFrame = frame
    else this.#frames.set(previous, frame)
    return frame
  }

  #deltaFrom (previous: EngineSnapshot | undefined): EngineUpdateFrame {
    const { host, held, coming, warm } = this.snapshot
    const { came, went } = previous?.held === held ? noDifference : diffKeys(previous?.held ?? new Map(), held)
    return {
      type: 'holding',
      host,
      ...(previous === undefined ? { whole: true, warm: warm() } : {}),
      ...(came.size === 0 ? {} : { came: Object.fromEntries(came) }),
      ...(went.length === 0 ? {} : { went }),
      ...(isSameList(previous?.coming ?? [], coming) ? {} : { coming: [...coming] }),
      ...changedFields(previous, this.snapshot)
    }
  }
}

/** Fields that are sent as they are. Loaded keys and loads in progress are sent as `came`, `went` and `coming`. */
const scalarFields = ['reachable', 'server', 'bornAt', 'leaving', 'lost', 'waiting', 'running', 'unread', 'room', 'slotMs', 'prefillMs', 'tokenMs', 'entries', 'strangers'] as const

/** Values that mark a field as no longer set. */
const unsetValues: Partial<Record<typeof scalarFields[number], null | false>> = { server: null, bornAt: null, leaving: false, lost: false, prefillMs: null, tokenMs: null }

/**
 * Fields that differ from what the subscriber received before, or all fields if it received nothing. Most updates change one or
 * two fields, and most of what updates cost a subscriber is decoding: with all fields in each update, an entry spent 1.0% of a core
 * on that, of some 6% in all.
 */
const changedFields = (previous: EngineSnapshot | undefined, current: EngineSnapshot): Partial<EngineUpdateFrame> => {
  const changed = scalarFields.filter(field => current[field] !== previous?.[field])
  return Object.fromEntries(changed.map(field => [field, current[field] ?? unsetValues[field]]))
}

/** How often, and after which changes, a subscriber receives updates of an engine. */
export interface UpdatePolicy {
  /** Minimum interval between updates for a changed load. The load is the number of waiting and running requests. */
  loadMs: number
  /** Smallest difference of the load, in requests, that counts as a change. */
  minLoadChange: number
  /** Smallest difference of the load, as a fraction of the batch size, that counts as a change. */
  minBatchFraction: number
  /** Minimum interval between updates for other changes, such as of the loaded keys; changes in between are batched. */
  changeIntervalMs: number
  /** Minimum interval between updates when other updates are sent anyway; any difference is then enough. */
  piggybackIntervalMs: number
  /** Maximum interval between updates. Subscribers regard a side process that is silent for much longer as unresponsive. */
  keepAliveMs: number
}

/**
 * An entry adds the requests that it sent itself since the last update, so suppressed changes hide only those of others. A
 * quarter of the smallest batch in use, 12 requests, is no reason to choose another engine, least of all a remote one; neither
 * is a tenth of a larger batch.
 */
export const updatePolicies = {
  /** To entries of the engine's own failure domain. They send most of its requests, and traffic within the domain is free. */
  local: { loadMs: 200, minLoadChange: 2, minBatchFraction: 0.1, changeIntervalMs: 0, piggybackIntervalMs: 100, keepAliveMs: 700 },
  /** To subscribers in other failure domains, where traffic is charged. */
  remote: { loadMs: 250, minLoadChange: 3, minBatchFraction: 0.1, changeIntervalMs: 40, piggybackIntervalMs: 100, keepAliveMs: 1500 },
  /** Updates from other failure domains, relayed to local entries. Adapters that an entry demanded are reported to it directly. */
  relayed: { loadMs: 400, minLoadChange: 3, minBatchFraction: 0.1, changeIntervalMs: 150, piggybackIntervalMs: 200, keepAliveMs: 1500 }
} as const satisfies Record<string, UpdatePolicy>

export class UpdateThrottle {
  #lastSent: EngineUpdate | undefined
  #lastSentAt = -Infinity

  constructor (private readonly policy: UpdatePolicy) {}

  /** Whether an update has to be sent now. */
  isDue ({ snapshot }: EngineUpdate, now: number): boolean {
    const previous = this.#lastSent?.snapshot
    const age = now - this.#lastSentAt
    if (previous === undefined || age > this.policy.keepAliveMs || hasRoom(previous) !== hasRoom(snapshot)) return true
    if (previous === snapshot) return false
    if (age >= this.policy.changeIntervalMs && hasStateChange(previous, snapshot)) return true
    return age >= this.policy.loadMs && this.#loadDiffers(previous, snapshot)
  }

  /** Whether an update is worth sending together with others that are due. */
  canPiggyback ({ snapshot }: EngineUpdate, now: number): boolean {
    const previous = this.#lastSent?.snapshot
    if (previous === undefined) return true
    if (previous === snapshot || now - this.#lastSentAt < this.policy.piggybackIntervalMs) return false
    return hasStateChange(previous, snapshot) || loadOf(previous) !== loadOf(snapshot) || loadFields.some(field => previous[field] !== snapshot[field])
  }

  /** Returns the frame that brings the subscriber up to date, and records it as sent. */
  takeFrame (update: EngineUpdate, now: number): Buffer {
    const frame = update.encodeSince(this.#lastSent)
    this.#lastSent = update
    this.#lastSentAt = now
    return frame
  }

  #loadDiffers (previous: EngineSnapshot, current: EngineSnapshot): boolean {
    const step = Math.max(this.policy.minLoadChange, (current.batchSize ?? 0) * this.policy.minBatchFraction)
    return Math.abs(loadOf(previous) - loadOf(current)) >= step || isUnreadChangeSignificant(previous.unread, current.unread) ||
      Math.abs((previous.room ?? 0) - (current.room ?? 0)) >= minRoomChange || Math.abs((previous.slotMs ?? 0) - (current.slotMs ?? 0)) >= minSlotChangeMs ||
      previous.prefillMs !== current.prefillMs || previous.tokenMs !== current.tokenMs
  }
}

/** Fields that are sent like the load. */
const loadFields = ['unread', 'room', 'slotMs', 'prefillMs', 'tokenMs'] as const

/** An entry counts the loads that it requested itself since the last update, so one less or more is no reason to send one. */
const minRoomChange = 2
/** Smaller differences of the time until a slot is free don't change which engine is asked. */
const minSlotChangeMs = 100

/** Entries send demands to other engines as soon as there is no room, and report the end of uses without delay from then on. */
const hasRoom = ({ room }: EngineSnapshot): boolean => room === undefined || room > 0

const loadOf = ({ waiting, running }: EngineSnapshot): number => waiting + running

/**
 * Whether anything other than the load changed. The number of entries counts: entries divide the retry budget by it, and close
 * callers' connections gracefully when an entry joins, so that callers spread over all entries.
 */
const hasStateChange = (previous: EngineSnapshot, current: EngineSnapshot): boolean =>
  previous.changes !== current.changes || promptFields.some(field => previous[field] !== current[field])

/** Fields whose changes are sent as soon as changes of the loaded keys. */
const promptFields = ['reachable', 'server', 'bornAt', 'leaving', 'lost', 'entries', 'strangers'] as const

const noDifference: ReturnType<typeof diffKeys> = { came: new Map(), went: [] }

/** Keys that were added or changed their version (`came`), and keys that were removed (`went`). */
export const diffKeys = (before: LoadedVersions, after: LoadedVersions): { came: Map<string, number>, went: string[] } => {
  const came = new Map([...after].filter(([key, version]) => before.get(key) !== version))
  const went = [...before.keys()].filter(key => !after.has(key))
  return { came, went }
}
