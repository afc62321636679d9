/**
 * News of an engine, and what of them a reader has to be told by when.
 *
 * Only differences are sent. Readers that were told the same get the same bytes, encoded once: a side process tells some
 * ten entries of its failure domain, and the entries of a large deployment hear of every engine.
 */
import { isDeepStrictEqual } from 'node:util'
import { encode, type HoldingFrame } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import type { HeldKeys } from '../engine-mirror.js'
import { unreadDiffers } from '../unread.js'

/** All that is told of an engine at one moment. */
export interface EngineSnapshot {
  host: string
  /** Rises with each change of `held` or `coming`. */
  changes: number
  held: HeldKeys
  coming: readonly string[]
  /** Adapters that it has let go of and has at hand. */
  warm: () => Array<[key: string, version: number]>
  reachable: boolean
  server: string | undefined
  /** Unix ms of its start. */
  bornAt?: number | undefined
  /** It says itself that it leaves. */
  leaving?: boolean
  waiting: number
  running: number
  /** Prompt tokens of all entries that it has not read yet. */
  unread: number
  entries: number
  strangers: number
  fence: number
  /** Its side process is lost to the one that passes its news on. */
  lost?: boolean
  /** Requests that it runs at once; not told, since the list of servers says it. */
  batchSize?: number | undefined
}

export class EngineNews {
  /** By what a reader was told before; weakly, as each would keep all before it alive. */
  readonly #frames = new WeakMap<EngineNews, Buffer>()
  #first: Buffer | undefined

  constructor (readonly snapshot: EngineSnapshot) {}

  /** For a reader that was last told `told`, or nothing yet. */
  frameAfter (told: EngineNews | undefined): Buffer {
    const known = told === undefined ? this.#first : this.#frames.get(told)
    if (known !== undefined) return known
    const frame = encode(this.#frameAfter(told?.snapshot))
    if (told === undefined) this.#first = frame
    else this.#frames.set(told, frame)
    return frame
  }

  #frameAfter (told: EngineSnapshot | undefined): HoldingFrame {
    const { host, held, coming, warm } = this.snapshot
    const { came, went } = difference(told?.held ?? new Map(), held)
    return {
      type: 'holding',
      host,
      ...(told === undefined ? { whole: true, warm: warm() } : {}),
      ...(came.size === 0 ? {} : { came: Object.fromEntries(came) }),
      ...(went.length === 0 ? {} : { went }),
      ...(isDeepStrictEqual(told?.coming ?? [], coming) ? {} : { coming: [...coming] }),
      ...changedFields(told, this.snapshot)
    }
  }
}

/** What a reader is told of an engine beside what it holds. */
const plainFields = ['reachable', 'server', 'bornAt', 'leaving', 'lost', 'waiting', 'running', 'unread', 'entries', 'strangers', 'fence'] as const

/** How a reader is told that one of them is no longer set. */
const unsetValues: Partial<Record<typeof plainFields[number], null | false>> = { server: null, bornAt: null, leaving: false, lost: false }

/**
 * Those that differ from what the reader was told, all where it was told nothing. Most news are of one or two of them, and
 * what a reader spends on news is mostly reading them: 1.0 of some 6% of a core at an entry that was told all fields.
 */
const changedFields = (told: EngineSnapshot | undefined, now: EngineSnapshot): Partial<HoldingFrame> => {
  const changed = plainFields.filter(field => now[field] !== told?.[field])
  return Object.fromEntries(changed.map(field => [field, now[field] ?? unsetValues[field]]))
}

/** How often and how exactly a reader hears of an engine. */
export interface NewsPace {
  /** At most so often of a load that changed, all waiting and running requests being its load. */
  loadMs: number
  /** By fewer requests a load does not count as changed, nor by a smaller part of the batch. */
  loadStep: number
  batchShare: number
  /** Changes of what is held are gathered so long. */
  changeMs: number
  /** What differs at all goes along with other news, but not within this time of the last. */
  alongMs: number
  /** At least so often of anything, to tell a silent side process. */
  aliveMs: number
}

/**
 * An entry knows what it sent itself since it was last told, so steps hide only what others did. A quarter of the smallest
 * batch seen, 12 requests, is no reason to choose another engine, least of all one elsewhere; nor is a tenth of a larger one.
 */
export const newsPaces = {
  /** To entries of the engine's own domain, which send it most of what it gets; bytes there cost nothing. */
  near: { loadMs: 200, loadStep: 2, batchShare: 0.1, changeMs: 0, alongMs: 100, aliveMs: 700 },
  /** Across, where bytes cost. */
  far: { loadMs: 250, loadStep: 3, batchShare: 0.1, changeMs: 40, alongMs: 100, aliveMs: 1500 },
  /** What was told across, to entries of one's own domain. One that asked for an adapter is told of it by its side process. */
  passedOn: { loadMs: 400, loadStep: 3, batchShare: 0.1, changeMs: 150, alongMs: 200, aliveMs: 1500 }
} as const satisfies Record<string, NewsPace>

export class NewsTeller {
  #told: EngineNews | undefined
  #toldAt = -Infinity

  constructor (private readonly pace: NewsPace) {}

  /** Whether the reader has to be told something by now. */
  due ({ snapshot }: EngineNews): boolean {
    const told = this.#told?.snapshot
    const age = nowMs() - this.#toldAt
    if (told === undefined || age > this.pace.aliveMs) return true
    if (changeDiffers(told, snapshot) && age >= this.pace.changeMs) return true
    return age >= this.pace.loadMs && this.#loadDiffers(told, snapshot)
  }

  /** Whether there is anything to tell where the reader is told of others anyway. */
  mayGoAlong ({ snapshot }: EngineNews): boolean {
    const told = this.#told?.snapshot
    if (told === undefined) return true
    const differs = changeDiffers(told, snapshot) || loadOf(told) !== loadOf(snapshot) || told.unread !== snapshot.unread
    return differs && nowMs() - this.#toldAt >= this.pace.alongMs
  }

  /** What the reader has to be told to know these news. */
  tell (news: EngineNews): Buffer {
    const frame = news.frameAfter(this.#told)
    this.#told = news
    this.#toldAt = nowMs()
    return frame
  }

  #loadDiffers (told: EngineSnapshot, now: EngineSnapshot): boolean {
    const step = Math.max(this.pace.loadStep, (now.batchSize ?? 0) * this.pace.batchShare)
    return Math.abs(loadOf(told) - loadOf(now)) >= step || unreadDiffers(told.unread, now.unread)
  }
}

const loadOf = ({ waiting, running }: EngineSnapshot): number => waiting + running

/** Something else than its load. Entries divide the retry budget by their number, and end callers' connections politely once one more has come. */
const changeDiffers = (told: EngineSnapshot, now: EngineSnapshot): boolean =>
  told.changes !== now.changes || weightyFields.some(field => told[field] !== now[field])

/** Changes of these are told as soon as those of what is held. */
const weightyFields = ['reachable', 'server', 'bornAt', 'leaving', 'lost', 'entries', 'strangers'] as const

/** What came or changed its version, and what went. */
export const difference = (before: HeldKeys, after: HeldKeys): { came: Map<string, number>, went: string[] } => {
  const came = new Map([...after].filter(([key, version]) => before.get(key) !== version))
  const went = [...before.keys()].filter(key => !after.has(key))
  return { came, went }
}
