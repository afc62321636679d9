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
import type { Channel, Complete, FactFrame, Frame, StoreSight } from '@finchpitch/wire'
import { coveredBy, factOf, frameOf, isFinal, type Fact } from './fact.js'
import type { Facts } from './facts.js'

/** How long a link waits before it sends. */
export const patienceMs = {
  /** To a peer without another source. */
  dependent: 0,
  /** To an entry that has just started: it has read the store by then and says so at once, or it can't. */
  newcomer: 250,
  /** To entries: a watch rests up to 0.7 s in small fleets, and a heartbeat follows within 1 s. */
  entry: 1500,
  /** Entry that leaves the store to others to the side processes of its domain: those say every 1.8 s what they have. */
  resting: 2500,
  /** Entry to side processes elsewhere: their own entries tell them, and two heartbeats later it is known here. */
  farSide: 3000
}

/**
 * How long a side process holds facts back for a peer, by how the peer sees the store. A peer that the store rejects has no other
 * source, and would wait at each hop between it and an entry that reads.
 */
export const patienceBySight: Record<StoreSight, number> = { reading: patienceMs.entry, resting: patienceMs.entry, blind: patienceMs.dependent }

export class FactLink {
  /** The revision of each fact that the peer is known to have. */
  readonly #known = new Map<string, number>()
  readonly #stops: Array<() => void>
  /** How far the peer lacks nothing, by its own word. */
  #complete: Complete = { table: 0, server: 0, version: 0 }

  #patience: number
  #started = false

  constructor (private readonly facts: Facts, private readonly channel: Channel, patience: number, private readonly log: Log) {
    this.#patience = patience
    this.#stops = [facts.onChange(fact => this.#schedule(fact, this.#patience)), facts.onRead(() => channel.beat())]
  }

  /** Sends all that the peer may lack; to one that has read nothing yet after `newcomerMs`. */
  start (newcomerMs = this.#patience): void {
    this.#started = true
    this.heard(this.channel.peer.complete)
    const patience = this.#complete.table === 0 ? newcomerMs : this.#patience
    for (const fact of this.facts.all()) this.#schedule(fact, patience)
  }

  /** How long it waits from now on; with less patience than before, what it has not sent yet goes now. */
  setPatience (patience: number): void {
    const shorter = patience < this.#patience
    this.#patience = patience
    if (shorter && this.#started) for (const fact of this.facts.all()) this.#schedule(fact, patience)
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
    if (frame.type === 'heartbeat') this.heard(frame.complete)
  }

  receive (frame: FactFrame): void {
    const fact = factOf(frame)
    if (fact === undefined) {
      this.log.error('peer.fact_not_valid', { peer: this.channel.peer.process, kind: frame.kind, key: frame.key })
      return
    }
    this.#known.set(idOf(fact), fact.revision)
    const from = this.channel.peer.process
    if (isFinal(fact)) this.facts.remove(fact, from)
    else this.facts.offer(fact, from)
  }

  #schedule (fact: Fact, patience: number): void {
    if (patience > 0) setTimeout(() => this.#send(fact), patience)
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

const idOf = (fact: Fact): string => `${fact.kind} ${fact.key}`
