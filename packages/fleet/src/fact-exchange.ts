/**
 * Passing facts between processes over the channels that they have anyway.
 *
 * Each link remembers what its peer is known to have, so a fact crosses it once. Links into other failure domains
 * wait a moment first: most peers have the fact from the store by then, and bytes between domains cost.
 */
import type { Log } from '@finchpitch/core'
import type { Channel, FactFrame } from '@finchpitch/wire'
import { factOf, frameOf, type Fact, type Facts } from './facts.js'

/** Longer than a watch rests between two calls, so that a peer which has the store is not told twice. */
const forwardMs = 700

export class FactLink {
  /** The revision of each fact that the peer is known to have. */
  readonly #known = new Map<string, number>()
  readonly #stop: () => void
  /** Up to here the peer lacks nothing, by its own word. */
  #peerComplete = 0

  constructor (private readonly facts: Facts, private readonly channel: Channel, private readonly patient: boolean, private readonly log: Log) {
    this.#stop = facts.onChange(fact => this.#schedule(fact))
  }

  /** Sends all that the peer may lack. */
  start (): void {
    this.heard(this.channel.peer.revision)
    for (const fact of this.facts.all()) this.#schedule(fact)
  }

  stop (): void {
    this.#stop()
  }

  /** What the peer's hello and heartbeats say. */
  heard (revision: number): void {
    this.#peerComplete = Math.max(this.#peerComplete, revision)
  }

  receive (frame: FactFrame): void {
    const fact = factOf(frame)
    if (fact === undefined) {
      this.log.error('peer.fact_not_valid', { peer: this.channel.peer.process, kind: frame.kind, key: frame.key })
      return
    }
    this.#known.set(idOf(fact), fact.revision)
    this.facts.offer(fact, this.channel.peer.process)
  }

  #schedule (fact: Fact): void {
    if (this.patient) setTimeout(() => this.#send(fact), forwardMs)
    else this.#send(fact)
  }

  #send (fact: Fact): void {
    const known = this.#known.get(idOf(fact)) ?? 0
    if (!this.channel.open || known >= fact.revision || this.#peerComplete >= fact.revision) return
    if (this.facts.revisionOf(fact.kind, fact.key) > fact.revision) return
    this.#known.set(idOf(fact), fact.revision)
    this.channel.send(frameOf(fact))
  }
}

const idOf = (fact: Fact): string => `${fact.kind} ${fact.key}`
