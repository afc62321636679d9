/**
 * A sum whose parts count less the older they are: half after each half-life.
 */
export class DecayingSum {
  #sum = 0
  #at = 0

  constructor (private readonly halfLifeMs: number) {}

  add (amount: number, now: number): void {
    this.#sum = this.at(now) + amount
    this.#at = now
  }

  at (now: number): number {
    return this.#sum * 0.5 ** ((now - this.#at) / this.halfLifeMs)
  }
}
