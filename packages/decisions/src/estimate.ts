/**
 * An estimate of a duration: an average that follows its last samples.
 */
const share = 0.2

export class Estimate {
  #value: number

  constructor (first: number) {
    this.#value = first
  }

  get value (): number {
    return this.#value
  }

  add (sample: number): void {
    this.#value += share * (sample - this.#value)
  }
}
