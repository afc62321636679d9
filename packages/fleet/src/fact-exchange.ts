/**
 * Passing facts between processes over the channels that they have anyway.
 *
 * Each link remembers what its peer has, from what crossed it and from the peer's heartbeats, so a fact crosses it
 * once at most. Most peers have a fact from the store or from a nearer peer soon, and bytes between domains cost, so
 * links send at once only to peers without another source: from entries that watch the store to the side processes of
 * their domain, from those to the entries that depend on them, and to whoever says that the store does not answer. The
 * others wait for the peer's word first.
 */
import type { Log } from '@finchpitch/core'
import type { Channel, Complete, FactFrame, Frame, FrameOf, StoreSight } from '@finchpitch/wire'
import { coveredBy, factOf, frameOf, isFinal, type Fact, type Facts } from './facts.js'

/** How long a link waits before it sends a fact of each kind, in ms. */
export type Patience = Record<Fact['kind'], number>

/** The same for all kinds. */
export const patienceOf = (ms: number): Patience => ({ table: ms, server: ms, version: ms })

/** A heartbeat with the peer's word comes within so long. */
const heardMs = 1500

export const patienceMs = {
  /** To a peer without another source. */
  dependent: patienceOf(0),
  /** To an entry that has just started: it has read the store by then and says so at once, or it can't. */
  newcomer: patienceOf(250),
  /** To one that leaves the store to others: a side process that it chose sends at once, and a heartbeat tells of it. */
  entry: patienceOf(heardMs),
  /** To an entry that watches the store: it passes a table on some 0.1 s after the change, and one that does not is late. */
  watching: { table: 300, server: heardMs, version: heardMs },
  /** To a side process elsewhere: an entry near it has told it by then, and it says so at once. */
  elsewhere: { table: 600, server: heardMs, version: heardMs },
  /** Entry that leaves the store to others to the side processes of its domain: those say every 1.8 s what they have. */
  resting: patienceOf(2500),
  /** Entry to side processes elsewhere: their own entries tell them, and two heartbeats later it is known here. */
  farSide: patienceOf(3000)
}

/** To an entry near, by how it sees the store. What the store does not tell it, nobody else tells it sooner. */
export const patienceToEntry: Record<StoreSight, Patience> = { reading: patienceMs.watching, blind: patienceMs.dependent, resting: patienceMs.entry }

/** To a side process elsewhere, by how the entries near it see the store. */
export const patienceElsewhere: Record<StoreSight, Patience> = { reading: patienceMs.elsewhere, blind: patienceMs.dependent, resting: patienceMs.elsewhere }

const kinds = ['table', 'server', 'version'] as const

export class FactLink {
  /** The revision of each fact that the peer is known to have. */
  readonly #known = new Map<string, number>()
  readonly #stops: Array<() => void>
  /** How far the peer lacks nothing, by its own word. */
  #complete: Complete = { table: 0, server: 0, version: 0 }

  #patience: Patience
  #started = false

  constructor (private readonly facts: Facts, private readonly channel: Channel, patience: Patience, private readonly log: Log) {
    this.#patience = patience
    this.#stops = [facts.onChange(fact => this.#schedule(fact, this.#patience)), facts.onRead(() => channel.beat())]
  }

  /** Sends all that the peer may lack; to one that has read nothing yet after `newcomer`. */
  start (newcomer = this.#patience): void {
    this.#started = true
    this.heard(this.channel.peer.complete)
    const patience = this.#complete.table === 0 ? newcomer : this.#patience
    for (const fact of this.facts.all()) this.#schedule(fact, patience)
  }

  /** How long it waits from now on; with less patience than before, what it has not sent yet goes now. */
  setPatience (patience: Patience): void {
    const shorter = new Set(kinds.filter(kind => patience[kind] < this.#patience[kind]))
    this.#patience = patience
    if (!this.#started) return
    for (const fact of this.facts.all()) if (shorter.has(fact.kind)) this.#schedule(fact, patience)
  }

  stop (): void {
    for (const stop of this.#stops) stop()
  }

  /** What the peer's hello and heartbeats say. */
  heard (complete: Complete | undefined): void {
    if (complete !== undefined) this.#complete = complete
  }

  /** A frame of the peer's; those that say nothing of facts are for others. */
  take (frame: Frame): void {
    if (frame.type === 'fact') this.receive(frame)
    if (frame.type === 'heartbeat') this.#heartbeat(frame)
  }

  #heartbeat ({ complete, table }: FrameOf<'heartbeat'>): void {
    this.heard(complete)
    if (table !== undefined) this.#knows(tableId, table)
  }

  #knows (id: string, revision: number): void {
    this.#known.set(id, Math.max(revision, this.#known.get(id) ?? 0))
  }

  receive (frame: FactFrame): void {
    const fact = factOf(frame)
    if (fact === undefined) {
      this.log.error('peer.fact_not_valid', { peer: this.channel.peer.process, kind: frame.kind, key: frame.key })
      return
    }
    this.#knows(idOf(fact), fact.revision)
    const from = this.channel.peer.process
    if (isFinal(fact)) this.facts.remove(fact, from)
    else this.facts.offer(fact, from)
  }

  #schedule (fact: Fact, patience: Patience): void {
    const ms = patience[fact.kind]
    if (ms > 0) setTimeout(() => this.#send(fact), ms)
    else this.#send(fact)
  }

  #send (fact: Fact): void {
    const known = this.#known.get(idOf(fact)) ?? 0
    if (!this.channel.open || known >= fact.revision || this.#complete[fact.kind] >= coveredBy(fact)) return
    if (this.facts.revisionOf(fact.kind, fact.key) > fact.revision) return
    this.#known.set(idOf(fact), fact.revision)
    this.channel.send(frameOf(fact))
  }
}

const idOf = (fact: Pick<Fact, 'kind' | 'key'>): string => `${fact.kind} ${fact.key}`
const tableId = idOf({ kind: 'table', key: 'table' })
