/**
 * One entry as a side process sees it: what it was last told of the engine, and when it has to be told again.
 *
 * An entry of the same failure domain hears of changes at once, since it sends most of what the engine gets. One
 * elsewhere hears of them gathered, since bytes between domains cost. Only differences are sent.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Channel, HoldingFrame } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import type { FactLink } from '../fact-exchange.js'
import { unreadDiffers } from '../unread.js'

/** How often entries hear of a load that changed: of engines in their own domain, and of others. */
const nearMs = 200
const farMs = 250
/** Changes of what is held are gathered this long for entries in other domains, which seldom use them. */
const farChangeMs = 40
/** An entry hears something at least this often, and so can tell a silent side process; across, bytes cost. */
const nearAliveMs = 700
const farAliveMs = 1500

/** Keys held, each with its version. */
export type HeldKeys = Record<string, number>

/** All that entries are told of an engine. */
export interface EngineNews {
  /** Rises with each change of `held` or `coming`. */
  changes: number
  held: HeldKeys
  coming: string[]
  /** Adapters that it has let go of and has at hand. */
  warm: () => Array<[key: string, version: number]>
  reachable: boolean
  server: string | undefined
  waiting: number
  running: number
  /** Prompt tokens that requests of entries other than `entry` have there, not read yet. */
  unreadOfOthers: (entry: string) => number
  /** Entries connected to the side process. */
  entries: number
  fence: number
}

const nothingTold: EngineNews = { changes: -1, held: {}, coming: [], warm: () => [], reachable: false, server: undefined, waiting: 0, running: 0, unreadOfOthers: () => 0, entries: 0, fence: 0 }

export class EntryLink {
  #told = nothingTold
  #toldAt = -Infinity
  #toldUnread = 0
  /** It asked for something and has heard nothing since. */
  #owed = false

  constructor (readonly channel: Channel, readonly facts: FactLink, readonly near: boolean) {}

  /** The entry waits for a word, to tell this process from one that hangs. */
  owe (): void {
    this.#owed = true
  }

  /** Tells the entry what it has to know by now. */
  publish (news: EngineNews): void {
    const unread = news.unreadOfOthers(this.channel.peer.process)
    if (!this.#due(news, unread)) return
    const fresh = this.#told.changes < 0
    const { came, went } = difference(this.#told.held, news.held)
    const frame: HoldingFrame = {
      type: 'holding',
      reachable: news.reachable,
      server: news.server,
      ...(came === undefined ? {} : { came }),
      ...(went.length === 0 ? {} : { went }),
      ...(isDeepStrictEqual(this.#told.coming, news.coming) ? {} : { coming: news.coming }),
      ...(fresh ? { warm: news.warm() } : {}),
      waiting: news.waiting,
      running: news.running,
      unread,
      entries: news.entries,
      fence: news.fence
    }
    this.#told = news
    this.#owed = false
    this.#toldUnread = unread
    this.#toldAt = nowMs()
    this.channel.send(frame)
  }

  #due (news: EngineNews, unread: number): boolean {
    const told = this.#told
    const age = nowMs() - this.#toldAt
    if (this.#owed || age > (this.near ? nearAliveMs : farAliveMs)) return true
    const changed = told.changes !== news.changes || told.reachable !== news.reachable || told.server !== news.server
    if (changed && (this.near || age > farChangeMs)) return true
    const loadChanged = told.waiting !== news.waiting || told.running !== news.running || unreadDiffers(this.#toldUnread, unread)
    return loadChanged && age > (this.near ? nearMs : farMs)
  }
}

/** What came or changed its version, and what went. */
export const difference = (before: HeldKeys, after: HeldKeys): { came: HeldKeys | undefined, went: string[] } => {
  const came = Object.entries(after).filter(([key, version]) => before[key] !== version)
  const went = Object.keys(before).filter(key => !(key in after))
  return { came: came.length === 0 ? undefined : Object.fromEntries(came), went }
}
