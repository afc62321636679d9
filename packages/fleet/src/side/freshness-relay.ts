/**
 * Forwards freshness proofs of the routing table from local entries that read the store to entries that request one here.
 *
 * Load pattern: in a failure domain of ten entries, three read the store and seven each ask a side process about once a second.
 * A recent proof is forwarded as it is. If it is older, one entry that reads the store is asked, and its answer serves all
 * pending requests.
 */
import type { Channel, FrameOf } from '@finchpitch/wire'
import { boottimeMs } from '../clock.js'
import type { Facts } from '../facts.js'
import { acceptProof, answerProofRequest, requestProof, type ProofRequest } from '../freshness-exchange.js'

/** A proof up to this age is forwarded without asking for a newer one: a third of the age at which entries ask. */
const maxForwardAgeMs = 500
/** Entries answer within a few ms. One that takes longer than this is taken as stuck, and another one is asked. */
const answerTimeoutMs = 120

export class FreshnessRelay {
  #pending: ProofRequest[] = []
  /** Entries asked since the oldest pending request arrived. */
  readonly #asked = new Set<Channel>()
  #timer: NodeJS.Timeout | undefined

  /** `sources`: channels to the local entries that read the store, in the order in which to ask them. */
  constructor (private readonly facts: Facts, private readonly sources: () => Channel[]) {}

  ask (channel: Channel, ask: FrameOf<'ask_fresh'>): void {
    const request = { channel, ask, cameAt: boottimeMs() }
    if (this.facts.freshness.ageMs <= maxForwardAgeMs) return answerProofRequest(this.facts, request)
    this.#pending.push(request)
    if (this.#timer === undefined) this.#askNext()
  }

  handleProof (proof: FrameOf<'fresh'>): void {
    if (acceptProof(this.facts, proof) && this.#pending.length > 0) this.#answerAll()
  }

  close (): void {
    clearTimeout(this.#timer)
  }

  #askNext (): void {
    const source = this.sources().find(channel => !this.#asked.has(channel) && this.#pending.every(request => request.channel !== channel))
    if (source === undefined) return this.#answerAll()
    this.#asked.add(source)
    requestProof(this.facts, source)
    this.#timer = setTimeout(() => this.#askNext(), answerTimeoutMs)
  }

  /** Answers all pending requests with the latest proof known, even if it is old. */
  #answerAll (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    this.#asked.clear()
    const requests = this.#pending
    this.#pending = []
    for (const request of requests) answerProofRequest(this.facts, request)
  }
}
