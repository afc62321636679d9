/**
 * Lets work go on only after the sockets have been read, in turns of bounded length.
 *
 * Load: an entry that was busy for a second reads hundreds of requests at once, and the closes of their connections only in the next
 * turn of the event loop. Whatever acts in the turn in which it was read, or from a timer, may act for a caller that has left long
 * ago. Work therefore waits until the event loop has polled all sockets, and what does not fit into a turn waits for the next poll. The
 * work of a request is then never based on older events than those of one poll and one turn.
 *
 * Node runs immediates after it has polled the sockets, and those that they add after the next poll. Each piece of work has an
 * immediate of its own, so that its promise callbacks run before the next piece.
 */
import { nowMs } from '../../clock.js'

/** A turn takes at least this long, if there is work, and as long as the poll before it. */
const minTurnMs = 20
const maxTurnMs = 200
/** Limits the cost of turns in which nothing is left to do, as for callers that have left. */
const maxPiecesPerTurn = 500

type Resume = () => void

/** Requests that are under way go before new ones. */
export type WorkStage = 'under_way' | 'new'

export class ReadTurns {
  /** Work that arrived since the last poll began. */
  readonly #arrived: Record<WorkStage, Resume[]> = { under_way: [], new: [] }
  /** Work that arrived before that. */
  readonly #ready: Record<WorkStage, Resume[]> = { under_way: [], new: [] }
  #isScheduled = false
  #polledAt = -Infinity
  #turnEndsAt = -Infinity

  /** Whether the sockets have been read so recently that work may go on. */
  get isOpen (): boolean {
    return nowMs() < this.#turnEndsAt
  }

  /** Pieces of work that wait. */
  get waiting (): number {
    const { under_way: underWay, new: fresh } = this.#arrived
    return underWay.length + fresh.length + this.#readyCount
  }

  /** Resolves once the sockets have been read; at once if they just have been and nothing goes before it. */
  async next (stage: WorkStage): Promise<void> {
    if (this.isOpen && (stage === 'under_way' || this.waiting === 0)) return
    await new Promise<void>(resolve => {
      this.#arrived[stage].push(resolve)
      if (this.#isScheduled) return
      this.#isScheduled = true
      setImmediate(() => this.#beforePoll())
    })
  }

  get #readyCount (): number {
    return this.#ready.under_way.length + this.#ready.new.length
  }

  #beforePoll (): void {
    this.#polledAt = nowMs()
    for (const stage of ['under_way', 'new'] as const) this.#ready[stage].push(...this.#arrived[stage].splice(0))
    setImmediate(() => this.#beginTurn())
    for (let piece = Math.min(this.#readyCount, maxPiecesPerTurn); piece > 0; piece--) setImmediate(() => this.#runPiece())
    setImmediate(() => this.#endTurn())
  }

  #beginTurn (): void {
    const now = nowMs()
    this.#turnEndsAt = now + Math.min(maxTurnMs, Math.max(minTurnMs, now - this.#polledAt))
  }

  #runPiece (): void {
    if (!this.isOpen) return
    const resume = this.#ready.under_way.shift() ?? this.#ready.new.shift()
    resume?.()
  }

  #endTurn (): void {
    if (this.waiting > 0) return this.#beforePoll()
    this.#isScheduled = false
  }
}
