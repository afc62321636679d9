/**
 * A sum with exponential decay: the weight of each amount halves with every half-life.
 */
export class DecayingSum {
  #sum = 0
  #updatedAt = 0

  constructor (private readonly halfLifeMs: number) {}

  add (amount: number, now: number): void {
    this.#sum = this.at(now) + amount
    this.#updatedAt = now
  }

  at (now: number): number {
    return this.#sum * 0.5 ** ((now - this.#updatedAt) / this.halfLifeMs)
  }
}
