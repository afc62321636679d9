/**
 * Replicates facts between processes over the channels that already connect them.
 *
 * Each link tracks what its peer has, from the facts exchanged over it and from the peer's heartbeats, so a fact crosses a link at
 * most once. Most peers soon learn a fact from the store or from a closer peer, and traffic between failure domains is costly.
 * A link therefore sends immediately only to peers without another source: from entries that watch the store to the side
 * processes of their domain, from those to the entries that depend on them, and to peers that report that the store does not
 * answer. All other links delay a fact and send it only if the peer still lacks it.
 */
import type { Log } from '@finchpitch/core'
import type { Channel, CompleteRevisions, FactFrame, Frame, StoreSight } from '@finchpitch/wire'
import { observedRevision, factOf, frameOf, isFinal, type Fact } from './fact.js'
import type { Facts } from './facts.js'

/** How long a link delays a fact before sending it, by the kind of peer. */
export const forwardDelayMs = {
  /** A peer without another source. */
  dependent: 0,
  /** An entry that has just started: by then it has read the store and reported that, or it can't reach the store. */
  newcomer: 250,
  /** Entries: in small fleets a watch pauses for up to 0.7 s, and a heartbeat follows within 1 s. */
  entry: 1500,
  /** From an entry that does not watch the store to the side processes of its domain, which report what they have every 1.8 s. */
  nonWatcher: 2500,
  /** From an entry to side processes of other domains: they learn it from the entries there, and report it within two heartbeats. */
  remoteSide: 3000
}

/**
 * How long a side process delays facts for a peer, by the peer's store status. A peer that can't read the store has no
 * other source, and the delay would add up over each hop between it and an entry that can.
 */
export const forwardDelayBySight: Record<StoreSight, number> = { reading: forwardDelayMs.entry, resting: forwardDelayMs.entry, blind: forwardDelayMs.dependent }

export class FactLink {
  /** By fact, the revision that the peer is known to have. */
  readonly #known = new Map<string, number>()
  readonly #stops: Array<() => void>
  /** The revisions up to which the peer reports that it has everything. */
  #complete: CompleteRevisions = { table: 0, server: 0, version: 0 }

  #delayMs: number
  #started = false

  constructor (private readonly facts: Facts, private readonly channel: Channel, delayMs: number, private readonly log: Log) {
    this.#delayMs = delayMs
    this.#stops = [facts.onChange(fact => this.#schedule(fact, this.#delayMs)), facts.onStatusChange(() => channel.beat())]
  }

  /** Schedules everything that the peer may lack, after `newcomerMs` for a peer that has not read the routing table yet. */
  start (newcomerMs = this.#delayMs): void {
    this.#started = true
    this.updateComplete(this.channel.peer.complete)
    const delayMs = this.#complete.table === 0 ? newcomerMs : this.#delayMs
    for (const fact of this.facts.all()) this.#schedule(fact, delayMs)
  }

  /** Changes the delay. If it is shorter than before, the facts not sent yet are scheduled again with it. */
  setDelay (delayMs: number): void {
    const shorter = delayMs < this.#delayMs
    this.#delayMs = delayMs
    if (shorter && this.#started) for (const fact of this.facts.all()) this.#schedule(fact, delayMs)
  }

  stop (): void {
    for (const stop of this.#stops) stop()
  }

  /** Records what the peer's hello or heartbeat says it has. */
  updateComplete (complete: CompleteRevisions | undefined): void {
    if (complete !== undefined) this.#complete = complete
  }

  /** Handles a frame from the peer; frames unrelated to facts are ignored. */
  handleFrame (frame: Frame): void {
    if (frame.type === 'fact') this.handleFact(frame)
    if (frame.type === 'heartbeat') this.updateComplete(frame.complete)
  }

  handleFact (frame: FactFrame): void {
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

  #schedule (fact: Fact, delayMs: number): void {
    if (delayMs > 0) setTimeout(() => this.#send(fact), delayMs)
    else this.#send(fact)
  }

  #send (fact: Fact): void {
    const known = this.#known.get(idOf(fact)) ?? 0
    if (!this.channel.open || known >= fact.revision || this.#complete[fact.kind] >= observedRevision(fact)) return
    if (this.facts.revisionOf(fact.kind, fact.key) > fact.revision) return
    this.#known.set(idOf(fact), fact.revision)
    this.channel.send(frameOf(fact))
  }
}

const idOf = (fact: Fact): string => `${fact.kind} ${fact.key}`
