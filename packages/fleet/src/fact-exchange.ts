/**
 * Replicates facts between processes over the channels that already connect them.
 *
 * Each link tracks what its peer has, from the facts exchanged over it and from the peer's heartbeats, so a fact crosses a link at
 * most once. Most peers soon learn a fact from the store or from a closer peer, and traffic between failure domains is costly.
 * A link therefore sends immediately only to peers without another source: from entries that watch the store to the side
 * processes of their domain, from those to the entries that depend on them, and to peers that report that the store does not
 * answer. All other links delay a fact and send it only if the peer still lacks it.
 *
 * A peer without another source adopts what this process reports as complete. If that process has read less than this one has since
 * kept removals for, it gets a listing first (see `listing.ts`).
 */
import type { Log } from '@finchpitch/core'
import { encodeFrame, type Channel, type CompleteRevisions, type FactFrame, type Frame, type StoreSight } from '@finchpitch/wire'
import { nowMs } from './clock.js'
import { ExchangedFacts } from './exchanged-facts.js'
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

/** Facts that are scheduled with the same delay within this time share a timer, and are sent together. */
const groupMs = 10

/** Facts that wait for the same timer. */
interface DelayedGroup {
  delayMs: number
  openUntil: number
  facts: Fact[]
}

export class FactLink {
  readonly #exchanged = new ExchangedFacts()
  readonly #stops: Array<() => void>
  /** The revisions up to which the peer reports that it has everything. */
  readonly #complete: CompleteRevisions = { table: 0, server: 0, version: 0 }

  #delayMs: number
  #started = false
  readonly #delayed = new Set<DelayedGroup>()
  /** The group to which facts were added last. */
  #group: DelayedGroup | undefined
  /** Facts of the current batch of changes that are sent at its end. */
  #batched: Fact[] = []
  /** Facts received in this turn of the event loop, not applied yet. */
  #received: FactFrame[] = []

  constructor (private readonly facts: Facts, private readonly channel: Channel, delayMs: number, private readonly log: Log) {
    this.#delayMs = delayMs
    this.#stops = [
      facts.onChange(fact => this.#handleChange(fact)),
      facts.onSettled(() => this.#sendBatched()),
      facts.onListing(() => { if (this.#started) this.#sendListings() }),
      facts.onStatusChange(() => channel.beat())
    ]
  }

  /** Schedules everything that the peer may lack, after `newcomerMs` for a peer that has not read the routing table yet. */
  start (newcomerMs = this.#delayMs): void {
    this.#started = true
    this.updateComplete(this.channel.peer.complete)
    const delayMs = this.#complete.table === 0 ? newcomerMs : this.#delayMs
    this.#schedule(this.facts.all(), delayMs)
    this.#sendListings()
  }

  /** Changes the delay. If it is shorter than before, the facts not sent yet are scheduled again with it. */
  setDelay (delayMs: number): void {
    const shorter = delayMs < this.#delayMs
    this.#delayMs = delayMs
    if (!shorter || !this.#started) return
    // All of it is scheduled anew.
    for (const group of this.#delayed) group.facts = []
    this.#schedule(this.facts.all(), delayMs)
    this.#sendListings()
  }

  /** Sends a dependent peer the listings without which it could not rely on what this process reports as complete. */
  #sendListings (): void {
    if (this.#delayMs !== forwardDelayMs.dependent) return
    const listings = this.facts.listingsFor(this.#complete)
    if (listings.length > 0) this.channel.beat(listings)
  }

  stop (): void {
    for (const stop of this.#stops) stop()
    this.#applyOrClose()
  }

  /** Records what the peer's hello or heartbeat says it has. */
  updateComplete (complete: CompleteRevisions | undefined): void {
    if (complete === undefined) return
    for (const kind of ['table', 'server', 'version'] as const) this.#complete[kind] = Math.max(this.#complete[kind], complete[kind])
  }

  /**
   * Handles a frame from the peer; frames unrelated to facts are ignored. Facts that arrive together are applied as a batch at the
   * latest before the next frame of another type, which may say that they are complete.
   */
  handleFrame (frame: Frame): void {
    if (frame.type === 'fact') {
      if (this.#received.length === 0) setImmediate(() => this.#applyOrClose())
      this.#received.push(frame)
      return
    }
    this.#applyReceived()
    if (frame.type !== 'heartbeat') return
    for (const listing of frame.listings ?? []) this.facts.applyListing(listing, this.channel.peer.process)
    this.updateComplete(frame.complete)
  }

  handleFact (frame: FactFrame): void {
    // After a start, several peers send the same facts; only the first copy is parsed.
    if (this.facts.revisionOf(frame.kind, frame.key) >= frame.revision) {
      this.#exchanged.record(frame)
      return
    }
    const fact = factOf(frame)
    if (fact === undefined) {
      this.log.error('peer.fact_not_valid', { peer: this.channel.peer.process, kind: frame.kind, key: frame.key })
      return
    }
    this.#exchanged.record(fact)
    const from = this.channel.peer.process
    if (isFinal(fact)) this.facts.remove(fact, from)
    else this.facts.offer(fact, from)
  }

  /** An error closes the channel, since the peer would not send the facts again on this one. */
  #applyOrClose (): void {
    try {
      this.#applyReceived()
    } catch (error) {
      this.log.error('peer.facts_not_applied', { peer: this.channel.peer.process, detail: (error as Error).message })
      this.channel.close()
    }
  }

  #applyReceived (): void {
    if (this.#received.length === 0) return
    const received = this.#received
    this.#received = []
    this.facts.batch(() => { for (const frames of runsOfOneKind(received)) this.#applyRun(frames) })
  }

  /** Applies facts of one kind. Those of a kind of which this process has no complete list yet are logged as one line, as a listing is. */
  #applyRun (frames: readonly [FactFrame, ...FactFrame[]]): void {
    const [{ kind }] = frames
    const apply = (): void => { for (const frame of frames) this.handleFact(frame) }
    if (frames.length === 1 || this.facts.complete[kind] > 0) apply()
    else this.facts.applyFirstListing(kind, Math.max(...frames.map(({ revision }) => revision)), this.channel.peer.process, apply)
  }

  #handleChange (fact: Fact): void {
    if (this.#delayMs === 0 && this.facts.inBatch) this.#batched.push(fact)
    else this.#schedule([fact], this.#delayMs)
  }

  #sendBatched (): void {
    if (this.#batched.length === 0) return
    const batched = this.#batched
    this.#batched = []
    this.#send(batched)
  }

  #schedule (facts: readonly Fact[], delayMs: number): void {
    if (delayMs <= 0) return this.#send(facts)
    const now = nowMs()
    if (this.#group?.delayMs === delayMs && now < this.#group.openUntil) {
      this.#group.facts.push(...facts)
      return
    }
    const group = { delayMs, openUntil: now + Math.min(groupMs, delayMs), facts: [...facts] }
    this.#group = group
    this.#delayed.add(group)
    setTimeout(() => {
      this.#delayed.delete(group)
      if (this.#group === group) this.#group = undefined
      this.#send(group.facts)
    }, delayMs)
  }

  /** Sends the facts that the peer still lacks, in one write. */
  #send (facts: readonly Fact[]): void {
    if (!this.channel.open) return
    const frames: Buffer[] = []
    for (const { kind, key } of facts) {
      // The newest revision: if only that has changed since, nobody was notified of it.
      const fact = this.facts.current(kind, key)
      if (fact === undefined || !this.#isLacking(fact)) continue
      this.#exchanged.record(fact)
      frames.push(encodedFact(fact))
    }
    if (frames.length > 0) this.channel.sendEncoded(frames)
  }

  #isLacking (fact: Fact): boolean {
    return this.#exchanged.revisionOf(fact.kind, fact.key) < fact.revision && this.#complete[fact.kind] < observedRevision(fact)
  }
}

const runsOfOneKind = (frames: readonly FactFrame[]): Array<[FactFrame, ...FactFrame[]]> => {
  const runs: Array<[FactFrame, ...FactFrame[]]> = []
  for (const frame of frames) {
    const run = runs.at(-1)
    if (run?.[0].kind === frame.kind) run.push(frame)
    else runs.push([frame])
  }
  return runs
}

/** The encoded frame of each fact. A fact is sent over many links, in the same form. */
const encodedFacts = new WeakMap<Fact, Buffer>()

const encodedFact = (fact: Fact): Buffer => {
  const known = encodedFacts.get(fact)
  if (known !== undefined) return known
  const encoded = encodeFrame(frameOf(fact))
  encodedFacts.set(fact, encoded)
  return encoded
}
