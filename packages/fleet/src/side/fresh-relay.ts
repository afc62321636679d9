/**
 * Passing proofs of freshness from the entries near that read the store to those that ask here.
 *
 * Load pattern: in a domain of ten entries three read the store and seven ask a side process each second or so. A proof that
 * is young is passed on as it is; for an older one, one reading entry is asked, and everybody who waits gets the answer.
 */
import type { Channel, FrameOf } from '@finchpitch/wire'
import { elapsedMs } from '../clock.js'
import type { Facts } from '../facts.js'
import { acceptFresh, answerFresh, askFresh, type Question } from '../fresh-exchange.js'

/** A younger proof is passed on as it is: a third of the time after which an entry asks. */
const passOnMs = 500
/** An entry answers within some ms; one that takes this long is stuck, and another is asked. */
const answerMs = 120

export class FreshRelay {
  #waiting: Question[] = []
  /** Asked since the first of those that wait came. */
  readonly #asked = new Set<Channel>()
  #next: NodeJS.Timeout | undefined

  /** `sources`: channels to the entries near that read the store, the ones to ask first in front. */
  constructor (private readonly facts: Facts, private readonly sources: () => Channel[]) {}

  ask (channel: Channel, ask: FrameOf<'ask_fresh'>): void {
    const question = { channel, ask, cameAt: elapsedMs() }
    if (this.facts.freshness.ageMs <= passOnMs) return answerFresh(this.facts, question)
    this.#waiting.push(question)
    if (this.#next === undefined) this.#askNext()
  }

  answered (proof: FrameOf<'fresh'>): void {
    if (acceptFresh(this.facts, proof) && this.#waiting.length > 0) this.#answerAll()
  }

  close (): void {
    clearTimeout(this.#next)
  }

  #askNext (): void {
    const source = this.sources().find(channel => !this.#asked.has(channel) && this.#waiting.every(question => question.channel !== channel))
    if (source === undefined) return this.#answerAll()
    this.#asked.add(source)
    askFresh(this.facts, source)
    this.#next = setTimeout(() => this.#askNext(), answerMs)
  }

  /** With what is known by now. */
  #answerAll (): void {
    clearTimeout(this.#next)
    this.#next = undefined
    this.#asked.clear()
    const questions = this.#waiting
    this.#waiting = []
    for (const question of questions) answerFresh(this.facts, question)
  }
}
